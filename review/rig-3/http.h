// HTTP/1.1 for the stand-ins: blocking sockets, one thread per connection.
#pragma once

#include "record.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace balsampost::review::rig_3 {

struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    std::string text() const { return address + ":" + std::to_string(port); }
};

using header_map = std::map<std::string, std::string>; // Names in lower case.

struct http_request {
    std::string method;
    std::string target;
    header_map headers;
    std::string body;

    std::string path() const { return target.substr(0, target.find('?')); }
    std::string query(const std::string& name) const;
    std::string header(const std::string& name) const;
};

struct http_response {
    int status = 0; ///< 0: the connection ends without an answer.
    header_map headers;
    std::string body;
};

/// Reads a message from a socket. `rest` keeps what was received behind it. Returns false at the end.
bool read_request(int socket, std::string& rest, http_request& out);
bool read_response(int socket, std::string& rest, http_response& out);
bool write_all(int socket, const std::string& bytes);
std::string to_text(const http_response& r);

/// Connects, with `timeout` for each later read and write. Returns -1 if that fails.
/// An empty `from` leaves the own address to the system.
int connect_to(const endpoint& to, milliseconds timeout, const std::string& from = "");

/// Sends `text` on a new connection and reads one response. Empty if none came whole.
std::optional<http_response> call(const endpoint& to, const std::string& text, milliseconds timeout,
                                  const std::string& from = "");

class http_server {
public:
    using handler = std::function<http_response(const http_request&)>;

    http_server(endpoint at, handler answer);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Whether the address was free.
    bool listening() const { return m_listener >= 0; }
    const endpoint& at() const { return m_at; }
    /// Ends all open connections.
    void reset_connections();

private:
    void accept_all();
    void serve(int socket);

    endpoint m_at;
    handler m_answer;
    int m_listener = -1;
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::set<int> m_open;
    std::atomic<int> m_serving{0};
    std::thread m_thread;
};

} // namespace balsampost::review::rig_3
