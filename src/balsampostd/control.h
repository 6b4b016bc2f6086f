// The control thread manages membership, configuration, the relay and all cells.
#pragma once

#include "cell_runner.h"
#include "metrics.h"
#include "relay.h"
#include "ring.h"
#include "settings.h"
#include "shared.h"

#include <atomic>
#include <map>
#include <memory>
#include <thread>

namespace balsampost::daemon {

/// Runs the control thread and owns its state. After `start`, functions are called on that thread only,
/// unless documented otherwise.
class control {
public:
    control(const settings& config, core::instance_id self, metrics& daemon_metrics);
    ~control();

    /// Sets the queue for orders to the traffic thread. Must be called before `start`.
    void connect(ring<traffic_order>& to_traffic) { m_to_traffic = &to_traffic; }
    net::asio::io_context& context() { return m_context; }
    void consume(control_report& report);
    void consume(operator_command& command);

    /// Binds the peer port and starts the thread.
    void start();
    /// Begins the graceful shutdown. Calls `done` on the control thread once all duties are handed over and
    /// all requests have ended, or when the drain time (limits.drain_time_ms) has passed.
    void leave(std::function<void()> done);
    /// Ends and joins the thread. Must be called from another thread.
    void stop();

    /// Returns the latest JSON for /status. May be called from any thread.
    std::shared_ptr<const std::string> status() const { return std::atomic_load(&m_status); }
    /// Requests new JSON for /status, which replaces the previous object. May be called from any thread.
    void request_status() { m_status_requested = true; }
    /// Returns true from the moment when this instance starts to accept callers, also during shutdown. May be
    /// called from any thread.
    bool ready() const { return m_ready.load(); }

private:
    net::awaitable<void> accept_peers();
    net::awaitable<void> serve_peer(net::tcp::socket socket);
    /// Processes one control frame from the instance `from` and returns the answer.
    net::awaitable<net::frame> handle_frame(const core::instance_id& from, net::frame frame);
    net::awaitable<void> watch_config();
    net::awaitable<void> watch_members();
    /// Updates metrics at a fixed interval and the status JSON on request.
    net::awaitable<void> run_status_loop();
    net::awaitable<void> wait_for_handover(std::function<void()> done);
    /// Sends the command to the coordinator `to` and passes on its reply.
    net::awaitable<void> forward_command(core::instance_id to, operator_command command);

    void on_value_changed(const core::versioned_value& value);
    /// Returns true if the relay should store the value: its instance or service exists, or this is not known
    /// yet.
    bool is_value_relevant(const std::string& name) const;
    void apply_config(const core::versioned_value& value);
    void apply_members(const core::versioned_value& value);
    void apply_announcement(const core::versioned_value& value);
    void apply_cell_table(const core::versioned_value& value);
    /// Publishes this instance's addresses and state to the other instances.
    void announce();
    /// Sends the current routing view to the traffic thread.
    void publish_view();
    /// Starts runners for new cells and retires those of removed services.
    void update_cells();
    void run_command(operator_command& command);
    void run_move(operator_command& command);
    void run_explain(operator_command& command);
    void update_store_state(bool unavailable);
    /// Lets the traffic thread accept callers once the configuration, the member list and the cell tables are
    /// here.
    void accept_callers_when_ready();
    cell_runner* find_cell(const core::cell_id& id);
    cell_dependencies make_cell_dependencies();
    std::string status_json();
    void set_cell_gauges();
    core::versioned_value cell_table_value(const core::cell_id& id, const core::cell_table& table) const;

    const settings& m_settings;
    core::instance_id m_self;
    metrics& m_metrics;
    net::asio::io_context m_context{1};
    net::link_pool m_links;
    net::link_traffic m_accepted_traffic;
    platform::object_store m_store;
    relay m_relay;
    std::optional<net::tcp::acceptor> m_acceptor;
    ring<traffic_order>* m_to_traffic = nullptr;
    /// Shared with the traffic thread; a shared view is replaced, never modified.
    std::shared_ptr<routing_view> m_view;
    /// Retired runners stay until the process ends.
    std::map<core::cell_id, std::unique_ptr<cell_runner>> m_cells;
    /// Time of the last failed call, by instance name. A successful call removes the entry.
    std::map<std::string, core::time_point> m_last_failures;
    /// Last value of the counter for IDs that are unique among all incarnations of this instance.
    std::uint64_t m_last_unique_number;
    std::uint64_t m_announcement_count = 0;
    /// Version of the configuration in force on this instance. Never decreases.
    std::uint64_t m_config_version = 0;
    /// When this instance first put a configuration in force.
    core::time_point m_config_applied_at = core::never;
    bool m_leaving = false;
    bool m_traffic_idle = false;
    bool m_store_unavailable = false;
    std::atomic<bool> m_ready{false};
    std::atomic<bool> m_status_requested{false};
    std::shared_ptr<const std::string> m_status;
    std::thread m_thread;
};

} // namespace balsampost::daemon
