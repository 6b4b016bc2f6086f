// Which instances pass a coordinator's updates on to others, and their reports back to it. Load it answers: a
// fleet of hundreds of instances, of which a coordinator on half a core can reach some tens a few times a
// second. No input or output.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsampost::core {

/// An instance that reports to the coordinator itself.
struct direct_reporter {
    std::string name;
    std::string failure_domain;
    double weakness = 0;       ///< 0: the strongest, 1: the weakest.
    std::uint32_t members = 0; ///< Instances that report to it.
    bool keep_direct = false;  ///< It has lost its relay a moment ago.
};

/// Up to so many instances all report to the coordinator itself.
inline constexpr std::size_t most_without_relays = 24;

/// For instances that are to report to a relay, the relay's name; the others go on reporting directly. Relays
/// are in the failure domain of their members, so that an update crosses between domains once a relay. An
/// instance that has members keeps them; new relays are the strongest of their domain. A coordinator and its
/// relays each serve about the square root of the fleet.
std::map<std::string, std::string> plan_relays(std::vector<direct_reporter> reporters);

} // namespace balsampost::core
