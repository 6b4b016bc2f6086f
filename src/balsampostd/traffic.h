// The traffic thread: callers' connections, requests from other instances, and the gates to the servers that
// this instance is the home of.
#pragma once

#include "metrics.h"
#include "ring.h"
#include "server_choice.h"
#include "server_gate.h"
#include "settings.h"
#include "shared.h"

#include "balsampost/core/region_budget.h"
#include "balsampost/core/retry_budget.h"
#include "balsampost/net/link.h"
#include "balsampost/net/signal.h"
#include "balsampost/telemetry/spans.h"

#include <algorithm>
#include <deque>
#include <random>
#include <set>
#include <thread>
#include <unordered_set>

namespace balsampost::daemon {

class traffic_thread {
public:
    traffic_thread(const settings& config, core::instance_id self, metrics& daemon_metrics,
                   telemetry::span_store& spans);
    ~traffic_thread();

    /// Sets the queue of reports to the control thread. Must be called before `start`.
    void connect(ring<control_report>& to_control) { m_to_control = &to_control; }
    net::asio::io_context& context() { return m_context; }
    /// Applies an order of the control thread. Runs on the traffic thread.
    void consume(traffic_order& order);

    /// Binds the callers' and the data port and starts the thread. Callers are accepted only after a
    /// `start_accepting` order.
    void start();
    void stop();

    // The members below are for the sessions, on the traffic thread.

    const routing_view& view() const { return *m_view; }
    bool accepting() const { return !m_stopping; }
    /// Whether a caller's connection may stay open after an answer.
    bool allows_keep_alive() const { return !m_closing_connections && !m_stopping; }
    const settings& config() const { return m_settings; }
    const core::instance_id& self() const { return m_self; }
    metrics& daemon_metrics() { return m_metrics; }
    net::link_pool& links() { return m_links; }
    core::retry_budget& retry_budget() { return m_retry_budget; }
    core::region_budget& region_budget() { return m_region_budget; }
    /// Charges `bytes` sent to or received from `region` to the region budget, and waits until the budget
    /// allows more.
    net::awaitable<void> throttle(std::string region, core::traffic_class traffic_class,
                                  core::direction direction, std::uint64_t bytes);
    server_choice& choice() { return m_choice; }
    std::mt19937_64& random() { return m_random; }
    /// Returns when the routing view has changed, or at `deadline`.
    net::awaitable<void> wait_for_view_change(core::time_point deadline) {
        return m_view_changed.wait_until(deadline);
    }
    /// Returns the gate of a server, or null if this instance is not its home.
    std::shared_ptr<server_gate> gate(const std::string& service, const std::string& server);
    core::request_number next_request_number() { return ++m_last_request_number; }
    /// Remembers the id of a non-idempotent request. Returns false if it is already remembered, so the
    /// request is a duplicate.
    bool record_request_id(const std::string& request_id);
    void store_span(telemetry::span span);
    std::uint32_t& in_flight() { return m_in_flight; }

private:
    net::awaitable<void> accept_callers();
    net::awaitable<void> accept_peers();
    net::awaitable<void> run_periodic_tasks();
    void update_homes(const homes_update& update);
    void report_loads();
    void update_region_budget();

    const settings& m_settings;
    core::instance_id m_self;
    metrics& m_metrics;
    telemetry::span_store& m_spans;
    net::asio::io_context m_context{1};
    net::link_pool m_links;
    /// Byte counters of the links that other instances opened.
    net::link_traffic m_accepted_traffic;
    std::optional<net::tcp::acceptor> m_caller_acceptor;
    std::optional<net::tcp::acceptor> m_peer_acceptor;
    ring<control_report>* m_to_control = nullptr;
    view_ptr m_view;
    net::signal m_view_changed;
    std::map<core::cell_id, std::map<std::string, std::shared_ptr<server_gate>>> m_gates;
    /// Ids of non-idempotent requests. `m_request_id_order` bounds their number.
    std::unordered_set<std::string> m_request_ids;
    /// The same ids, oldest first.
    std::deque<std::string> m_request_id_order;
    core::retry_budget m_retry_budget;
    core::region_budget m_region_budget;
    /// The objects and members that `m_region_budget` was last computed from.
    std::shared_ptr<const core::object_set> m_budget_objects;
    std::shared_ptr<const core::member_list> m_budget_members;
    server_choice m_choice;
    std::mt19937_64 m_random;
    core::request_number m_last_request_number = 0;
    std::uint32_t m_open_caller_connections = 0;
    /// Requests of callers and peers that are not yet answered.
    std::uint32_t m_in_flight = 0;
    bool m_closing_connections = false;
    bool m_stopping = false;
    /// Whether `traffic_idle` has been sent to the control thread.
    bool m_idle_reported = false;
    std::thread m_thread;

    friend net::awaitable<void> serve_caller(traffic_thread&, net::tcp::socket);
};

/// Serves one caller's connection until it closes.
net::awaitable<void> serve_caller(traffic_thread& traffic, net::tcp::socket socket);
/// Serves the requests that another instance sends over one data link, until the link closes.
net::awaitable<void> serve_peer_link(traffic_thread& traffic, net::link_ptr link);

} // namespace balsampost::daemon
