// Writes log lines to a file descriptor so that a reader gets whole lines or none: on pipes that are full,
// slow or take a part of a write.
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

namespace balsampost::telemetry {

/// Writes whole lines to one descriptor. Not thread-safe.
class line_writer {
public:
    /// `stall_timeout`: how long a descriptor may take no byte before the lines not yet begun are dropped.
    line_writer(int descriptor, std::chrono::milliseconds stall_timeout)
        : m_descriptor(descriptor), m_stall_timeout(stall_timeout) {}

    /// Writes `lines`, each ended by a newline, in pieces of whole lines that a pipe takes at once. Waits
    /// while the descriptor takes nothing, up to the stall timeout. Returns the number of lines that were
    /// dropped.
    std::uint64_t write(std::string_view lines);

private:
    /// Writes as much of `bytes` as the descriptor takes before the stall timeout and returns its size.
    std::size_t write_some(std::string_view bytes);

    int m_descriptor;
    std::chrono::milliseconds m_stall_timeout;
    /// The last line was written in part: its end is missing, and the next line must begin after a newline.
    bool m_line_open = false;
};

} // namespace balsampost::telemetry
