// The control thread: membership, configuration, the relay and all cells.
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

class control {
public:
    control(const settings& config, core::instance_id self, metrics& measured);
    ~control();

    /// Where orders for the traffic thread go. Before `start`.
    void connect(ring<traffic_order>& to_traffic) { m_to_traffic = &to_traffic; }
    net::asio::io_context& context() { return m_context; }
    void consume(control_report& report);
    void consume(operator_command& command);

    /// Binds the peer port and starts the thread.
    void start();
    /// Begins the graceful shutdown; `done` is called on this thread when nothing is left to hand over.
    void leave(std::function<void()> done);
    void stop();

    /// JSON for /status as it was last made, and a request for a new one. Any thread.
    std::shared_ptr<const std::string> status() const { return std::atomic_load(&m_status); }
    void ask_for_status() { m_status_asked = true; }
    /// True once the current objects are in force here.
    bool ready() const { return m_ready.load(); }

private:
    net::awaitable<void> accept_peers();
    net::awaitable<void> serve_peer(net::tcp::socket socket);
    net::awaitable<net::frame> answer(const core::instance_id& from, net::frame f);
    net::awaitable<void> watch_config();
    net::awaitable<void> watch_members();
    net::awaitable<void> keep_status();
    net::awaitable<void> wait_for_handover(std::function<void()> done);
    net::awaitable<void> forward(core::instance_id to, operator_command command);

    void value_changed(const core::versioned_value& value);
    bool keeps(const std::string& name) const;
    void take_config(const core::versioned_value& value);
    void take_members(const core::versioned_value& value);
    void take_announcement(const core::versioned_value& value);
    void take_cell(const core::versioned_value& value);
    void announce();
    void share_view();
    void update_cells();
    void run_command(operator_command& command);
    void run_move(operator_command& command);
    void run_explain(operator_command& command);
    void store_state(bool out);
    void open_for_callers();
    cell_runner* cell(const core::cell_id& id);
    cell_dependencies surroundings();
    std::string status_json();
    void set_cell_gauges();
    core::versioned_value cell_value(const core::cell_id& id, const core::cell_table& table) const;

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
    std::shared_ptr<routing_view> m_view; // Replaced, never changed, once shared.
    std::map<core::cell_id, std::unique_ptr<cell_runner>>
        m_cells;                                           // Retired runners stay until the process ends.
    std::map<std::string, core::time_point> m_unreachable; // Instances and when a call to them failed last.
    std::uint64_t m_next_number;
    std::uint64_t m_announcements = 0;
    std::uint64_t m_config_version = 0;            // In force here. Never decreases.
    core::time_point m_config_since = core::never; // When objects were first in force here.
    bool m_leaving = false;
    bool m_traffic_idle = false;
    bool m_store_out = false;
    std::atomic<bool> m_ready{false};
    std::atomic<bool> m_status_asked{false};
    std::shared_ptr<const std::string> m_status;
    std::thread m_thread;
};

} // namespace balsampost::daemon
