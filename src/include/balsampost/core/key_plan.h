// Which keys should change their owner: keys of servers that are gone or leaving, a share for servers that joined,
// and hot spots that one server cannot carry. Pure functions of the table and the measured load.
#pragma once

#include "balsampost/core/key_load.h"
#include "balsampost/core/key_table.h"

#include <vector>

namespace balsampost::core {

/// A server that may own keys.
struct key_server {
    incarnation self;
    double capacity = 1; ///< Requests a second that it can run: slots by time of one request.
};

struct plan_settings {
    /// A server is relieved when its load over its capacity is this much above the mean ...
    double hot_over_mean = 1.35;
    /// ... and at least this: below, its queue is short whatever the others do.
    double hot_utilization = 0.6;
    /// A server whose share of the keys is below this part of a fair one is given more.
    double joined_share = 0.25;
    std::size_t most_moves = 24; ///< In one batch; each is an order to two servers.
    std::size_t most_runs = 512; ///< Hot spots are not cut any further beyond this.
};

/// The first owners: one run a server, by capacity.
std::vector<key_move> first_owners(const std::vector<key_server>& servers);

/// Moves the runs whose owner is not in `servers` to those with the most room.
std::vector<key_move> replace_lost(const key_table& table, const std::vector<key_server>& servers,
                                   const key_rates& rates);

/// Gives servers with next to no keys a share, from the servers that have the most load for their capacity.
std::vector<key_move> fill_joined(const key_table& table, const std::vector<key_server>& servers,
                                  const key_rates& rates, const plan_settings& settings);

/// Spreads the hottest parts of servers that are loaded beyond the others.
std::vector<key_move> spread_hot(const key_table& table, const std::vector<key_server>& servers,
                                 const key_rates& rates, const plan_settings& settings);

} // namespace balsampost::core
