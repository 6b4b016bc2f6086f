// The shared Asio timer and its queue of actions.
#include "balsampost/entry/timers.h"

#include <ctime>

namespace balsampost::entry {

core::time_point now() {
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    return core::time_point(std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec));
}

timers::id timers::at(core::time_point when, std::function<void()> action) {
    const id key{when, m_next++};
    m_actions.emplace(key, std::move(action));
    if (when < m_armed_for) {
        arm();
    }
    return key;
}

void timers::stop() {
    m_stopped = true;
    m_actions.clear();
    m_timer.cancel();
}

void timers::arm() {
    if (m_stopped || m_actions.empty()) {
        m_armed_for = core::time_point::max();
        return;
    }
    m_armed_for = m_actions.begin()->first.first;
    const auto left = std::max<core::duration>(m_armed_for - now(), core::duration{0});
    m_timer.expires_after(left + granularity);
    m_timer.async_wait([this](net::error_code ec) {
        if (!ec) {
            run();
        }
    });
}

void timers::run() {
    // Actions added while this loop runs wait for the next one, even if they are due already: otherwise an
    // action that adds a due action each time would keep the event loop from all other work.
    const id last{now(), m_next};
    while (!m_actions.empty() && m_actions.begin()->first <= last) {
        if (m_actions.begin()->first.second >= last.second) {
            break;
        }
        auto action = std::move(m_actions.begin()->second);
        m_actions.erase(m_actions.begin());
        try {
            action();
        } catch (...) {
            arm(); // The other actions still run.
            throw;
        }
    }
    arm();
}

} // namespace balsampost::entry
