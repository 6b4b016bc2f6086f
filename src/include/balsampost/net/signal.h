// A condition variable for coroutines of one thread, and detection of closed connections.
#pragma once

#include "balsampost/net/asio.h"

#include <functional>
#include <memory>
#include <set>

namespace balsampost::net {

/// Wakes coroutines that wait for a condition. All of them must run on one thread.
class signal {
public:
    signal() = default;
    signal(const signal&) = delete;
    signal& operator=(const signal&) = delete;

    /// Suspends the calling coroutine until `deadline`, or until `notify_all` is called if that is earlier.
    awaitable<void> wait_until(core::time_point deadline) {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        timer.expires_at(deadline);
        m_waiting.insert(&timer);
        error_code ec;
        co_await timer.async_wait(into(ec));
        m_waiting.erase(&timer);
    }

    /// Wakes all coroutines that are suspended in `wait_until`.
    void notify_all() {
        for (auto* timer : m_waiting) {
            timer->cancel();
        }
    }

private:
    std::set<asio::steady_timer*> m_waiting; // Each timer is a local of a suspended `wait_until`.
};

/// Calls `on_close` if the peer closes the connection of `socket` while this object exists. A socket can have
/// one watch at a time, and must not be read from meanwhile. Data that arrives ends the watch without a call.
class close_watch {
public:
    close_watch(tcp::socket& socket, std::function<void()> on_close);
    ~close_watch();
    close_watch(const close_watch&) = delete;
    close_watch& operator=(const close_watch&) = delete;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace balsampost::net
