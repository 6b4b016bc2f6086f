// The listener for callers: accepts connections and stops them as a planned stop asks.
#pragma once

#include "balsampost/entry/forwarding.h"
#include "balsampost/entry/settings.h"

#include <memory>
#include <set>
#include <vector>

namespace balsampost::entry {

class caller_session;

class caller_listener {
public:
    caller_listener(net::asio::io_context& context, forwarding_context forwarding, const settings& s);
    ~caller_listener();

    /// Binds and accepts. Throws `boost::system::system_error` if the address is not to be had.
    void start();
    /// Answers carry `Connection: close` from now on.
    void begin_stop();
    /// From now on requests are refused: too little time is left to finish them.
    void refuse_new() { m_refusing = true; }
    /// Closes connections that wait for no answer and on which no request has arrived.
    void close_quiet();
    /// Answers every request that is still under way; the servers may run some of them on.
    void answer_all();
    void close_all();
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    std::size_t open() const { return m_sessions.size(); }
    /// Requests that were read and not yet answered.
    std::size_t in_flight() const;

private:
    friend class caller_session;
    void accept();
    void take(net::tcp::socket socket);
    /// Takes the connections that the system has accepted already.
    void accept_waiting();

    net::asio::io_context& m_context;
    forwarding_context m_forwarding;
    const settings& m_settings;
    net::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<caller_session>> m_sessions;
    std::vector<char> m_read_buffer; // Of all sessions: its bytes are used up before the next read.
    std::uint64_t m_body_bytes = 0;  // Held in memory for requests under way and answers that wait.
    bool m_stopping = false;
    bool m_refusing = false;
};

} // namespace balsampost::entry
