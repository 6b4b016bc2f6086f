// Owners of keys under a region limit.
#include "balsampost/core/residency/owner_placement.h"

#include "balsampost/core/residency/manifest_regions.h"

#include <algorithm>

namespace balsampost::core::residency {

namespace {

// Servers whose regions are remembered; far more than a table names, so that none of its owners is forgotten.
constexpr std::size_t max_remembered_servers = 4'096;

} // namespace

bool owner_placement::set_limit(region_limit limit, const std::map<std::string, std::string>& regions) {
    m_regions = regions;
    m_region_known =
        !limit.unlimited() && std::any_of(m_regions.begin(), m_regions.end(),
                                          [&](const auto& entry) { return limit.allows(entry.second); });
    if (limit == m_limit) {
        return false;
    }
    m_limit = std::move(limit);
    m_in_force = false; // Until the next update.
    m_unserved = false;
    return true;
}

void owner_placement::set_servers(const std::map<incarnation, backend>& listed) {
    if (m_limit.unlimited()) {
        m_region_by_server.clear();
        return;
    }
    for (const auto& [which, b] : listed) {
        m_region_by_server.insert_or_assign(which, region_of(m_regions, b.failure_domain));
    }
    if (m_region_by_server.size() > std::max(max_remembered_servers, 2 * listed.size())) {
        std::erase_if(m_region_by_server, [&](const auto& entry) { return !listed.contains(entry.first); });
    }
}

void owner_placement::update(const std::map<incarnation, backend>& listed,
                             const std::function<bool(const incarnation&)>& usable, const key_table& table) {
    m_in_force = false;
    m_owner_outside = false;
    if (m_limit.unlimited()) {
        return;
    }
    m_in_force = std::any_of(listed.begin(), listed.end(), [&](const auto& entry) {
        return is_inside(entry.first) && usable(entry.first);
    });
    m_unserved = !m_in_force;
    m_owner_outside =
        !m_in_force && std::any_of(table.ranges.begin(), table.ranges.end(), [&](const key_range& r) {
            return m_region_by_server.contains(r.owner) && !is_inside(r.owner);
        });
}

bool owner_placement::is_inside(const incarnation& which) const {
    const auto found = m_region_by_server.find(which);
    return found != m_region_by_server.end() && m_limit.allows(found->second);
}

bool owner_placement::waits(const key_range& range) const {
    if (m_limit.unlimited() || m_in_force || !m_region_known || range.owner.empty()) {
        return false;
    }
    // The owner was lost before this instance started. Owners outside show that the limit could not be kept
    // even before; without any, the owner counts as one inside.
    return m_region_by_server.contains(range.owner) ? is_inside(range.owner) : !m_owner_outside;
}

} // namespace balsampost::core::residency
