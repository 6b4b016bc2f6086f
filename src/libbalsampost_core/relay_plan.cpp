// Choice of relays by failure domain.
#include "balsampost/core/relay_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace balsampost::core {

namespace {

constexpr std::size_t fewest_members = 8; // A relay for fewer saves nothing.

/// The relays of one failure domain first, then the others by strength.
void order_by_fitness(std::vector<direct_reporter*>& domain) {
    std::sort(domain.begin(), domain.end(), [](const auto* a, const auto* b) {
        return std::tuple(a->members == 0, a->weakness, a->name) <
               std::tuple(b->members == 0, b->weakness, b->name);
    });
}

} // namespace

std::map<std::string, std::string> plan_relays(std::vector<direct_reporter> reporters) {
    std::map<std::string, std::string> out;
    const auto fleet = std::accumulate(reporters.begin(), reporters.end(), std::size_t{1},
                                       [](std::size_t sum, const auto& r) { return sum + 1 + r.members; });
    if (fleet <= most_without_relays + 1) {
        return out;
    }
    const auto most_members =
        std::max(fewest_members, static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(fleet)))));
    std::map<std::string, std::vector<direct_reporter*>> domains;
    for (auto& r : reporters) {
        domains[r.failure_domain].push_back(&r);
    }
    for (auto& [name, domain] : domains) {
        order_by_fitness(domain);
        std::size_t size = 0;
        std::size_t relays = 0;
        for (const auto* r : domain) {
            size += 1 + r->members;
            relays += r->members > 0 ? 1 : 0;
        }
        const auto wanted = (size + most_members) / (most_members + 1);
        relays = std::min(std::max(relays, wanted), domain.size());
        for (auto i = relays; i < domain.size(); ++i) {
            if (domain[i]->keep_direct) {
                continue;
            }
            auto* relay =
                *std::min_element(domain.begin(), domain.begin() + static_cast<std::ptrdiff_t>(relays),
                                  [](const auto* a, const auto* b) { return a->members < b->members; });
            if (relay->members < 2 * most_members) {
                out[domain[i]->name] = relay->name;
                ++relay->members;
            }
        }
    }
    return out;
}

} // namespace balsampost::core
