// Room for the sockets of all uses within the process's descriptors.
#pragma once

#include "balsampost/core/process_limits.h"
#include "balsampost/entry/settings.h"

#include <array>
#include <functional>

namespace balsampost::entry {

/// Lowers the limits in `s` to those that the system grants, and logs both.
void bound_by_system(resource_settings& s);

class descriptor_room {
public:
    using counter = std::function<std::uint64_t()>;

    explicit descriptor_room(std::uint64_t descriptors) : m_split(core::split_descriptors(descriptors)) {}

    /// `open` returns the number of open sockets of `use`; it is called at each check.
    void count(core::descriptor_use use, counter open) { m_counters[core::index_of(use)] = std::move(open); }
    /// Whether `use` may open one more socket.
    bool has_room(core::descriptor_use use) const;
    const core::descriptor_split& split() const { return m_split; }

private:
    core::descriptor_split m_split;
    std::array<counter, core::descriptor_uses> m_counters;
};

} // namespace balsampost::entry
