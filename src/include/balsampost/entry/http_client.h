// HTTP client for backend servers and the platform's store. A connection carries one request at a time and is
// reused while idle. For a failed request the result says whether any byte may have been sent.
#pragma once

#include "balsampost/core/ini.h"
#include "balsampost/entry/timers.h"
#include "balsampost/net/asio.h"

#include <boost/beast/http/fields.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace balsampost::entry {

enum class exchange_end : std::uint8_t {
    answered, ///< A complete response was received.
    not_sent, ///< No byte of the request was sent.
    lost,     ///< Bytes may have been sent; no complete response was received.
};

struct http_reply {
    unsigned status = 0;
    net::beast::http::fields headers;
    std::string body;
};

struct exchange_result {
    exchange_end end = exchange_end::not_sent;
    http_reply reply;       ///< Set if `end` is `answered`.
    std::string reason;     ///< Error text for the log, unless `answered`.
    bool no_room = false;   ///< `not_sent` because this process has no descriptor for a connection.
    bool refused = false;   ///< `not_sent` because the connection was refused.
    bool connected = false; ///< Only for `connect_only`: the connection was established.
    bool timed_out = false; ///< `not_sent` or `lost` because of a timeout.
    bool withdrawn = false; ///< `not_sent` because `may_send` no longer allowed it.
    bool malformed = false; ///< `lost` because the response broke the protocol or a limit.
    bool reused = false;    ///< The connection had served a request before.
};

struct exchange_request {
    std::string head;                        ///< Request line and headers, with the blank line.
    std::shared_ptr<const std::string> body; ///< May be null.
    bool is_head = false;                    ///< The response has no body whatever its headers say.
    bool connect_only = false;   ///< Only checks whether the address accepts connections; sends nothing.
    bool new_connection = false; ///< Does not reuse a connection.
    core::time_point deadline = core::time_point::max();
    /// Asked right before the first byte is sent on a new connection, which may have taken some time to
    /// establish. Empty: always allowed.
    std::function<bool()> may_send;
};

/// Called once with the result; returns whether the connection may be reused.
using exchange_handler = std::function<bool(exchange_result&)>;

struct client_limits {
    core::milliseconds connect_time{400};      ///< The system resends a lost SYN only after a second.
    core::milliseconds idle_time{8'000};       ///< A connection idle for longer is not reused.
    std::uint64_t body_bytes = 4U << 20U;      ///< Of one response.
    std::uint64_t all_body_bytes = 16U << 20U; ///< Of all responses that are being read.
};

class http_connection;

/// Not thread-safe: used from one thread.
class http_client {
public:
    http_client(net::asio::io_context& context, timers& timer_queue, client_limits limits);
    ~http_client();

    /// Refers to an exchange, for `abort`.
    using handle = std::weak_ptr<http_connection>;
    handle start(const core::endpoint& to, exchange_request request, exchange_handler done);
    /// Resets the connection, so that bytes that are not delivered yet never will be. The handler is not
    /// called. Returns whether any byte of the request may have been sent.
    static bool abort(const handle& exchange);

    std::size_t connections_to(const core::endpoint& to) const;
    void close_idle(const core::endpoint& to);
    /// `has_room` tells whether one more connection may be opened; idle connections are closed to make room.
    void limit_connections(std::function<bool()> has_room) { m_has_room = std::move(has_room); }
    std::size_t connection_count() const { return m_connection_count; }
    std::uint64_t connections_opened() const { return m_connections_opened; }
    /// Memory held by bodies of responses that are being read.
    std::uint64_t body_bytes() const { return m_body_bytes; }

private:
    friend class http_connection;
    struct target {
        std::vector<std::shared_ptr<http_connection>> idle;
        std::size_t open = 0;
    };
    void release(const std::shared_ptr<http_connection>& connection);
    /// Closes idle connections until there is room for one more. Returns false if there is none.
    bool make_room();
    /// Closes the idle connection that would end first. Returns false if none is idle.
    bool close_an_idle_one();
    void remove(const core::endpoint& to, const http_connection* connection);

    net::asio::io_context& m_context;
    timers& m_timer_queue;
    client_limits m_limits;
    std::map<core::endpoint, target> m_targets;
    std::function<bool()> m_has_room;
    std::size_t m_connection_count = 0;
    std::uint64_t m_connections_opened = 0;
    std::uint64_t m_body_bytes = 0;
};

} // namespace balsampost::entry
