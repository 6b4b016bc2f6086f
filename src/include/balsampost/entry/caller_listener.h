// Accepts callers' connections and closes them in the steps of a graceful shutdown.
#pragma once

#include "balsampost/entry/accept_loop.h"
#include "balsampost/entry/caller_memory.h"
#include "balsampost/entry/descriptor_room.h"
#include "balsampost/entry/forwarding.h"
#include "balsampost/entry/settings.h"

#include <memory>
#include <set>
#include <vector>

namespace balsampost::entry {

class caller_session;

class caller_listener {
public:
    /// Without `room` the number of connections has no limit. Without `memory` the listener has an account of
    /// its own.
    caller_listener(net::asio::io_context& context, forwarding_context forwarding, const settings& s,
                    descriptor_room* room = nullptr, std::shared_ptr<core::memory::account> memory = nullptr);
    ~caller_listener();

    /// Binds and starts accepting. Throws `boost::system::system_error` if the address cannot be bound.
    void start();
    /// From now on requests that `window` does not hold are refused, and each connection ends after the
    /// answers to the requests that were read.
    void begin_stop(const core::stop_window& window);
    /// Closes connections without a request in flight and without unread bytes. Connections that the system
    /// has accepted already are included.
    void close_idle_connections();
    /// Requests that a stop left without a server's answer.
    struct unanswered_counts {
        std::size_t sent = 0; ///< A server may be running the request.
        std::size_t unsent = 0;
    };
    /// Answers every request in flight with an error and ends the connections.
    unanswered_counts fail_in_flight();
    void close_all();
    std::uint16_t port() const { return m_accepts.port(); }
    std::size_t connection_count() const { return m_sessions.size(); }
    /// Connections with a request that was read and not yet answered.
    std::size_t in_flight() const;
    /// Closes connections in the closing order until the account has room for `bytes` more, which something
    /// that holds `larger_than` bytes needs. Returns whether it has.
    bool make_room(std::uint64_t bytes, std::uint64_t larger_than, const caller_session* requester = nullptr);
    const core::memory::account& memory() const { return *m_memory; }
    /// Memory accounted for bodies.
    std::uint64_t body_bytes() const { return m_body_bytes; }

private:
    friend class caller_session;
    /// Returns false if there is no room: the connection is closed.
    bool add_session(net::tcp::socket socket);
    /// Closes the connection that has been idle for longest or, without one, that makes the least progress.
    /// Returns false if there is none.
    bool close_quietest();
    /// Raises what `session` holds to `bytes`, after closing others if necessary. Returns false if a limit
    /// forbids it.
    bool make_room_for(const caller_session& session, core::memory::holding& held, std::uint64_t bytes);
    /// Closes quiet connections until all bodies together leave room for `bytes` more. Returns whether they
    /// do.
    bool make_room_for_body(const caller_session& session, std::uint64_t bytes);
    std::uint64_t max_body_bytes() const;
    /// Closes connections until `enough`; `larger_than` as in `core::memory::closing_order`.
    bool close_in_order(const caller_session* requester, std::uint64_t larger_than,
                        const std::function<bool()>& enough);

    net::asio::io_context& m_context;
    forwarding_context m_forwarding;
    const settings& m_settings;
    descriptor_room* m_room;
    accept_loop m_accepts;
    /// No connection has been idle for long enough before this time.
    core::time_point m_none_idle_until = core::never;
    std::set<std::shared_ptr<caller_session>> m_sessions;
    /// Shared by all sessions: a session consumes the bytes before the next read.
    std::vector<char> m_read_buffer;
    /// Memory held by bodies of requests in flight and of answers that wait for earlier answers.
    std::uint64_t m_body_bytes = 0;
    core::stop_window m_stop;
    std::shared_ptr<core::memory::account> m_memory;
    closing_report m_closings;
    core::memory::progress_rule m_progress_rule;
    bool m_making_room = false;
};

} // namespace balsampost::entry
