// Limits how often requests are repeated, that is, sent to a server again after an earlier attempt may have
// reached one. For each service and in any window, all instances together may make at most
// ratio * requests + slack repeats. Each instance stays within ratio * its own requests + slack / instances,
// so the common limit holds without coordination between instances.
#pragma once

#include "balsampost/core/time.h"

#include <cstdint>
#include <deque>

namespace balsampost::core {

/// The operator's limit for one service, over all instances.
struct repeat_limits {
    /// Repeats allowed per request.
    double ratio = 0.2;
    /// Repeats allowed in each window in addition to the ratio.
    double slack = 10;
    /// Length of the sliding window over which the limit holds.
    milliseconds window{10'000};
};

/// One instance's share of the limit.
class repeat_budget {
public:
    explicit repeat_budget(repeat_limits limits = {}) : m_limits(limits) {}

    void count_request(time_point now);
    /// Uses up one repeat. Returns false if this instance's share is exhausted. `instances` is the current
    /// number of instances and may change between calls.
    bool take(time_point now, std::uint32_t instances);

private:
    struct bucket {
        time_point start;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };
    bucket& current_bucket(time_point now);

    repeat_limits m_limits;
    std::deque<bucket> m_buckets; // Ascending by start; they cover the window and one further bucket.
};

} // namespace balsampost::core
