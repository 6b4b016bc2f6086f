// HTTP client and server that hold whole messages in memory, for interfaces with little traffic: the admin
// listener, the platform and lease orders. Callers' traffic is streamed by separate sessions in the daemon.
#pragma once

#include "balsampost/core/error.h"
#include "balsampost/net/asio.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace balsampost::net {

/// Bytes of a connection that may wait to be parsed. The parser bounds heads and bodies, but takes a chunk's
/// extension and trailers only whole.
inline constexpr std::size_t max_unparsed_bytes = 128U << 10U;

struct http_request {
    std::string method;
    std::string target;
    std::string body;
    std::map<std::string, std::string> headers; ///< Lower-case names.

    /// Returns the target without its query string.
    std::string path() const;
    /// Returns the percent-decoded value of a query parameter; empty if absent.
    std::string query(const std::string& name) const;
};

struct http_answer {
    unsigned status = 200; ///< 0 makes the server close the connection without an answer.
    std::string body;
    std::string content_type = "text/plain";
    std::map<std::string, std::string> headers; ///< Lower-case names.
};

/// Decodes percent-encoding. Invalid escape sequences are left unchanged.
std::string percent_decode(std::string_view text);
/// Percent-encodes every byte except the unreserved characters of RFC 3986.
std::string percent_encode(std::string_view text);

/// HTTP client with one persistent connection to a fixed endpoint. It sends one request at a time and must be
/// used from a single thread.
class http_client {
public:
    static constexpr std::uint64_t default_max_body_bytes = 64U << 20U;

    /// `max_body_bytes`: of one answer; a longer one fails with `unknown_outcome`.
    explicit http_client(core::endpoint to, std::uint64_t max_body_bytes = default_max_body_bytes);
    ~http_client();
    http_client(http_client&&) noexcept;
    http_client& operator=(http_client&&) noexcept;

    /// Sends `r` and waits for the answer. Errors: `unavailable` if no byte was sent, `unknown_outcome` if no
    /// complete answer arrived. `before_write`, if given, is called immediately before the request is
    /// written; if it returns false, the request is not sent and fails with `refused`.
    awaitable<core::result<http_answer>> request(http_request r, core::time_point deadline,
                                                 std::function<bool()> before_write = {});
    /// Closes the connection. The next request opens a new one.
    void close();
    /// The endpoint to which requests are sent.
    const core::endpoint& to() const { return m_to; }

private:
    struct connection;
    core::endpoint m_to;
    std::uint64_t m_max_body_bytes;
    std::unique_ptr<connection> m_connection;
};

/// Computes the answer to a request.
using http_handler = std::function<awaitable<http_answer>(const http_request&)>;

/// Limits per connection, and on the number of open connections.
struct http_server_limits {
    std::uint32_t header_bytes = 16U << 10U;
    std::uint64_t body_bytes = 4U << 20U;
    core::milliseconds read_time{10'000};
    std::size_t connections = 1000;
};

/// Accepts connections on `acceptor` until it is closed, and answers every request by calling `handler`.
awaitable<void> serve_http(tcp::acceptor& acceptor, http_handler handler, http_server_limits limits = {});

/// Sends one request and blocks until its answer arrives or `timeout` has passed. For programs that have no
/// io_context.
core::result<http_answer> request_once(const core::endpoint& to, http_request r, core::milliseconds timeout);

} // namespace balsampost::net
