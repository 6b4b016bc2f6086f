// Binds listeners at the start of the process, and tries again those whose address is still in use or absent.
#pragma once

#include "balsampost/core/ini.h"
#include "balsampost/core/time.h"
#include "balsampost/entry/timers.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace balsampost::entry {

/// One address that the process listens on.
struct listener {
    /// Key of the address in the settings.
    const char* name;
    core::endpoint at;
    /// Throws `boost::system::system_error` if the address cannot be bound; may be called again then.
    std::function<void()> bind;
};

/// Binds listeners one after the other: each only when those before it are bound. Logs one line for each
/// listener that has to be tried again.
class listener_start {
public:
    struct handlers {
        /// All listeners are bound.
        std::function<void()> on_bound;
        /// An address could not be bound in time. The reason names it and the last error.
        std::function<void(const std::string& reason)> on_given_up;
    };

    /// Without `time_limit`, tries until `cancel` is called.
    listener_start(timers& t, core::milliseconds interval, std::optional<core::milliseconds> time_limit)
        : m_timers(t), m_interval(interval), m_time_limit(time_limit) {}

    /// Makes the first attempt at once. Must be called once.
    void start(std::vector<listener> listeners, handlers h);
    void cancel();

private:
    void try_next();
    void retry(const std::string& reason);

    timers& m_timers;
    core::milliseconds m_interval;
    std::optional<core::milliseconds> m_time_limit;
    std::vector<listener> m_listeners;
    handlers m_handlers;
    std::size_t m_next = 0; // Those before it are bound.
    bool m_logged = false;  // Whether the next one's line is written.
    core::time_point m_give_up_at = core::time_point::max();
    std::optional<timers::id> m_pending;
};

} // namespace balsampost::entry
