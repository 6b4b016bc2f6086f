// Regions in a manifest.
#include "balsampost/core/residency/manifest_regions.h"

#include <algorithm>
#include <set>

namespace balsampost::core::residency {

region_limit owner_regions(const manifest& m, const std::string& service) {
    region_limit out;
    for (const auto& r : m.routes) {
        if (std::any_of(r.destinations.begin(), r.destinations.end(),
                        [&](const route_destination& d) { return d.service == service; })) {
            out.restrict_to(r.allowed_regions);
        }
    }
    return out;
}

std::vector<unknown_region> unknown_regions(const manifest& m,
                                            const std::map<std::string, std::string>& regions) {
    std::set<std::string> known;
    for (const auto& [domain, region] : regions) {
        known.insert(region);
    }
    std::vector<unknown_region> out;
    for (const auto& r : m.routes) {
        const std::set<std::string> named(r.allowed_regions.begin(), r.allowed_regions.end());
        for (const auto& region : named) {
            if (!known.contains(region)) {
                out.push_back({r.name, "allowed_regions", region});
            }
        }
    }
    return out;
}

std::string region_of(const std::map<std::string, std::string>& regions, const std::string& failure_domain) {
    const auto found = regions.find(failure_domain);
    return found == regions.end() ? std::string() : found->second;
}

} // namespace balsampost::core::residency
