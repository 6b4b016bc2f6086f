// Sliding counts of requests and repeats.
#include "balsampost/core/repeat_budget.h"

#include <algorithm>

namespace balsampost::core {

namespace {

constexpr milliseconds bucket_length{250};
// Part of the bound that is used: arrivals at servers lie up to a transit time beside our own count of them.
constexpr double used_part = 0.9;

} // namespace

repeat_budget::bucket& repeat_budget::current(time_point now) {
    while (!m_buckets.empty() && m_buckets.front().start + m_limits.window + bucket_length <= now) {
        m_buckets.pop_front();
    }
    if (m_buckets.empty() || m_buckets.back().start + bucket_length <= now) {
        m_buckets.push_back({now});
    }
    return m_buckets.back();
}

void repeat_budget::counted_request(time_point now) {
    ++current(now).requests;
}

bool repeat_budget::take(time_point now, std::uint32_t instances) {
    auto& newest = current(now);
    double requests = 0;
    double repeats = 0;
    for (const auto& b : m_buckets) {
        requests += b.requests;
        repeats += b.repeats;
    }
    const double share = m_limits.slack / std::max<std::uint32_t>(instances, 1);
    if (repeats + 1 > used_part * (m_limits.ratio * requests + share)) {
        return false;
    }
    ++newest.repeats;
    return true;
}

} // namespace balsampost::core
