// The write loop of the log.
#include "balsampost/telemetry/line_writer.h"

#include <algorithm>
#include <cerrno>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace balsampost::telemetry {

namespace {

/// End of the longest run of whole lines in `lines` that fits into `max_bytes`; the end of the first line if
/// that is longer.
std::size_t piece_end(std::string_view lines, std::size_t max_bytes) {
    if (lines.size() <= max_bytes) {
        return lines.size();
    }
    const auto last = lines.rfind('\n', max_bytes - 1);
    const auto end = last == std::string_view::npos ? lines.find('\n') : last;
    return end == std::string_view::npos ? lines.size() : end + 1;
}

} // namespace

std::size_t line_writer::write_some(std::string_view bytes) {
    std::size_t written = 0;
    while (written < bytes.size()) {
        // A blocking descriptor would hold the thread for as long as its reader sleeps. One that is ready
        // takes PIPE_BUF bytes at once.
        if (!wait_until_ready()) {
            return written;
        }
        const auto size = std::min<std::size_t>(bytes.size() - written, PIPE_BUF);
        const auto n = ::write(m_descriptor, bytes.data() + written, size);
        if (n > 0) {
            written += static_cast<std::size_t>(n);
            continue;
        }
        if (n == 0 || (errno != EINTR && errno != EAGAIN && errno != EWOULDBLOCK)) {
            return written;
        }
    }
    return written;
}

bool line_writer::wait_until_ready() const {
    using std::chrono::milliseconds;
    const auto begin = clock::now();
    while (true) {
        const auto at = clock::now();
        const auto left = std::chrono::ceil<milliseconds>(
            std::min(begin + m_stall_timeout, m_end.load(std::memory_order_relaxed)) - at);
        pollfd ready{m_descriptor, POLLOUT, 0};
        const auto polled = ::poll(&ready, 1, static_cast<int>(std::max(left, milliseconds{0}).count()));
        if (polled >= 0 || errno != EINTR) {
            return polled > 0;
        }
    }
}

std::uint64_t line_writer::write(std::string_view lines) {
    if (m_line_open && write_some("\n") == 1) {
        m_line_open = false;
    }
    while (!lines.empty() && !m_line_open) {
        // Writes of up to PIPE_BUF bytes are atomic, so a pipe that is full takes whole pieces or nothing.
        const auto piece = lines.substr(0, piece_end(lines, PIPE_BUF));
        const auto written = write_some(piece);
        if (written == piece.size()) {
            lines.remove_prefix(piece.size());
            continue;
        }
        const auto last_newline = piece.substr(0, written).rfind('\n');
        const auto whole = last_newline == std::string_view::npos ? 0 : last_newline + 1;
        m_line_open = written > whole;
        lines.remove_prefix(whole);
        break;
    }
    return static_cast<std::uint64_t>(std::count(lines.begin(), lines.end(), '\n'));
}

} // namespace balsampost::telemetry
