// Bounds by the system's limits, and the split of descriptors.
#include "balsampost/core/process_limits.h"

#include <algorithm>

namespace balsampost::core {

namespace {

/// A reserve is a fixed number, or a fraction of all descriptors where these are few.
struct reserve_rule {
    std::uint64_t most;
    std::uint64_t divisor;
};

constexpr reserve_rule files{200, 8};
// In the order of `descriptor_use`. The fractions, with that of files, add up to less than one.
constexpr std::array<reserve_rule, descriptor_uses> reserves{
    {{136, 4}, {16, 16}, {8, 32}, {136, 4}, {40, 8}}};

constexpr std::uint64_t apply(const reserve_rule& rule, std::uint64_t descriptors) {
    return std::min(rule.most, descriptors / rule.divisor);
}

void lower(std::uint64_t& value, const std::optional<std::uint64_t>& bound) {
    if (bound) {
        value = std::min(value, *bound);
    }
}

} // namespace

process_limits limits_in_force(const process_limits& stated, const granted_limits& granted) {
    auto out = stated;
    lower(out.descriptors, granted.descriptors);
    for (const auto& bound :
         {granted.address_space, granted.data_segment, granted.group_memory, granted.machine_memory}) {
        lower(out.memory_bytes, bound);
    }
    return out;
}

descriptor_split split_descriptors(std::uint64_t descriptors) {
    descriptor_split out;
    out.sockets = descriptors - apply(files, descriptors);
    for (std::size_t i = 0; i < descriptor_uses; ++i) {
        out.reserved[i] = apply(reserves[i], descriptors);
    }
    return out;
}

bool has_room(const descriptor_split& split, const descriptor_counts& open, descriptor_use use) {
    auto needed = open[index_of(use)] + 1;
    for (std::size_t i = 0; i < descriptor_uses; ++i) {
        if (i != index_of(use)) {
            needed += std::max(open[i], split.reserved[i]);
        }
    }
    return needed <= split.sockets;
}

std::uint64_t max_sockets(const descriptor_split& split, descriptor_use use) {
    auto out = split.sockets;
    for (std::size_t i = 0; i < descriptor_uses; ++i) {
        out -= i == index_of(use) ? 0 : split.reserved[i];
    }
    return out;
}

} // namespace balsampost::core
