// The gate to one backend server, at its home: the queue, the connections and the lease that requests go
// under.
#pragma once

#include "shared.h"

#include "balsampost/core/error.h"
#include "balsampost/core/server_queue.h"
#include "balsampost/net/asio.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace balsampost::daemon {

/// A connection to a backend server. One request at a time; never used again after anything went wrong.
struct server_connection {
    explicit server_connection(net::beast::tcp_stream s) : stream(std::move(s)) {}
    net::beast::tcp_stream stream;
    net::beast::flat_buffer buffer;
};

using connection_ptr = std::unique_ptr<server_connection>;

class server_gate {
public:
    using report_function = std::function<void(const control_report&)>;

    server_gate(core::cell_id cell, std::string server, core::endpoint location, const core::service& config,
                report_function report);

    /// What control says the server owns and until when.
    void update(const core::home_agent::homed_server& homed_server);
    /// Another instance is the home now: everything that waits is refused.
    void close();

    /// Waits for a slot. Nothing: the request may run and `finish` must follow. Otherwise why it may not.
    net::awaitable<std::optional<core::refusal_reason>> admit(core::queued_request request,
                                                              core::epoch since);
    void finish(const core::queued_request& request, core::run_result result, core::duration run_time);
    /// The caller left: a waiting request is refused at once.
    void cancel(core::request_number number);

    /// A connection, within the server's bound. Errors are `unavailable`.
    net::awaitable<core::result<connection_ptr>> connect(core::time_point deadline);
    void give_back(connection_ptr connection);
    void drop(connection_ptr connection);

    /// Whether requests of `slice` may be sent at this moment.
    bool leased(core::time_point now) const { return now < m_served.lease_until; }
    void expire(core::time_point now);
    std::uint32_t load_permille() const;
    const core::server_queue& queue() const { return m_queue; }
    const std::string& server() const { return m_server; }
    const core::cell_id& cell() const { return m_cell; }
    /// Requests started per slice since the last call.
    std::map<std::uint32_t, std::uint32_t> take_slice_counts() { return std::exchange(m_slice_counts, {}); }

private:
    struct waiter {
        net::asio::steady_timer timer;
        bool started = false;
        std::optional<core::refusal_reason> refused;
    };

    bool owns(std::uint32_t slice, const core::epoch& since) const;
    /// Whether requests of `slice` may wait here.
    bool admits(std::uint32_t slice) const;
    void pump();
    void refuse(const std::vector<core::queued_request>& requests, core::refusal_reason reason);
    void report_drained();

    core::cell_id m_cell;
    std::string m_server;
    core::endpoint m_location;
    std::uint32_t m_slots;
    std::uint32_t m_most_connections;
    bool m_keyed;
    report_function m_report;
    core::server_queue m_queue;
    core::home_agent::homed_server m_served;
    std::map<std::uint32_t, core::epoch> m_owned;                // Of m_served.slices.
    std::unordered_map<core::request_number, waiter*> m_waiters; // Each in the frame of a suspended admit.
    std::vector<connection_ptr> m_idle;
    std::uint32_t m_open = 0; // Connections, idle or used. At most m_most_connections.
    std::map<std::uint32_t, std::uint32_t> m_slice_counts;
    bool m_closed = false;
};

} // namespace balsampost::daemon
