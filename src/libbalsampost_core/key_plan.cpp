// Planning of key moves.
#include "balsampost/core/key_plan.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <utility>

namespace balsampost::core {

namespace {

// Load of a key without measured requests in requests per second, so that keys count before there is traffic.
constexpr double unmeasured_key_rate = 0.002;

double estimated_load(const key_rates& rates, shard_key from, shard_key to) {
    return rates.rate(from, to) + unmeasured_key_rate * (to - from + 1);
}

struct server_load {
    const key_server* server = nullptr;
    double load = 0;
    shard_key keys = 0;

    double utilization() const { return load / server->capacity; }
};

using load_map = std::map<incarnation, server_load>;

load_map server_loads(const key_table& table, const std::vector<key_server>& servers,
                      const key_rates& rates) {
    load_map out;
    for (const auto& s : servers) {
        out[s.identity] = {&s, 0, 0};
    }
    for (const auto& range : table.ranges) {
        const auto found = out.find(range.owner);
        if (found != out.end()) {
            found->second.load += estimated_load(rates, range.from, range.to);
            found->second.keys += range.size();
        }
    }
    return out;
}

/// The reachable server with the lowest utilization after taking `load`; null if there is none besides
/// `except`.
server_load* least_loaded_after_taking(load_map& loads, double load, const incarnation& except) {
    server_load* best = nullptr;
    for (auto& [id, s] : loads) {
        if (id != except && s.server->reachable && !s.server->cold &&
            (best == nullptr ||
             (s.load + load) / s.server->capacity < (best->load + load) / best->server->capacity)) {
            best = &s;
        }
    }
    return best;
}

double mean_utilization(const load_map& loads) {
    double load = 0;
    double capacity = 0;
    for (const auto& [id, s] : loads) {
        load += s.load;
        capacity += s.server->capacity;
    }
    return capacity <= 0 ? 0 : load / capacity;
}

/// Last key of the longest range that starts at `from`, ends at `to` or before, and carries at most `load`.
/// The range has at least one key, even if that key carries more.
shard_key last_key_within(const key_rates& rates, shard_key from, shard_key to, double load) {
    shard_key low = from; // `from`..`low` fits or is a single key.
    shard_key high = to;
    while (low < high) {
        const auto middle = low + (high - low + 1) / 2;
        if (estimated_load(rates, from, middle) <= load) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    return low;
}

/// Narrowest part of `range` that contains its hot groups of keys; the whole range if they carry less than
/// half of its load.
std::pair<shard_key, shard_key> hot_subrange(const key_range& range, const key_rates& rates) {
    // A group is hot if its rate exceeds the mean group rate of the range by this factor ...
    constexpr double hot_ratio = 4;
    // ... and exceeds this many requests per second.
    constexpr double min_hot_rate = 1;
    constexpr double min_hot_share = 0.5;
    const double total = rates.rate(range.from, range.to);
    const double mean = total / range.size() * keys_per_group;
    auto from = range.to;
    auto to = range.from;
    double hot = 0;
    for (auto group = range.from; group <= range.to; group += keys_per_group) {
        const auto last = std::min(range.to, group + keys_per_group - 1);
        const double rate = rates.rate(group, last);
        if (rate > hot_ratio * mean && rate > min_hot_rate) {
            from = std::min(from, group);
            to = std::max(to, last);
            hot += rate;
        }
    }
    if (hot < min_hot_share * total || from > to) {
        return {range.from, range.to};
    }
    return {from, to};
}

} // namespace

load_summary summarize(const key_table& table, const std::vector<key_server>& servers,
                       const key_rates& rates) {
    const auto loads = server_loads(table, servers, rates);
    load_summary out;
    out.mean_utilization = mean_utilization(loads);
    for (const auto& [id, s] : loads) {
        out.total += s.load;
        if (s.utilization() > out.max_utilization) {
            out.max_utilization = s.utilization();
            out.hottest = id;
            out.hottest_capacity = s.server->capacity;
        }
        out.max_capacity = std::max(out.max_capacity, s.server->capacity);
    }
    for (const auto& range : table.ranges) {
        for (auto key = range.from; range.owner == out.hottest && key <= range.to; ++key) {
            if (rates.rate(key, key) > out.busiest_rate) {
                out.busiest_rate = rates.rate(key, key);
                out.busiest_key = key;
            }
        }
    }
    return out;
}

std::vector<key_move> initial_owners(const std::vector<key_server>& all) {
    std::vector<key_server> servers;
    std::copy_if(all.begin(), all.end(), std::back_inserter(servers),
                 [](const key_server& s) { return !s.cold; });
    std::vector<key_move> moves;
    double total = 0;
    for (const auto& s : servers) {
        total += s.capacity;
    }
    double sum = 0;
    shard_key from = 0;
    for (std::size_t i = 0; i < servers.size() && from < key_count; ++i) {
        sum += servers[i].capacity;
        const auto end =
            i + 1 == servers.size() ? key_count : static_cast<shard_key>(key_count * (sum / total));
        if (end > from) {
            moves.push_back({from, end - 1, servers[i].identity, true});
            from = end;
        }
    }
    return moves;
}

std::vector<key_move> reassign_lost(const key_table& table, const std::vector<key_server>& servers,
                                    const key_rates& rates) {
    std::vector<key_move> moves;
    if (servers.empty()) {
        return moves;
    }
    auto loads = server_loads(table, servers, rates);
    const double fair_key_count = static_cast<double>(key_count) / static_cast<double>(servers.size());
    for (const auto& range : table.ranges) {
        if (loads.contains(range.owner)) {
            continue;
        }
        // The ranges of an ended server go to the server that started under the same id, since grants meant
        // for the former may have reached the latter.
        const auto restarted = std::find_if(servers.begin(), servers.end(), [&](const key_server& s) {
            return !range.owner.empty() && s.identity.id == range.owner.id && !s.cold;
        });
        if (restarted != servers.end()) {
            loads[restarted->identity].load += estimated_load(rates, range.from, range.to);
            moves.push_back({range.from, range.to, restarted->identity, false});
            continue;
        }
        // A large range is split, so that the loss of one server does not double the load of another.
        const auto pieces =
            static_cast<shard_key>(std::clamp(std::lround(4 * range.size() / fair_key_count), 1L,
                                              static_cast<long>(std::min<std::size_t>(4, servers.size()))));
        const double piece_load = estimated_load(rates, range.from, range.to) / pieces;
        auto from = range.from;
        for (shard_key i = 0; i < pieces && from <= range.to; ++i) {
            const auto to = i + 1 == pieces ? range.to : last_key_within(rates, from, range.to, piece_load);
            auto* target = least_loaded_after_taking(loads, piece_load, range.owner);
            if (target == nullptr) {
                return moves;
            }
            target->load += estimated_load(rates, from, to);
            moves.push_back({from, to, target->server->identity, false});
            from = to + 1;
        }
    }
    return moves;
}

std::vector<key_move> fill_new_servers(const key_table& table, const std::vector<key_server>& servers,
                                       const key_rates& rates, const plan_settings& settings) {
    std::vector<key_move> moves;
    auto loads = server_loads(table, servers, rates);
    const double mean = mean_utilization(loads);
    const double fair_key_count =
        static_cast<double>(key_count) / static_cast<double>(std::max<std::size_t>(servers.size(), 1));
    std::map<shard_key, bool> split_ranges; // Ranges already used as a source, by first key.
    for (auto& [id, new_server] : loads) {
        if (!new_server.server->reachable || new_server.server->cold ||
            new_server.keys >= settings.underfilled_share * fair_key_count ||
            new_server.load >= settings.underfilled_share * mean * new_server.server->capacity) {
            continue;
        }
        double missing_load = mean * new_server.server->capacity - new_server.load;
        for (int attempt = 0;
             attempt < 3 && missing_load > 0 && moves.size() < settings.max_moves(servers.size());
             ++attempt) {
            const key_range* source = nullptr;
            double highest = 0;
            for (const auto& range : table.ranges) {
                const auto owner = loads.find(range.owner);
                if (owner == loads.end() || range.moving() || split_ranges[range.from] || range.size() < 2 ||
                    range.owner == id) {
                    continue;
                }
                if (owner->second.utilization() > highest) {
                    highest = owner->second.utilization();
                    source = &range;
                }
            }
            if (source == nullptr) {
                break;
            }
            auto& owner = loads.at(source->owner);
            const double range_load = estimated_load(rates, source->from, source->to);
            const double target_load =
                std::min({missing_load, range_load / 2,
                          std::max(missing_load / 3, owner.load - mean * owner.server->capacity)});
            const auto to =
                std::min(source->to - 1, last_key_within(rates, source->from, source->to, target_load));
            const double moved_load = estimated_load(rates, source->from, to);
            split_ranges[source->from] = true;
            owner.load -= moved_load;
            new_server.load += moved_load;
            missing_load -= moved_load;
            moves.push_back({source->from, to, id, false});
        }
    }
    return moves;
}

std::vector<key_move> spread_hot_ranges(const key_table& table, const std::vector<key_server>& servers,
                                        const key_rates& rates, const plan_settings& settings) {
    std::vector<key_move> moves;
    if (servers.size() < 2) {
        return moves;
    }
    auto loads = server_loads(table, servers, rates);
    const double mean = mean_utilization(loads);
    const double hot = std::max(settings.hot_to_mean_ratio * mean, settings.min_hot_utilization);
    const auto base_max_ranges =
        std::max(settings.base_max_ranges, settings.max_ranges_per_server * servers.size());
    for (auto& [id, owner] : loads) {
        if (owner.utilization() <= hot || table.ranges.size() + moves.size() >= base_max_ranges) {
            continue;
        }
        // Ranges with the most load per key first: moving them relieves the owner with the fewest keys.
        std::vector<const key_range*> ranges;
        for (const auto& range : table.ranges) {
            if (range.owner == id && !range.moving()) {
                ranges.push_back(&range);
            }
        }
        const auto density = [&](const key_range* r) { return rates.rate(r->from, r->to) / r->size(); };
        std::sort(ranges.begin(), ranges.end(),
                  [&](const auto* a, const auto* b) { return density(a) > density(b); });
        for (const auto* range : ranges) {
            const auto [from, to] = hot_subrange(*range, rates);
            for (auto at = from; at <= to && moves.size() < settings.max_moves(servers.size());) {
                const double excess = owner.load - mean * owner.server->capacity;
                if (excess <= 0) {
                    break;
                }
                // A key that needs a large fraction of a server's capacity moves alone, to the server with
                // the lowest utilization after the move. Other keys move in parts that fit the least loaded
                // server.
                const double key_load = estimated_load(rates, at, at);
                const bool is_large = key_load > settings.large_key_fraction * owner.server->capacity;
                auto* target = least_loaded_after_taking(loads, is_large ? key_load : 0, id);
                if (target == nullptr) {
                    return moves;
                }
                const double free_capacity = mean * target->server->capacity - target->load;
                const auto end =
                    is_large ? at
                             : last_key_within(rates, at, to, std::min(std::max(free_capacity, 0.0), excess));
                const double moved = estimated_load(rates, at, end);
                const double utilization_after = (target->load + moved) / target->server->capacity;
                const bool gain_too_small =
                    utilization_after > settings.max_utilization_ratio * owner.utilization();
                const bool target_full = !is_large && free_capacity <= settings.min_free_fraction * mean *
                                                                           target->server->capacity;
                if (gain_too_small || target_full) {
                    at = end + 1; // This part stays; the keys after it may still move.
                    if (target_full) {
                        break;
                    }
                    continue;
                }
                target->load += moved;
                owner.load -= moved;
                moves.push_back({at, end, target->server->identity, false});
                at = end + 1;
            }
        }
    }
    return moves;
}

} // namespace balsampost::core
