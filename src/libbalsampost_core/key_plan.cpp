// Plans of key moves.
#include "balsampost/core/key_plan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace balsampost::core {

namespace {

// Load of one key without measured requests, so that keys count as load before there is traffic.
constexpr double idle_key_rate = 0.002;

double load_of(const key_rates& rates, shard_key from, shard_key to) {
    return rates.rate(from, to) + idle_key_rate * (to - from + 1);
}

struct server_load {
    const key_server* server = nullptr;
    double load = 0;
    shard_key keys = 0;

    double utilization() const { return load / server->capacity; }
};

using load_map = std::map<incarnation, server_load>;

load_map loads_of(const key_table& table, const std::vector<key_server>& servers, const key_rates& rates) {
    load_map out;
    for (const auto& s : servers) {
        out[s.self] = {&s, 0, 0};
    }
    for (const auto& run : table.runs) {
        const auto found = out.find(run.owner);
        if (found != out.end()) {
            found->second.load += load_of(rates, run.from, run.to);
            found->second.keys += run.size();
        }
    }
    return out;
}

/// The server that takes keys and would be least loaded after taking `load`; null if there is none but
/// `except`.
server_load* roomiest(load_map& loads, double load, const incarnation& except) {
    server_load* best = nullptr;
    for (auto& [id, s] : loads) {
        if (id != except && s.server->takes_keys &&
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

/// The last key of the part of `from`..`to` that begins at `from` and carries at most `load`, or one key.
shard_key cut_for(const key_rates& rates, shard_key from, shard_key to, double load) {
    shard_key low = from; // The part from..low fits, or is the least there can be.
    shard_key high = to;
    while (low < high) {
        const auto middle = low + (high - low + 1) / 2;
        if (load_of(rates, from, middle) <= load) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    return low;
}

/// The narrowest span of `run` that holds its hot groups of keys; the whole run if they carry little of its
/// load.
std::pair<shard_key, shard_key> hot_span(const key_run& run, const key_rates& rates) {
    constexpr double hot_times = 4; // A group is hot at this many times the run's mean ...
    constexpr double hot_rate = 1;  // ... and this many requests a second.
    constexpr double most_of_load = 0.5;
    const double total = rates.rate(run.from, run.to);
    const double mean = total / run.size() * keys_per_group;
    auto from = run.to;
    auto to = run.from;
    double hot = 0;
    for (auto group = run.from; group <= run.to; group += keys_per_group) {
        const auto last = std::min(run.to, group + keys_per_group - 1);
        const double rate = rates.rate(group, last);
        if (rate > hot_times * mean && rate > hot_rate) {
            from = std::min(from, group);
            to = std::max(to, last);
            hot += rate;
        }
    }
    if (hot < most_of_load * total || from > to) {
        return {run.from, run.to};
    }
    return {from, to};
}

} // namespace

load_summary summarize(const key_table& table, const std::vector<key_server>& servers,
                       const key_rates& rates) {
    const auto loads = loads_of(table, servers, rates);
    load_summary out;
    out.mean_utilization = mean_utilization(loads);
    for (const auto& [id, s] : loads) {
        out.total += s.load;
        if (s.utilization() > out.most_utilization) {
            out.most_utilization = s.utilization();
            out.hottest = id;
            out.hottest_capacity = s.server->capacity;
        }
        out.most_capacity = std::max(out.most_capacity, s.server->capacity);
    }
    for (const auto& run : table.runs) {
        for (auto key = run.from; run.owner == out.hottest && key <= run.to; ++key) {
            if (rates.rate(key, key) > out.busiest_rate) {
                out.busiest_rate = rates.rate(key, key);
                out.busiest_key = key;
            }
        }
    }
    return out;
}

std::map<incarnation, double> overloads(const key_table& table, const std::vector<key_server>& servers,
                                        const key_rates& rates) {
    constexpr double overloaded = 1.5; // Below, the queue at the server takes up the difference.
    // More than fits is let through, since it comes unevenly: the server's queue must not run empty in
    // between.
    constexpr double surplus = 1.3;
    std::map<incarnation, double> out;
    for (const auto& [id, s] : loads_of(table, servers, rates)) {
        if (s.utilization() > overloaded) {
            out[id] = std::min(1.0, surplus / s.utilization());
        }
    }
    return out;
}

std::vector<key_move> first_owners(const std::vector<key_server>& servers) {
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
            moves.push_back({from, end - 1, servers[i].self, true});
            from = end;
        }
    }
    return moves;
}

std::vector<key_move> replace_lost(const key_table& table, const std::vector<key_server>& servers,
                                   const key_rates& rates) {
    std::vector<key_move> moves;
    if (servers.empty()) {
        return moves;
    }
    auto loads = loads_of(table, servers, rates);
    const double fair = static_cast<double>(key_count) / static_cast<double>(servers.size());
    for (const auto& run : table.runs) {
        if (loads.contains(run.owner)) {
            continue;
        }
        // What a server had goes to the one that started under its id: grants may have reached it already.
        const auto again = std::find_if(servers.begin(), servers.end(), [&](const key_server& s) {
            return !run.owner.empty() && s.self.id == run.owner.id;
        });
        if (again != servers.end()) {
            loads[again->self].load += load_of(rates, run.from, run.to);
            moves.push_back({run.from, run.to, again->self, false});
            continue;
        }
        // A large run is shared out, so that one server's loss does not double another's load.
        const auto pieces =
            static_cast<shard_key>(std::clamp(std::lround(4 * run.size() / fair), 1L,
                                              static_cast<long>(std::min<std::size_t>(4, servers.size()))));
        const double piece_load = load_of(rates, run.from, run.to) / pieces;
        auto from = run.from;
        for (shard_key i = 0; i < pieces && from <= run.to; ++i) {
            const auto to = i + 1 == pieces ? run.to : cut_for(rates, from, run.to, piece_load);
            auto* taker = roomiest(loads, piece_load, run.owner);
            if (taker == nullptr) {
                return moves;
            }
            taker->load += load_of(rates, from, to);
            moves.push_back({from, to, taker->server->self, false});
            from = to + 1;
        }
    }
    return moves;
}

std::vector<key_move> fill_joined(const key_table& table, const std::vector<key_server>& servers,
                                  const key_rates& rates, const plan_settings& settings) {
    std::vector<key_move> moves;
    auto loads = loads_of(table, servers, rates);
    const double mean = mean_utilization(loads);
    const double fair =
        static_cast<double>(key_count) / static_cast<double>(std::max<std::size_t>(servers.size(), 1));
    std::map<shard_key, bool> taken; // Runs that a move was taken from already, by their first key.
    for (auto& [id, joined] : loads) {
        if (!joined.server->takes_keys || joined.keys >= settings.joined_share * fair ||
            joined.load >= settings.joined_share * mean * joined.server->capacity) {
            continue;
        }
        double wanted = mean * joined.server->capacity - joined.load;
        for (int part = 0; part < 3 && wanted > 0 && moves.size() < settings.moves_at_once(servers.size());
             ++part) {
            const key_run* source = nullptr;
            double most = 0;
            for (const auto& run : table.runs) {
                const auto owner = loads.find(run.owner);
                if (owner == loads.end() || run.moving() || taken[run.from] || run.size() < 2 ||
                    run.owner == id) {
                    continue;
                }
                if (owner->second.utilization() > most) {
                    most = owner->second.utilization();
                    source = &run;
                }
            }
            if (source == nullptr) {
                break;
            }
            auto& owner = loads.at(source->owner);
            const double run_load = load_of(rates, source->from, source->to);
            const double give = std::min(
                {wanted, run_load / 2, std::max(wanted / 3, owner.load - mean * owner.server->capacity)});
            const auto to = std::min(source->to - 1, cut_for(rates, source->from, source->to, give));
            const double given = load_of(rates, source->from, to);
            taken[source->from] = true;
            owner.load -= given;
            joined.load += given;
            wanted -= given;
            moves.push_back({source->from, to, id, false});
        }
    }
    return moves;
}

std::vector<key_move> spread_hot(const key_table& table, const std::vector<key_server>& servers,
                                 const key_rates& rates, const plan_settings& settings) {
    std::vector<key_move> moves;
    if (servers.size() < 2) {
        return moves;
    }
    auto loads = loads_of(table, servers, rates);
    const double mean = mean_utilization(loads);
    const double hot = std::max(settings.hot_over_mean * mean, settings.hot_utilization);
    const auto most_runs = std::max(settings.most_runs, settings.most_runs_per_server * servers.size());
    for (auto& [id, owner] : loads) {
        if (owner.utilization() <= hot || table.runs.size() + moves.size() >= most_runs) {
            continue;
        }
        // The densest run first: moving it relieves most for the fewest keys.
        std::vector<const key_run*> runs;
        for (const auto& run : table.runs) {
            if (run.owner == id && !run.moving()) {
                runs.push_back(&run);
            }
        }
        const auto density = [&](const key_run* r) { return rates.rate(r->from, r->to) / r->size(); };
        std::sort(runs.begin(), runs.end(),
                  [&](const auto* a, const auto* b) { return density(a) > density(b); });
        for (const auto* run : runs) {
            const auto [from, to] = hot_span(*run, rates);
            for (auto at = from; at <= to && moves.size() < settings.moves_at_once(servers.size());) {
                const double excess = owner.load - mean * owner.server->capacity;
                if (excess <= 0) {
                    break;
                }
                // A key that is a large part of a server's capacity goes alone, to where it is least trouble;
                // the others go in parts that fit the server with the most room.
                const double one = load_of(rates, at, at);
                const bool large = one > settings.large_key * owner.server->capacity;
                auto* taker = roomiest(loads, large ? one : 0, id);
                if (taker == nullptr) {
                    return moves;
                }
                const double room = mean * taker->server->capacity - taker->load;
                const auto end = large ? at : cut_for(rates, at, to, std::min(std::max(room, 0.0), excess));
                const double moved = load_of(rates, at, end);
                const double then = (taker->load + moved) / taker->server->capacity;
                const bool worse = then > settings.relief * owner.utilization();
                const bool no_room = !large && room <= settings.least_room * mean * taker->server->capacity;
                if (worse || no_room) {
                    at = end + 1; // This part stays; what is beside it may still go.
                    if (no_room) {
                        break;
                    }
                    continue;
                }
                taker->load += moved;
                owner.load -= moved;
                moves.push_back({at, end, taker->server->self, false});
                at = end + 1;
            }
        }
    }
    return moves;
}

} // namespace balsampost::core
