// What a manifest states about regions: where the owners of a keyed service may be, and which of the named
// regions are unknown.
#pragma once

#include "balsampost/core/manifest.h"
#include "balsampost/core/residency/region_limit.h"

#include <map>
#include <string>
#include <vector>

namespace balsampost::core::residency {

/// Regions in which the owners of the service's keys may be: the intersection over all routes with the
/// service among their destinations. A destination with weight 0 counts, since a request may still reach it
/// after a change of weights.
region_limit owner_regions(const manifest& m, const std::string& service);

/// A region that a route names and no setting knows; it has no servers.
struct unknown_region {
    std::string route;
    std::string field;
    std::string region;

    bool operator==(const unknown_region&) const = default;
};

/// The unknown regions in `m`, each once per route. `regions`: region by failure domain, from the settings.
std::vector<unknown_region> unknown_regions(const manifest& m,
                                            const std::map<std::string, std::string>& regions);

/// Region of a failure domain; empty if the settings do not state it.
std::string region_of(const std::map<std::string, std::string>& regions, const std::string& failure_domain);

} // namespace balsampost::core::residency
