// Which keys should change their owner: keys of servers that are gone or leaving, a share for servers that
// joined, and hot spots that one server cannot carry. Pure functions of the table and the measured load.
#pragma once

#include "balsampost/core/key_load.h"
#include "balsampost/core/key_table.h"

#include <algorithm>
#include <map>
#include <vector>

namespace balsampost::core {

/// A server that may own keys.
struct key_server {
    incarnation self;
    double capacity = 1;    ///< Requests a second that it can run: slots by time of one request.
    bool takes_keys = true; ///< Orders reach it, as far as is known.
};

struct plan_settings {
    /// A server is relieved when its load over its capacity is this much above the mean ...
    double hot_over_mean = 1.35;
    /// ... and at least this: below, its queue is short whatever the others do.
    double hot_utilization = 0.6;
    /// A server whose share of the keys is below this part of a fair one is given more.
    double joined_share = 0.25;
    /// A key with this part of its owner's capacity is placed by itself.
    double large_key = 0.15;
    /// A move must bring its taker no further than this part of the load that the owner has now.
    double relief = 0.85;
    /// Room below this part of a server's fair load is not worth a move.
    double least_room = 0.05;
    std::size_t most_moves =
        24; ///< In one batch, or the next if it is more; each is an order to two servers.
    std::size_t servers_per_move = 6;
    std::size_t most_runs =
        512; ///< Hot spots are not cut any further beyond this, or the next if it is more.
    std::size_t most_runs_per_server = 2;

    std::size_t moves_at_once(std::size_t servers) const {
        return std::max(most_moves, servers / servers_per_move);
    }
};

/// How the load lies on the servers: what a plan is decided by.
struct load_summary {
    double total = 0;            ///< Requests a second.
    double mean_utilization = 0; ///< Load over capacity, of all servers together.
    double most_utilization = 0; ///< Of the server that has the most.
    incarnation hottest;
    double hottest_capacity = 0; ///< Requests a second that the hottest can run.
    double most_capacity = 0;    ///< The same of the fastest server.
    shard_key busiest_key = 0;   ///< Of the hottest's keys.
    double busiest_rate = 0;     ///< Its requests a second.
};
load_summary summarize(const key_table& table, const std::vector<key_server>& servers,
                       const key_rates& rates);

/// Servers that are asked for more than they can run, and the part of their requests that fits.
std::map<incarnation, double> overloads(const key_table& table, const std::vector<key_server>& servers,
                                        const key_rates& rates);

/// The first owners: one run a server, by capacity.
std::vector<key_move> first_owners(const std::vector<key_server>& servers);

/// Moves the runs whose owner is not in `servers` to those with the most room; none if nobody takes keys.
std::vector<key_move> replace_lost(const key_table& table, const std::vector<key_server>& servers,
                                   const key_rates& rates);

/// Gives servers with next to no keys a share, from the servers that have the most load for their capacity.
std::vector<key_move> fill_joined(const key_table& table, const std::vector<key_server>& servers,
                                  const key_rates& rates, const plan_settings& settings);

/// Spreads the hottest parts of servers that are loaded beyond the others.
std::vector<key_move> spread_hot(const key_table& table, const std::vector<key_server>& servers,
                                 const key_rates& rates, const plan_settings& settings);

} // namespace balsampost::core
