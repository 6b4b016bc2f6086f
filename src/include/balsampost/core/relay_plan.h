// Assigns instances to relays, which forward a coordinator's updates to them and their reports back to it.
// Relays bound the coordinator's load in a fleet of hundreds of instances: a coordinator limited to half a
// CPU core can exchange messages with only a few tens of instances several times a second.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsampost::core {

/// An instance that reports to the coordinator without a relay.
struct direct_reporter {
    std::string name;
    std::string failure_domain;
    /// Lack of CPU or network capacity, from 0 (ample) to 1 (none).
    double capacity_shortage = 0;
    /// Number of instances that use it as their relay.
    std::uint32_t members = 0;
    /// It lost its relay a short time ago and reports directly for now.
    bool lost_relay_recently = false;
};

/// With at most this many reporters, all report to the coordinator directly.
inline constexpr std::size_t max_reporters_without_relays = 24;

/// Returns the relay of each instance that is to report through one, both by name; the others continue to
/// report directly. A relay serves members of its own failure domain only, so that each update crosses
/// between domains once per relay. An instance that already has members keeps them; new relays are the ones
/// with the smallest capacity shortfall in their domain. The coordinator and each relay serve about the
/// square root of the fleet size.
std::map<std::string, std::string> plan_relays(std::vector<direct_reporter> reporters);

} // namespace balsampost::core
