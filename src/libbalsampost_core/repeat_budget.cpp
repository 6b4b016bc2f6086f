// Sliding-window counts of requests and repeats.
#include "balsampost/core/repeat_budget.h"

#include <algorithm>

namespace balsampost::core {

namespace {

constexpr milliseconds bucket_span{250};
/// Fraction of the limit that is used. Requests reach the servers up to a transit time after they are counted
/// here, so a window of arrivals can hold somewhat more repeats, or fewer requests, than a window of counts.
constexpr double used_fraction = 0.9;

} // namespace

repeat_budget::bucket& repeat_budget::current_bucket(time_point now) {
    while (!m_buckets.empty() && m_buckets.front().start + m_limits.window + bucket_span <= now) {
        m_buckets.pop_front();
    }
    if (m_buckets.empty() || m_buckets.back().start + bucket_span <= now) {
        m_buckets.push_back({now});
    }
    return m_buckets.back();
}

void repeat_budget::count_request(time_point now) {
    ++current_bucket(now).requests;
}

bool repeat_budget::take(time_point now, std::uint32_t instances) {
    auto& newest = current_bucket(now);
    double requests = 0;
    double repeats = 0;
    for (const auto& b : m_buckets) {
        requests += b.requests;
        repeats += b.repeats;
    }
    const double slack_share = m_limits.slack / std::max<std::uint32_t>(instances, 1);
    if (repeats + 1 > used_fraction * (m_limits.ratio * requests + slack_share)) {
        return false;
    }
    ++newest.repeats;
    return true;
}

} // namespace balsampost::core
