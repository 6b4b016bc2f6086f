// Multiplexes many timers onto one Asio timer, with a granularity that lets close ones share a wake-up.
#pragma once

#include "balsampost/core/time.h"
#include "balsampost/net/asio.h"

#include <functional>
#include <map>

namespace balsampost::entry {

/// Returns the time of a monotonic clock that includes the time during which the machine was suspended:
/// grants and leases held by other processes keep running meanwhile.
core::time_point now();

class timers {
public:
    using id = std::pair<core::time_point, std::uint64_t>;

    explicit timers(net::asio::io_context& context) : m_timer(context) {}

    /// Runs `action` at `when` or up to `granularity` later.
    id at(core::time_point when, std::function<void()> action);
    void cancel(const id& which) { m_actions.erase(which); }
    void stop();

private:
    static constexpr core::milliseconds granularity{5};
    void arm();
    void run();

    net::asio::steady_timer m_timer;
    std::map<id, std::function<void()>> m_actions;
    core::time_point m_armed_for = core::time_point::max();
    std::uint64_t m_next = 1;
    bool m_stopped = false;
};

} // namespace balsampost::entry
