// Assignment of relays within each failure domain.
#include "balsampost/core/relay_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace balsampost::core {

namespace {

/// A relay with fewer members would not reduce the coordinator's load.
constexpr std::size_t min_members_per_relay = 8;

/// Sorts the instances of one failure domain: existing relays first, then by capacity.
void sort_by_suitability(std::vector<direct_reporter*>& domain) {
    std::sort(domain.begin(), domain.end(), [](const auto* a, const auto* b) {
        return std::tuple(a->members == 0, a->capacity_shortage, a->name) <
               std::tuple(b->members == 0, b->capacity_shortage, b->name);
    });
}

} // namespace

std::map<std::string, std::string> plan_relays(std::vector<direct_reporter> reporters) {
    std::map<std::string, std::string> out;
    // The coordinator, its direct reporters and their members.
    const auto fleet_size =
        std::accumulate(reporters.begin(), reporters.end(), std::size_t{1},
                        [](std::size_t sum, const auto& r) { return sum + 1 + r.members; });
    if (fleet_size <= max_reporters_without_relays + 1) {
        return out;
    }
    const auto target_members =
        std::max(min_members_per_relay,
                 static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(fleet_size)))));
    std::map<std::string, std::vector<direct_reporter*>> domains;
    for (auto& r : reporters) {
        domains[r.failure_domain].push_back(&r);
    }
    for (auto& [name, domain] : domains) {
        sort_by_suitability(domain);
        std::size_t size = 0;
        std::size_t relay_count = 0;
        for (const auto* r : domain) {
            size += 1 + r->members;
            relay_count += r->members > 0 ? 1 : 0;
        }
        const auto needed = (size + target_members) / (target_members + 1);
        relay_count = std::min(std::max(relay_count, needed), domain.size());
        for (auto i = relay_count; i < domain.size(); ++i) {
            if (domain[i]->lost_relay_recently) {
                continue;
            }
            auto* relay =
                *std::min_element(domain.begin(), domain.begin() + static_cast<std::ptrdiff_t>(relay_count),
                                  [](const auto* a, const auto* b) { return a->members < b->members; });
            if (relay->members < 2 * target_members) {
                out[domain[i]->name] = relay->name;
                ++relay->members;
            }
        }
    }
    return out;
}

} // namespace balsampost::core
