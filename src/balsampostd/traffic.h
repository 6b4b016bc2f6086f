// The traffic thread: callers' connections, requests from other instances, and the gates to this home's
// servers.
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

class traffic {
public:
    traffic(const settings& config, core::instance_id self, metrics& measured, telemetry::span_store& spans);
    ~traffic();

    void connect(ring<control_report>& to_control) { m_to_control = &to_control; }
    net::asio::io_context& context() { return m_context; }
    void consume(traffic_order& order);

    /// Binds the callers' and the data port and starts the thread.
    void start();
    void stop();

    // Used by the sessions, on the traffic thread.

    const routing_view& view() const { return *m_view; }
    bool accepts() const { return !m_stopping; }
    /// False once callers' connections are to be closed after their answer.
    bool keeps_connections() const { return !m_closing && !m_stopping; }
    const settings& config() const { return m_settings; }
    const core::instance_id& self() const { return m_self; }
    metrics& measured() { return m_metrics; }
    net::link_pool& links() { return m_links; }
    core::retry_budget& retries() { return m_retries; }
    core::region_budget& budget() { return m_budget; }
    /// Counts bytes to or from `region` and waits until more may follow.
    net::awaitable<void> pace(std::string region, core::traffic_class c, core::direction d,
                              std::uint64_t bytes);
    server_choice& choice() { return m_choice; }
    std::mt19937_64& random() { return m_random; }
    /// Returns when the view has changed, or at `deadline`.
    net::awaitable<void> view_change(core::time_point deadline) {
        return m_view_changed.wait_until(deadline);
    }
    std::shared_ptr<server_gate> gate(const std::string& service, const std::string& server);
    core::request_number next_number() { return ++m_next_number; }
    /// False if a non-idempotent request of this id was seen here before.
    bool first_time(const std::string& request_id);
    void record(telemetry::span s);
    std::uint32_t& in_flight() { return m_in_flight; }

private:
    net::awaitable<void> accept_callers();
    net::awaitable<void> accept_peers();
    net::awaitable<void> every_tick();
    void update_homes(const homes_update& update);
    void send_loads();
    void update_budget();

    const settings& m_settings;
    core::instance_id m_self;
    metrics& m_metrics;
    telemetry::span_store& m_spans;
    net::asio::io_context m_context{1};
    net::link_pool m_links;
    net::link_traffic m_accepted_traffic;
    std::optional<net::tcp::acceptor> m_callers;
    std::optional<net::tcp::acceptor> m_peers;
    ring<control_report>* m_to_control = nullptr;
    view_ptr m_view;
    net::signal m_view_changed;
    std::map<core::cell_id, std::map<std::string, std::shared_ptr<server_gate>>> m_gates;
    std::unordered_set<std::string> m_seen; // Ids of non-idempotent requests, bounded by m_seen_order.
    std::deque<std::string> m_seen_order;
    core::retry_budget m_retries;
    core::region_budget m_budget;
    std::shared_ptr<const core::object_set> m_budget_objects; // What m_budget was last made from.
    std::shared_ptr<const core::member_list> m_budget_members;
    server_choice m_choice;
    std::mt19937_64 m_random;
    core::request_number m_next_number = 0;
    std::uint32_t m_open_callers = 0;
    std::uint32_t m_in_flight = 0; // Callers' and peers' requests not yet answered.
    bool m_closing = false;
    bool m_stopping = false;
    bool m_idle_reported = false;
    std::thread m_thread;

    friend net::awaitable<void> serve_caller(traffic&, net::tcp::socket);
};

/// Serves one caller's connection.
net::awaitable<void> serve_caller(traffic& owner, net::tcp::socket socket);
/// Serves one data link from another instance.
net::awaitable<void> serve_home(traffic& owner, net::link_ptr link);

} // namespace balsampost::daemon
