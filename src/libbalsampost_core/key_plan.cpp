// Plans of key moves.
#include "balsampost/core/key_plan.h"

#include <algorithm>
#include <cmath>
#include <map>

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

/// The server that would be least loaded after taking `load`; null if there is none but `except`.
server_load* roomiest(load_map& loads, double load, const incarnation& except) {
    server_load* best = nullptr;
    for (auto& [id, s] : loads) {
        if (id != except &&
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

/// The last key of the part of `from`..`to` that begins at `from` and carries about `load`.
shard_key cut_for(const key_rates& rates, shard_key from, shard_key to, double load) {
    double sum = 0;
    shard_key at = from;
    while (at <= to) {
        const auto edge = std::min<shard_key>(to, (bin_of(at) + 1) * keys_per_bin - 1);
        const double bin_load = load_of(rates, at, edge);
        if (sum + bin_load >= load) {
            const double part = bin_load <= 0 ? 1.0 : (load - sum) / bin_load;
            const auto keys = static_cast<shard_key>(std::ceil(part * (edge - at + 1)));
            return at + std::clamp<shard_key>(keys, 1, edge - at + 1) - 1;
        }
        sum += bin_load;
        at = edge + 1;
    }
    return to;
}

} // namespace

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
        const auto end = i + 1 == servers.size() ? key_count : static_cast<shard_key>(key_count * (sum / total));
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
        // A large run is shared out, so that one server's loss does not double another's load.
        const auto pieces = static_cast<shard_key>(
            std::clamp(std::lround(4 * run.size() / fair), 1L, static_cast<long>(std::min<std::size_t>(4, servers.size()))));
        const double piece_load = load_of(rates, run.from, run.to) / pieces;
        auto from = run.from;
        for (shard_key i = 0; i < pieces && from <= run.to; ++i) {
            const auto to = i + 1 == pieces ? run.to : cut_for(rates, from, run.to, piece_load);
            auto* taker = roomiest(loads, piece_load, run.owner);
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
    const double fair = static_cast<double>(key_count) / static_cast<double>(std::max<std::size_t>(servers.size(), 1));
    std::map<shard_key, bool> taken; // Runs that a move was taken from already, by their first key.
    for (auto& [id, joined] : loads) {
        if (joined.keys >= settings.joined_share * fair || joined.load >= settings.joined_share * mean * joined.server->capacity) {
            continue;
        }
        double wanted = mean * joined.server->capacity - joined.load;
        for (int part = 0; part < 3 && wanted > 0 && moves.size() < settings.most_moves; ++part) {
            const key_run* source = nullptr;
            double most = 0;
            for (const auto& run : table.runs) {
                const auto owner = loads.find(run.owner);
                if (owner == loads.end() || run.moving() || taken[run.from] || run.size() < 2 || run.owner == id) {
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
            const double give = std::min({wanted, run_load / 2, std::max(wanted / 3, owner.load - mean * owner.server->capacity)});
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
    for (auto& [id, owner] : loads) {
        if (owner.utilization() <= hot || table.runs.size() + moves.size() >= settings.most_runs) {
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
        std::sort(runs.begin(), runs.end(), [&](const auto* a, const auto* b) { return density(a) > density(b); });
        double excess = owner.load - mean * owner.server->capacity;
        for (const auto* run : runs) {
            if (excess <= 0 || moves.size() >= settings.most_moves) {
                break;
            }
            // Within the run, the span of the bins well above its mean: the hot spot, if there is one.
            const double run_mean = rates.rate(run->from, run->to) / run->size() * keys_per_bin;
            shard_key from = run->to;
            shard_key to = run->from;
            double hot_load = 0;
            for (auto bin = bin_of(run->from); bin <= bin_of(run->to); ++bin) {
                if (rates.of_bin(bin) > 4 * run_mean && rates.of_bin(bin) > 1.0) {
                    from = std::min(from, std::max(run->from, bin * keys_per_bin));
                    to = std::max(to, std::min(run->to, bin * keys_per_bin + keys_per_bin - 1));
                    hot_load += rates.of_bin(bin);
                }
            }
            if (hot_load < excess / 2 || from > to) {
                from = run->from;
                to = run->to;
            }
            const double span_load = load_of(rates, from, to);
            // The owner keeps what of the span it has room for.
            const double keeps = std::max(0.0, span_load - excess);
            auto at = keeps > 0.1 * span_load ? cut_for(rates, from, to, keeps) + 1 : from;
            while (at <= to && excess > 0 && moves.size() < settings.most_moves) {
                auto* taker = roomiest(loads, 0, id);
                const double room = mean * taker->server->capacity - taker->load;
                if (room <= 0.05 * mean * taker->server->capacity) {
                    break;
                }
                const auto end = cut_for(rates, at, to, std::min(room, excess));
                const double moved = load_of(rates, at, end);
                if ((taker->load + moved) / taker->server->capacity >= owner.utilization()) {
                    break; // One key's load: it would only move the trouble.
                }
                taker->load += moved;
                owner.load -= moved;
                excess -= moved;
                moves.push_back({at, end, taker->server->self, false});
                at = end + 1;
            }
        }
    }
    return moves;
}

} // namespace balsampost::core
