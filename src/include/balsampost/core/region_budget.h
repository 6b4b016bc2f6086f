// The bytes that one instance may move between its region and the others: a token bucket for each region,
// class of traffic and direction, with a share of the pair's budget.
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

inline constexpr std::size_t traffic_classes = 3;
inline constexpr std::size_t directions = 2;

/// The class that a route names; `read` for anything else.
traffic_class traffic_class_of(const std::string& name);

class region_budget {
public:
    /// Takes the budgets of `objects` that touch `own_region`, divided evenly among the instances of both
    /// regions, so that all shares together stay within the pair's budget.
    void update(const object_set& objects, const member_list& members, const std::string& own_region,
                time_point now);

    /// Zero if bytes may move now, else how long to wait. Pairs without a budget are never delayed.
    duration delay(const std::string& region, traffic_class c, direction d, time_point now) const;

    /// Counts bytes that moved. The bucket may go below zero by what one message holds; the delay makes up
    /// for it.
    void charge(const std::string& region, traffic_class c, direction d, std::uint64_t bytes, time_point now);

    /// Bytes charged so far, over all pairs.
    std::uint64_t charged() const { return m_charged; }

private:
    struct bucket {
        double rate = 0;   // Bytes a second.
        double tokens = 0; // At most rate * burst_time.
        time_point filled = never;

        double tokens_at(time_point now) const;
    };
    using buckets = std::array<bucket, traffic_classes * directions>;

    std::map<std::string, buckets> m_regions; // Regions with a budget.
    std::uint64_t m_charged = 0;
};

} // namespace balsampost::core
