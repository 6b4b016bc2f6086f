// Admitted fractions of overloaded servers, and the return of refused callers.
#include "balsampost/core/admission.h"

#include <algorithm>

namespace balsampost::core {

namespace {

// Below this utilization the queue of the server absorbs the excess.
constexpr double overload_threshold = 1.5;
// Slightly more than the capacity is admitted: arrivals are uneven, and the queue of the server must not run
// empty in between.
constexpr double admitted_utilization = 1.3;
// Return of a refused caller under a slight overload; about the interval at which the load is checked.
constexpr milliseconds min_overload_retry_after{350};
// A caller that has this many times the shortest return left until its target can return and still be in
// target.
constexpr int returns_until_target = 2;
// The return leaves time for this many attempts until the deadline, the refused one included.
constexpr int attempts_until_deadline = 3;
constexpr double min_admitted_fraction = 0.01;

} // namespace

std::map<incarnation, double>
admitted_fractions(const key_table& table, const std::vector<key_server>& servers, const key_rates& rates) {
    std::map<incarnation, double> loads;
    for (const auto& range : table.ranges) {
        loads[range.owner] += rates.rate(range.from, range.to);
    }
    std::map<incarnation, double> out;
    for (const auto& s : servers) {
        const auto found = loads.find(s.identity);
        const double load = found == loads.end() ? 0 : found->second;
        if (load > overload_threshold * s.capacity) {
            out[s.identity] = admitted_utilization * s.capacity / load;
        }
    }
    return out;
}

milliseconds overload_retry_after(double admitted_fraction, milliseconds time_to_target,
                                  milliseconds time_to_deadline) {
    if (time_to_target > returns_until_target * min_overload_retry_after) {
        return min_overload_retry_after;
    }
    const auto latest = std::max(time_to_deadline / attempts_until_deadline, min_overload_retry_after);
    const auto by_overload = std::chrono::duration_cast<milliseconds>(
        min_overload_retry_after / std::max(admitted_fraction, min_admitted_fraction));
    return std::min(by_overload, latest);
}

} // namespace balsampost::core
