// The rate at which a caller sends a request or takes an answer.
#pragma once

#include "balsampost/core/time.h"

#include <cstdint>

namespace balsampost::core::memory {

/// A caller that moves fewer bytes in a window is too slow.
struct progress_rule {
    std::uint64_t bytes_per_second = 0;
    milliseconds window{0};

    std::uint64_t bytes_per_window() const {
        return bytes_per_second * static_cast<std::uint64_t>(window.count()) / 1'000;
    }
};

/// Counts the bytes since the start of a window, of one direction of a connection.
class progress_meter {
public:
    void start(time_point at) {
        m_window_start = at;
        m_last_progress = at;
        m_bytes = 0;
    }
    void add(time_point at, std::uint64_t bytes) {
        m_last_progress = at;
        m_bytes += bytes;
    }
    /// Ends a window, and begins the next one at `at`. Returns whether the window met the rule.
    bool end_window(const progress_rule& rule, time_point at) {
        const bool met = m_bytes >= rule.bytes_per_window();
        m_window_start = at;
        m_bytes = 0;
        return met;
    }
    time_point window_start() const { return m_window_start; }
    time_point last_progress() const { return m_last_progress; }
    /// Bytes per second in the window so far. A window that has just begun counts as a second long.
    std::uint64_t rate(time_point at) const;

private:
    time_point m_window_start{};
    time_point m_last_progress{}; // Never before m_window_start, except for a window without progress.
    std::uint64_t m_bytes = 0;
};

} // namespace balsampost::core::memory
