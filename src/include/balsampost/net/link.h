// Authenticated connections between instances. One exchange at a time runs on a link; links are pooled, so
// that a slow exchange blocks no other and a stuck connection is found by the exchange that uses it.
#pragma once

#include "balsampost/net/asio.h"
#include "balsampost/net/frame.h"
#include "balsampost/net/handshake.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace balsampost::net {

/// Byte counters of all links of one thread.
struct link_traffic {
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t protocol_errors = 0;
};

class link {
public:
    link(tcp::socket socket, link_traffic& traffic);

    /// Reads one frame. Errors: `unavailable` (closed or timed out), `protocol` (the link is then closed).
    awaitable<core::result<frame>> read(core::time_point deadline);
    awaitable<core::result<void>> write(frame f, core::time_point deadline);
    void close();
    bool is_open() const { return m_stream.socket().is_open(); }

    const core::instance_id& peer() const { return m_peer; }
    void set_peer(core::instance_id id) { m_peer = std::move(id); }
    core::time_point last_used() const { return m_last_used; }
    beast::tcp_stream& stream() { return m_stream; }

private:
    beast::tcp_stream m_stream;
    link_traffic& m_traffic;
    core::instance_id m_peer;
    core::time_point m_last_used; // When a frame was last read.
};

using link_ptr = std::shared_ptr<link>;

/// What a link set-up needs to know about this side.
struct link_identity {
    core::instance_id self;
    key_ring keys;
};

/// Connects and authenticates within `deadline`.
awaitable<core::result<link_ptr>> connect_link(core::endpoint to, const link_identity& identity,
                                               link_traffic& traffic, core::time_point deadline);
/// Authenticates an accepted connection within `deadline`.
awaitable<core::result<link_ptr>> accept_link(tcp::socket socket, const link_identity& identity,
                                              link_traffic& traffic, core::time_point deadline);

/// Idle links by endpoint. Used from one thread.
class link_pool {
public:
    link_pool(link_identity identity, std::size_t most_idle_per_peer);

    /// An idle link that proved alive lately, or a new one.
    awaitable<core::result<link_ptr>> take(core::endpoint to, core::time_point deadline);
    void give_back(const core::endpoint& to, link_ptr l);
    /// Closes the idle links to `to`: one of them was found silent.
    void drop(const core::endpoint& to);

    /// One frame out, one back. After a failure the idle links to the peer are dropped, and the call is
    /// repeated once on a new connection if an idle one had failed at once. Only for idempotent exchanges.
    awaitable<core::result<frame>> call(core::endpoint to, frame f, core::time_point deadline);

    const link_traffic& traffic() const { return m_traffic; }
    link_traffic& traffic() { return m_traffic; }
    const link_identity& identity() const { return m_identity; }

private:
    link_identity m_identity;
    std::size_t m_most_idle;
    link_traffic m_traffic;
    std::map<core::endpoint, std::vector<link_ptr>> m_idle; // Each open when put in; the last used is last.
};

/// Calls `answer` for each frame that arrives on `l`, and sends what it returns, until the link fails.
awaitable<void> serve_link(link_ptr l,
                           std::function<awaitable<frame>(const core::instance_id&, frame)> answer);

} // namespace balsampost::net
