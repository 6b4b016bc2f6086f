// Authenticated connections between instances. A link carries one exchange at a time. Links are pooled, so
// that a slow exchange does not block others and a stuck connection is detected by the exchange that uses it.
#pragma once

#include "balsampost/net/asio.h"
#include "balsampost/net/frame.h"
#include "balsampost/net/handshake.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace balsampost::net {

/// Traffic counters, shared by the links of one thread.
struct link_traffic {
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t protocol_errors = 0;
};

/// A TCP connection to another instance that carries frames.
class link {
public:
    link(tcp::socket socket, link_traffic& traffic);

    /// Reads one frame. Errors: `unavailable` if the connection failed or the deadline passed, `protocol` if
    /// the frame is malformed. Any error closes the link.
    awaitable<core::result<frame>> read(core::time_point deadline);
    /// Writes one frame. Error: `unavailable`, which closes the link.
    awaitable<core::result<void>> write(frame f, core::time_point deadline);
    void close();
    bool is_open() const { return m_stream.socket().is_open(); }

    const core::instance_id& peer() const { return m_peer; }
    void set_peer(core::instance_id id) { m_peer = std::move(id); }
    /// Time at which a frame was last received; the creation time of the link if none was.
    core::time_point last_used() const { return m_last_used; }
    beast::tcp_stream& stream() { return m_stream; }

private:
    beast::tcp_stream m_stream;
    link_traffic& m_traffic;
    core::instance_id m_peer;
    core::time_point m_last_used;
};

using link_ptr = std::shared_ptr<link>;

/// Identity of the local instance and its keys, used to authenticate new links.
struct link_identity {
    core::instance_id self;
    key_ring keys;
};

/// Opens a connection to `to` and authenticates both sides before `deadline`.
awaitable<core::result<link_ptr>> connect_link(core::endpoint to, const link_identity& identity,
                                               link_traffic& traffic, core::time_point deadline);
/// Authenticates both sides of an accepted connection before `deadline`.
awaitable<core::result<link_ptr>> accept_link(tcp::socket socket, const link_identity& identity,
                                              link_traffic& traffic, core::time_point deadline);

/// Pool of idle links by endpoint. Must be used from a single thread.
class link_pool {
public:
    link_pool(link_identity identity, std::size_t max_idle_per_peer);

    /// Returns an idle link that received a frame recently or answered a ping, or else a new link.
    awaitable<core::result<link_ptr>> take(core::endpoint to, core::time_point deadline);
    /// Returns a link to the pool; closes it if the pool already holds enough idle links to `to`.
    void give_back(const core::endpoint& to, link_ptr l);
    /// Closes all idle links to `to`. Called after a link to this peer failed, as the others may be stuck
    /// too.
    void drop(const core::endpoint& to);

    /// Sends one frame and returns the reply. If that fails on an established link, the idle links to the
    /// peer are closed and the exchange is repeated once, unless the deadline has passed. An idle link can
    /// fail because the peer closed it meanwhile. Use this only for idempotent exchanges.
    awaitable<core::result<frame>> call(core::endpoint to, frame f, core::time_point deadline);

    const link_traffic& traffic() const { return m_traffic; }
    link_traffic& traffic() { return m_traffic; }
    const link_identity& identity() const { return m_identity; }

private:
    link_identity m_identity;
    std::size_t m_max_idle_per_peer;
    link_traffic m_traffic;
    // The links of an endpoint were open when they were added, in order of last use, the most recent last.
    std::map<core::endpoint, std::vector<link_ptr>> m_idle;
};

/// Calls `handler` for each frame received on `l` and sends the frame that it returns, until the link fails
/// or stays idle for too long. Pings are answered without calling `handler`.
awaitable<void> serve_link(link_ptr l,
                           std::function<awaitable<frame>(const core::instance_id&, frame)> handler);

} // namespace balsampost::net
