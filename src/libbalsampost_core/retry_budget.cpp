// Accounting of retries, and exponential backoff.
#include "balsampost/core/retry_budget.h"

#include <algorithm>

namespace balsampost::core {

void retry_budget::record_success() {
    m_available = std::min(m_limits.max_available, m_available + m_limits.earned_per_success);
}

bool retry_budget::take() {
    if (m_available < 1) {
        return false;
    }
    m_available -= 1;
    return true;
}

duration retry_budget::backoff(std::uint32_t attempt, std::uint64_t random) const {
    constexpr std::uint32_t max_doublings = 20;
    const auto doublings = std::min(attempt == 0 ? 0 : attempt - 1, max_doublings);
    const duration full =
        std::min<duration>(m_limits.max_backoff, m_limits.initial_backoff * (1LL << doublings));
    return full / 2 +
           duration(static_cast<std::int64_t>(random % static_cast<std::uint64_t>(full.count() / 2 + 1)));
}

} // namespace balsampost::core
