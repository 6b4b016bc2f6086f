// Placement of slices on servers: assigns slices without an owner, and plans the moves whose gain exceeds
// their cost.
#pragma once

#include "balsampost/core/cell_table.h"
#include "balsampost/core/objects.h"

#include <cstdint>
#include <span>
#include <vector>

namespace balsampost::core {

/// A server as input to the planner.
struct placement_server {
    server_number number = no_server;
    double capacity = 1;   ///< Relative: a server of capacity 2 gets twice the load.
    bool accepts = true;   ///< False for servers that are leaving, removed or unresponsive.
    bool evacuate = false; ///< True for servers that are leaving or removed: their slices are moved away.
};

/// A slice as input to the planner. Results refer to it by its index in the input.
struct placement_slice {
    server_number owner = no_server;
    double load = 0; ///< Requests per second.
};

/// A planned change of owner.
struct planned_move {
    std::uint32_t index = 0; ///< Index of the slice in the input.
    server_number to = no_server;

    bool operator==(const planned_move&) const = default;
};

/// Limits of the planner.
struct placement_limits {
    std::uint32_t max_share_percent = 100; ///< Maximum share of the slices on one server.
    std::uint32_t max_moves = 8;           ///< Maximum number of planned moves in one call.
};

/// Chooses an owner for each slice that has none. Empty if no server accepts slices.
std::vector<planned_move> assign_free(std::span<const placement_slice> slices,
                                      std::span<const placement_server> servers,
                                      const placement_limits& limits);

/// Plans moves under the weights of `p`. If slices can be moved off servers to be evacuated, plans only those
/// moves; otherwise moves that lower the imbalance by more than the cost of a move.
std::vector<planned_move> rebalance(std::span<const placement_slice> slices,
                                    std::span<const placement_server> servers, const placement_limits& limits,
                                    const profile& p);

/// The highest load of a server relative to its fair share; 1 is perfect balance, 0 means no load or servers.
double imbalance_of(std::span<const placement_slice> slices, std::span<const placement_server> servers);

} // namespace balsampost::core
