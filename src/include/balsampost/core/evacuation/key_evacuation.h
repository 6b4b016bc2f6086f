// Order in which keys leave evacuated failure domains: the busiest ranges first, a limited number at a time,
// so that the keys whose move has not begun are still served by their owners.
#pragma once

#include "balsampost/core/key_load.h"
#include "balsampost/core/key_table.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace balsampost::core::evacuation {

struct key_evacuation_settings {
    /// Ranges that move at once. Each needs a release and a grant; with the bound of 64 orders in flight,
    /// half of it is left for the renewal of grants.
    std::size_t max_moving = 32;
    /// After this time the rest moves at once: waiting for slow releases would leave keys without a server at
    /// the end of the owners' time. Half of that time for a bound of 5 s.
    milliseconds batch_time{1'875};
};

/// Whether a server is in an evacuated failure domain.
using evacuated_predicate = std::function<bool(const incarnation&)>;

/// Returns `table` without those ranges of evacuated owners whose turn has not come: at most `max_ranges`
/// remain, the ones with the highest rates. A plan that moves the ranges of lost owners then moves these.
key_table with_next_ranges(const key_table& table, const key_rates& rates,
                           const evacuated_predicate& evacuated, std::size_t max_ranges);

/// Returns the positions in `table.ranges` of the ranges that are moving away from evacuated servers, in
/// descending order of their rates.
std::vector<std::size_t> moving_by_rate(const key_table& table, const key_rates& rates,
                                        const evacuated_predicate& evacuated);

} // namespace balsampost::core::evacuation
