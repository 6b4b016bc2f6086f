// Plans changes of key ownership: keys of lost or draining servers are reassigned, new servers get a share,
// and hot spots that exceed the capacity of one server are spread. Pure functions of the table and the
// measured load.
#pragma once

#include "balsampost/core/key_load.h"
#include "balsampost/core/key_table.h"

#include <algorithm>
#include <map>
#include <vector>

namespace balsampost::core {

/// A server that may own keys.
struct key_server {
    incarnation identity;
    double capacity = 1;   ///< Requests per second: slots divided by the time of one request.
    bool reachable = true; ///< Unless reachable, the server keeps its keys but gets no others.
    bool cold = false;     ///< As if not reachable. Not set if there is no warm server.
};

struct plan_settings {
    /// A server is relieved when its utilization exceeds the mean utilization by this factor ...
    double hot_to_mean_ratio = 1.35;
    /// ... and is at least this. Below this utilization its queue is short in any case.
    double min_hot_utilization = 0.6;
    /// A server gets more keys if its share of keys and of load is below this fraction of a fair share.
    double underfilled_share = 0.25;
    /// A key that needs this fraction of its owner's capacity is moved by itself.
    double large_key_fraction = 0.15;
    /// After a move, the target's utilization may be at most this fraction of the owner's utilization before
    /// it.
    double max_utilization_ratio = 0.85;
    /// A target with less free capacity than this fraction of its fair load is not used.
    double min_free_fraction = 0.05;
    /// Maximum moves per batch for small deployments; each move is an order to two servers.
    std::size_t base_max_moves = 24;
    /// One move per this many servers is allowed if that is more than `base_max_moves`.
    std::size_t servers_per_move = 6;
    /// Hot spots are not split further once the table has this many ranges.
    std::size_t base_max_ranges = 512;
    /// The same bound per server, used if it is more.
    std::size_t max_ranges_per_server = 2;

    /// Maximum moves per batch.
    std::size_t max_moves(std::size_t servers) const {
        return std::max(base_max_moves, servers / servers_per_move);
    }
};

/// Distribution of the load over the servers; logged with each plan.
struct load_summary {
    double total = 0;            ///< Requests per second.
    double mean_utilization = 0; ///< Total load over total capacity.
    double max_utilization = 0;  ///< Utilization of the server `hottest`.
    incarnation hottest;         ///< Server with the highest utilization.
    double hottest_capacity = 0; ///< Capacity of `hottest` in requests per second.
    double max_capacity = 0;     ///< Capacity of the fastest server in requests per second.
    shard_key busiest_key = 0;   ///< Busiest key of `hottest`.
    double busiest_rate = 0;     ///< Requests per second for `busiest_key`.
};
load_summary summarize(const key_table& table, const std::vector<key_server>& servers,
                       const key_rates& rates);

/// Initial assignment: one range per server that is not cold, sized by capacity.
std::vector<key_move> initial_owners(const std::vector<key_server>& servers);

/// Moves the ranges of owners that are not in `servers` to the least loaded servers. A restarted server gets
/// back the ranges of its predecessor, unless it is cold. Ranges for which no reachable server exists stay
/// where they are.
std::vector<key_move> reassign_lost(const key_table& table, const std::vector<key_server>& servers,
                                    const key_rates& rates);

/// Moves a share of the keys from the servers with the highest utilization to servers that have almost none.
std::vector<key_move> fill_new_servers(const key_table& table, const std::vector<key_server>& servers,
                                       const key_rates& rates, const plan_settings& settings);

/// Moves the hottest ranges away from servers that are loaded well above the mean.
std::vector<key_move> spread_hot_ranges(const key_table& table, const std::vector<key_server>& servers,
                                        const key_rates& rates, const plan_settings& settings);

} // namespace balsampost::core
