// Admission gate for one backend server, at the server's home: the request queue, the pool of connections,
// and the lease under which requests may be sent.
#pragma once

#include "shared.h"

#include "balsampost/core/error.h"
#include "balsampost/core/server_queue.h"
#include "balsampost/net/asio.h"
#include "balsampost/net/http.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace balsampost::daemon {

/// A connection to a backend server. It carries one request at a time and is discarded after any error.
struct server_connection {
    explicit server_connection(net::beast::tcp_stream s) : stream(std::move(s)) {}
    net::beast::tcp_stream stream;
    net::beast::flat_buffer buffer{net::max_unparsed_bytes};
};

using connection_ptr = std::unique_ptr<server_connection>;

/// Admits requests to one backend server while this instance is its home and the server's lease is valid.
/// Used only on the traffic thread.
class server_gate {
public:
    using report_function = std::function<void(const control_report&)>;

    /// `report` passes events to the control thread.
    server_gate(core::cell_id cell, std::string server, core::endpoint location, const core::service& config,
                report_function report);

    /// Applies a new set of owned slices and lease end from the control thread. Refuses waiting requests that
    /// are no longer accepted.
    void update(const core::home_agent::homed_server& homed_server);
    /// Refuses all waiting requests and admits no more, as another instance has become the home.
    void close();

    /// Waits for a slot. Returns an empty value if the request may be sent; the caller must then call
    /// `finish`. Otherwise returns why the request is refused. `since` is the ownership epoch of the slice by
    /// the entry's table.
    net::awaitable<std::optional<core::refusal_reason>> admit(core::queued_request request,
                                                              core::epoch since);
    /// Releases the slot of an admitted request.
    void finish(const core::queued_request& request, core::run_result result, core::duration run_time);
    /// Refuses a waiting request immediately, after its caller has disconnected.
    void cancel(core::request_number number);

    /// Returns an idle connection, or opens one if the server's limit allows. Errors are `unavailable`.
    net::awaitable<core::result<connection_ptr>> acquire_connection(core::time_point deadline);
    /// Returns a connection that can be used again.
    void release_connection(connection_ptr connection);
    /// Closes a connection that cannot be used again.
    void discard_connection(connection_ptr connection);

    /// Whether the server's lease is valid at `now`, so that admitted requests may be sent.
    bool leased(core::time_point now) const { return now < m_served.lease_until; }
    /// Refuses waiting requests whose deadline has passed, and all of them if the lease has expired.
    void expire_waiting(core::time_point now);
    /// Requests running and waiting, in thousandths of the slots that may be used at present.
    std::uint32_t load_permille() const;
    const core::server_queue& queue() const { return m_queue; }
    const std::string& server() const { return m_server; }
    const core::cell_id& cell() const { return m_cell; }
    /// Number of requests started for each slice since the previous call.
    std::map<std::uint32_t, std::uint32_t> take_slice_counts() { return std::exchange(m_slice_counts, {}); }

private:
    /// State of a suspended call of `admit`.
    struct waiter {
        /// Expires at the request's deadline; cancelled to resume the call earlier.
        net::asio::steady_timer timer;
        bool started = false;
        std::optional<core::refusal_reason> refused;
    };

    /// Whether the server owns `slice` under the epoch `since`.
    bool owns(std::uint32_t slice, const core::epoch& since) const;
    /// Whether requests for `slice` may be queued: it is owned, and neither it nor the server is draining.
    bool accepts_slice(std::uint32_t slice) const;
    /// Starts queued requests as long as the lease is valid and the queue allows another one.
    void start_ready_requests();
    void refuse(const std::vector<core::queued_request>& requests, core::refusal_reason reason);
    /// Reports draining slices, or the draining server, once no request of them runs any more.
    void report_drained();

    core::cell_id m_cell;
    std::string m_server;
    core::endpoint m_location;
    std::uint32_t m_slots;
    std::uint32_t m_max_connections;
    bool m_divided_by_key;
    report_function m_report;
    core::server_queue m_queue;
    /// The latest update from the control thread.
    core::home_agent::homed_server m_served;
    /// Ownership epoch of each slice in `m_served.slices`.
    std::map<std::uint32_t, core::epoch> m_slice_epochs;
    /// Waiting requests. Each waiter lives in the frame of a suspended `admit`.
    std::unordered_map<core::request_number, waiter*> m_waiters;
    std::vector<connection_ptr> m_idle_connections;
    /// Number of connections, idle or in use. At most `m_max_connections`.
    std::uint32_t m_open_connections = 0;
    /// Requests started for each slice since the last `take_slice_counts`.
    std::map<std::uint32_t, std::uint32_t> m_slice_counts;
    bool m_closed = false;
};

} // namespace balsampost::daemon
