// HTTP towards backend servers and the platform's store: one request at a time on a connection, connections
// kept and used again while they are quiet. Tells exactly how far a request that failed had come.
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
    answered, ///< A whole response came.
    not_sent, ///< No byte of the request left.
    lost,     ///< Some of it may have left; no whole response came.
};

struct http_reply {
    unsigned status = 0;
    net::beast::http::fields headers;
    std::string body;
};

struct exchange_result {
    exchange_end end = exchange_end::not_sent;
    http_reply reply;       ///< Of `answered`.
    std::string reason;     ///< Of the others: for the log.
    bool refused = false;   ///< `not_sent` because the connection was refused.
    bool connected = false; ///< Somebody listens at the address.
    bool timed_out = false; ///< `not_sent` or `lost` because time ran out.
    bool reused = false;    ///< The connection had served a request before.
};

struct exchange_request {
    std::string head;                        ///< Request line and headers, with the blank line.
    std::shared_ptr<const std::string> body; ///< May be null.
    bool is_head = false;                    ///< The response has no body whatever its headers say.
    bool connect_only = false;   ///< Sends nothing: whether somebody listens is all that is asked.
    bool new_connection = false; ///< Not on a connection that has served a request before.
    core::time_point deadline = core::time_point::max();
};

/// Gets the result once; returns whether the connection may serve another request.
using exchange_handler = std::function<bool(exchange_result&)>;

struct client_limits {
    core::milliseconds connect_time{400};       ///< A lost opening packet is sent again only after a second.
    core::milliseconds idle_time{8'000};        ///< A connection idle for longer is not used again.
    std::uint64_t body_bytes = 64U << 20U;      ///< Of one response.
    std::uint64_t all_body_bytes = 128U << 20U; ///< Of all responses that are being read.
};

class http_connection;

/// Used from one thread.
class http_client {
public:
    http_client(net::asio::io_context& context, timers& timer_queue, client_limits limits);
    ~http_client();

    /// A handle with which the exchange can be aborted.
    using handle = std::weak_ptr<http_connection>;
    handle start(const core::endpoint& to, exchange_request request, exchange_handler done);
    /// Resets the connection: what has not arrived never will. The handler is not called.
    static void abort(const handle& exchange);

    std::size_t connections_to(const core::endpoint& to) const;
    void close_idle(const core::endpoint& to);
    std::uint64_t connections_opened() const { return m_connections_opened; }
    /// Of responses that are being read.
    std::uint64_t body_bytes() const { return m_body_bytes; }

private:
    friend class http_connection;
    struct target {
        std::vector<std::shared_ptr<http_connection>> idle;
        std::size_t open = 0;
    };
    void release(const std::shared_ptr<http_connection>& connection);
    void remove(const core::endpoint& to, const http_connection* connection);

    net::asio::io_context& m_context;
    timers& m_timer_queue;
    client_limits m_limits;
    std::map<core::endpoint, target> m_targets;
    std::uint64_t m_connections_opened = 0;
    std::uint64_t m_body_bytes = 0;
};

} // namespace balsampost::entry
