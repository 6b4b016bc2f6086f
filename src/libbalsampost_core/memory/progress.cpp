// Rate within a window.
#include "balsampost/core/memory/progress.h"

#include <algorithm>

namespace balsampost::core::memory {

std::uint64_t progress_meter::rate(time_point at) const {
    const auto elapsed = std::chrono::duration_cast<milliseconds>(at - m_window_start);
    const auto ms = static_cast<std::uint64_t>(std::max(elapsed, milliseconds{1'000}).count());
    return m_bytes * 1'000 / ms;
}

} // namespace balsampost::core::memory
