// Writes log lines to a file descriptor so that a reader gets whole lines or none: on pipes that are full,
// slow or take a part of a write.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace balsampost::telemetry {

/// Writes whole lines to one descriptor. Not thread-safe, but for `end_at`.
class line_writer {
public:
    /// `stall_timeout`: how long a descriptor may take no byte before the lines not yet begun are dropped.
    line_writer(int descriptor, std::chrono::milliseconds stall_timeout)
        : m_descriptor(descriptor), m_stall_timeout(stall_timeout) {}

    /// Writes `lines`, each ended by a newline, in pieces of whole lines that a pipe takes at once. Waits
    /// while the descriptor takes nothing, up to the stall timeout. Returns the number of lines that were
    /// dropped.
    std::uint64_t write(std::string_view lines);

    using clock = std::chrono::steady_clock;
    /// From `end` on, lines that the descriptor does not take at once are dropped. Any thread may call it,
    /// also during a write.
    void end_at(clock::time_point end) { m_end.store(end, std::memory_order_relaxed); }

private:
    /// Waits up to the stall timeout until the descriptor takes bytes or reports an error.
    bool wait_until_ready() const;
    /// Writes as much of `bytes` as the descriptor takes before the stall timeout and returns its size.
    std::size_t write_some(std::string_view bytes);

    int m_descriptor;
    std::chrono::milliseconds m_stall_timeout;
    /// The last line was written in part: its end is missing, and the next line must begin after a newline.
    bool m_line_open = false;
    std::atomic<clock::time_point> m_end{clock::time_point::max()};
};

} // namespace balsampost::telemetry
