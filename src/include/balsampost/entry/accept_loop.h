// Accepts connections of one listening socket; an error of the system pauses it instead of being repeated at
// once.
#pragma once

#include "balsampost/core/time.h"
#include "balsampost/net/asio.h"

#include <functional>
#include <string>

namespace balsampost::entry {

/// Runs until the acceptor is closed; the owner keeps it alive until then.
class accept_loop {
public:
    /// `name` is logged.
    accept_loop(net::asio::io_context& context, std::string name)
        : m_acceptor(context), m_timer(context), m_name(std::move(name)) {}

    /// Listens on `at` and calls `accepted` with each connection; it returns false if it closed the
    /// connection for want of room. `short_of` is called when the system has no descriptor or memory for one.
    /// Throws `boost::system::system_error` if the address cannot be bound.
    void start(net::asio::io_context& context, const core::endpoint& at,
               std::function<bool(net::tcp::socket)> accepted, std::function<void()> short_of);
    /// Accepts the connections in the queue without waiting.
    void accept_queued(net::asio::io_context& context);
    void close();
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    void accept();
    void pause(net::error_code ec);
    void take(net::tcp::socket socket);
    void note_refused(const std::string& reason);
    void note_taken();

    net::tcp::acceptor m_acceptor;
    net::asio::steady_timer m_timer;
    std::string m_name;
    std::function<bool(net::tcp::socket)> m_accepted;
    std::function<void()> m_short_of;
    /// Logged as paused and not yet as resumed.
    bool m_paused = false;
    core::time_point m_last_refused = core::never;
};

} // namespace balsampost::entry
