// This instance's share of the budget of repeats that all instances have together for one service: in any
// window, repeats <= ratio x requests + slack. Each instance keeps within ratio x its own requests + slack /
// instances, so that the sum holds without a message.
#pragma once

#include "balsampost/core/time.h"

#include <cstdint>
#include <deque>

namespace balsampost::core {

struct repeat_limits {
    double ratio = 0.2;          ///< Repeats for each request, from the operator's bound.
    double slack = 10;           ///< Repeats that all instances have besides.
    milliseconds window{10'000}; ///< The bound holds in any span of this length.
};

class repeat_budget {
public:
    explicit repeat_budget(repeat_limits limits = {}) : m_limits(limits) {}

    void counted_request(time_point now);
    /// Takes one repeat, or returns false if this instance's share is used up. `instances` may change between
    /// calls.
    bool take(time_point now, std::uint32_t instances);

private:
    struct bucket {
        time_point start;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };
    bucket& current(time_point now);

    repeat_limits m_limits;
    std::deque<bucket> m_buckets; // Ascending; they cover the last window and one bucket more.
};

} // namespace balsampost::core
