// Limits the bytes that one instance moves between its region and each other region, with a token bucket for
// each region, traffic class and direction. Each bucket has this instance's share of the region pair's
// budget.
#pragma once

#include "balsampost/core/identity.h"
#include "balsampost/core/objects.h"
#include "balsampost/core/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace balsampost::core {

enum class traffic_class : std::uint8_t { read, write, upload };
enum class direction : std::uint8_t { out, in };

inline constexpr std::size_t traffic_class_count = 3;
inline constexpr std::size_t direction_count = 2;

/// The traffic class that a route names; `read` for any other name.
traffic_class traffic_class_of(const std::string& name);

class region_budget {
public:
    /// Applies the budgets of `objects` that involve `own_region`. Each is divided evenly among the instances
    /// of both regions, so that all instances together stay within the pair's budget.
    void update(const object_set& objects, const member_list& members, const std::string& own_region,
                time_point now);

    /// How long to wait before moving bytes; zero if they may move now. Region pairs without a budget are not
    /// limited.
    duration delay(const std::string& region, traffic_class c, direction d, time_point now) const;

    /// Charges bytes that were moved. One message may overdraw the bucket by its whole size; `delay` then
    /// lasts until the overdraft is paid back.
    void charge(const std::string& region, traffic_class c, direction d, std::uint64_t bytes, time_point now);

    /// Total bytes charged, over all regions with a budget.
    std::uint64_t charged_bytes() const { return m_charged_bytes; }

private:
    struct bucket {
        double rate = 0;   // In bytes per second.
        double tokens = 0; // In bytes, as of `filled`; negative when overdrawn.
        time_point filled = never;

        double tokens_at(time_point now) const;
    };
    using buckets = std::array<bucket, traffic_class_count * direction_count>;

    std::map<std::string, buckets> m_regions; // Regions with a budget.
    std::uint64_t m_charged_bytes = 0;
};

} // namespace balsampost::core
