// Token buckets for traffic between regions.
#include "balsampost/core/region_budget.h"

#include <algorithm>

namespace balsampost::core {

namespace {

constexpr double bytes_per_megabit = 125'000;
/// Capacity of a bucket, as the time in seconds in which it fills.
constexpr double burst_seconds = 0.1;

std::size_t index_of(traffic_class c, direction d) {
    return static_cast<std::size_t>(c) * direction_count + static_cast<std::size_t>(d);
}

double percent_of(const budget& b, traffic_class c) {
    constexpr std::array members{&budget::reads_percent, &budget::writes_percent, &budget::uploads_percent};
    return b.*members.at(static_cast<std::size_t>(c));
}

} // namespace

traffic_class traffic_class_of(const std::string& name) {
    if (name == "upload") {
        return traffic_class::upload;
    }
    return name == "write" ? traffic_class::write : traffic_class::read;
}

double region_budget::bucket::tokens_at(time_point now) const {
    const double elapsed = std::chrono::duration<double>(now - filled).count();
    return std::min(rate * burst_seconds, tokens + rate * elapsed);
}

void region_budget::update(const object_set& objects, const member_list& members,
                           const std::string& own_region, time_point now) {
    std::map<std::string, buckets> next;
    for (const auto& [name, b] : objects.budgets) {
        const bool own_is_first = b.between.at(0) == own_region;
        if (!own_is_first && b.between.at(1) != own_region) {
            continue;
        }
        const auto& other = b.between.at(own_is_first ? 1 : 0);
        const auto instance_count =
            std::count_if(members.instances.begin(), members.instances.end(),
                          [&](const auto& i) { return i.region == own_region || i.region == other; });
        const double share_rate = b.megabits_per_second * bytes_per_megabit /
                                  static_cast<double>(std::max<std::ptrdiff_t>(1, instance_count));
        const auto previous = m_regions.find(other);
        auto& new_buckets = next[other];
        for (const auto c : {traffic_class::read, traffic_class::write, traffic_class::upload}) {
            for (const auto d : {direction::out, direction::in}) {
                auto& target = new_buckets.at(index_of(c, d));
                target.rate = share_rate * percent_of(b, c) / 100;
                // An update keeps an overdraft; a new bucket starts full.
                target.tokens = previous == m_regions.end()
                                    ? target.rate * burst_seconds
                                    : previous->second.at(index_of(c, d)).tokens_at(now);
                target.filled = now;
            }
        }
    }
    m_regions = std::move(next);
}

duration region_budget::delay(const std::string& region, traffic_class c, direction d, time_point now) const {
    const auto found = m_regions.find(region);
    if (found == m_regions.end()) {
        return duration::zero();
    }
    const auto& b = found->second.at(index_of(c, d));
    const double tokens = b.tokens_at(now);
    if (tokens > 0) {
        return duration::zero();
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(-tokens / b.rate)) +
           milliseconds(1);
}

void region_budget::charge(const std::string& region, traffic_class c, direction d, std::uint64_t bytes,
                           time_point now) {
    const auto found = m_regions.find(region);
    if (found == m_regions.end()) {
        return;
    }
    auto& b = found->second.at(index_of(c, d));
    b.tokens = b.tokens_at(now) - static_cast<double>(bytes);
    b.filled = now;
    m_charged_bytes += bytes;
}

} // namespace balsampost::core
