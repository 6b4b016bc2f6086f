// Selection of the ranges that leave evacuated failure domains next.
#include "balsampost/core/evacuation/key_evacuation.h"

#include <algorithm>

namespace balsampost::core::evacuation {

namespace {

/// Sorts positions of `table.ranges` by descending rate; equal ones stay in the order of their keys.
void sort_by_rate(std::vector<std::size_t>& positions, const key_table& table, const key_rates& rates) {
    const auto rate = [&](std::size_t i) { return rates.rate(table.ranges[i].from, table.ranges[i].to); };
    std::stable_sort(positions.begin(), positions.end(),
                     [&](std::size_t a, std::size_t b) { return rate(a) > rate(b); });
}

} // namespace

key_table with_next_ranges(const key_table& table, const key_rates& rates,
                           const evacuated_predicate& evacuated, std::size_t max_ranges) {
    std::vector<std::size_t> waiting;
    for (std::size_t i = 0; i < table.ranges.size(); ++i) {
        if (evacuated(table.ranges[i].owner)) {
            waiting.push_back(i);
        }
    }
    sort_by_rate(waiting, table, rates);
    waiting.erase(waiting.begin(),
                  waiting.begin() + static_cast<std::ptrdiff_t>(std::min(max_ranges, waiting.size())));
    const std::set<std::size_t> left_out(waiting.begin(), waiting.end());
    key_table out;
    out.last_fence = table.last_fence;
    for (std::size_t i = 0; i < table.ranges.size(); ++i) {
        if (!left_out.contains(i)) {
            out.ranges.push_back(table.ranges[i]);
        }
    }
    return out;
}

std::vector<std::size_t> moving_by_rate(const key_table& table, const key_rates& rates,
                                        const evacuated_predicate& evacuated) {
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < table.ranges.size(); ++i) {
        const auto& previous = table.ranges[i].previous;
        if (std::any_of(previous.begin(), previous.end(), evacuated)) {
            out.push_back(i);
        }
    }
    sort_by_rate(out, table, rates);
    return out;
}

} // namespace balsampost::core::evacuation
