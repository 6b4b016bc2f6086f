// Which servers of a keyed service may own keys under its region limit, and which keys wait for a lost
// region. It decides where keys are planned only; when keys may be granted stays with the safety rules of the
// coordinator.
#pragma once

#include "balsampost/core/backend_directory.h"
#include "balsampost/core/key_table.h"
#include "balsampost/core/residency/region_limit.h"

#include <functional>
#include <map>
#include <string>

namespace balsampost::core::residency {

/// Placement of the owners of one service.
class owner_placement {
public:
    /// Sets the limit. `regions`: region by failure domain. Returns whether the limit has changed.
    bool set_limit(region_limit limit, const std::map<std::string, std::string>& regions);
    const region_limit& limit() const { return m_limit; }
    /// Records the regions of the listed servers. Those of servers that are no longer listed are kept, since
    /// the table may still name them as owners.
    void set_servers(const std::map<incarnation, backend>& listed);
    /// Recomputes whether the limit can be kept, before a plan. `usable`: whether a listed server could own
    /// keys if there were no limit.
    void update(const std::map<incarnation, backend>& listed,
                const std::function<bool(const incarnation&)>& usable, const key_table& table);

    /// Whether the last update found a limit and no usable server inside.
    bool unserved() const { return m_unserved; }
    /// Whether a usable server may own keys: it is in the owner regions, or no usable server is.
    bool may_own(const incarnation& which) const { return !m_in_force || is_inside(which); }
    /// Whether the keys of `range`, whose owner is lost, wait for the owner regions: the owner was there and
    /// no other usable server is. Moving them would place them outside the limit that they were under.
    bool waits(const key_range& range) const;

private:
    bool is_inside(const incarnation& which) const;

    region_limit m_limit;
    std::map<std::string, std::string> m_regions;          // Region by failure domain.
    std::map<incarnation, std::string> m_region_by_server; // Empty while there is no limit.
    bool m_region_known = false; // The settings know at least one of the owner regions.
    bool m_in_force = false;     // A usable server is in the owner regions, so owners are planned only there.
    bool m_unserved = false;
    bool m_owner_outside = false; // While not in force: some owner in the table is outside the owner regions.
};

} // namespace balsampost::core::residency
