// Limit on the regions in which something may be: the servers of a request, or the owners of keys.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace balsampost::core::residency {

/// All regions, or exactly those listed; an exhausted limit allows none.
class region_limit {
public:
    /// Restricts the limit to the regions in `list`. An empty list restricts nothing.
    void restrict_to(const std::vector<std::string>& list);

    bool unlimited() const { return !m_regions; }
    /// Whether `region` is allowed. A server whose region is unknown has an empty name, which only an
    /// unlimited limit allows.
    bool allows(const std::string& region) const;
    /// Whether no region is allowed.
    bool exhausted() const { return m_regions && m_regions->empty(); }
    /// The allowed regions in ascending order; empty if unlimited or exhausted.
    std::vector<std::string> regions() const { return m_regions.value_or(std::vector<std::string>{}); }

    bool operator==(const region_limit&) const = default;

private:
    std::optional<std::vector<std::string>> m_regions; // Ascending, without duplicates; none: unlimited.
};

/// Intersection of the lists that apply to a request: that of its route and that of its client account. An
/// empty list restricts nothing.
region_limit intersection_of(const std::vector<std::vector<std::string>>& lists);

/// Text for the log: the regions separated by commas, `any` or `none`.
std::string to_string(const region_limit& limit);

} // namespace balsampost::core::residency
