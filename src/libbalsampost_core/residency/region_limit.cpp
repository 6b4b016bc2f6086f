// Intersections of lists of regions.
#include "balsampost/core/residency/region_limit.h"

#include <algorithm>
#include <iterator>

namespace balsampost::core::residency {

void region_limit::restrict_to(const std::vector<std::string>& list) {
    if (list.empty()) {
        return;
    }
    auto allowed = list;
    std::sort(allowed.begin(), allowed.end());
    allowed.erase(std::unique(allowed.begin(), allowed.end()), allowed.end());
    std::erase(allowed, "");
    if (m_regions) {
        std::vector<std::string> both;
        std::set_intersection(allowed.begin(), allowed.end(), m_regions->begin(), m_regions->end(),
                              std::back_inserter(both));
        allowed = std::move(both);
    }
    m_regions = std::move(allowed);
}

bool region_limit::allows(const std::string& region) const {
    return !m_regions || std::binary_search(m_regions->begin(), m_regions->end(), region);
}

region_limit intersection_of(const std::vector<std::vector<std::string>>& lists) {
    region_limit out;
    for (const auto& list : lists) {
        out.restrict_to(list);
    }
    return out;
}

std::string to_string(const region_limit& limit) {
    if (limit.unlimited()) {
        return "any";
    }
    std::string out;
    for (const auto& region : limit.regions()) {
        out += (out.empty() ? "" : ",") + region;
    }
    return out.empty() ? "none" : out;
}

} // namespace balsampost::core::residency
