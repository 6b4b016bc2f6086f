// Lookup, changes and the stored form of key tables.
#include "balsampost/core/key_table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace balsampost::core {

const key_run* key_table::find(shard_key key) const {
    const auto after_key = std::upper_bound(runs.begin(), runs.end(), key,
                                            [](shard_key k, const key_run& r) { return k < r.from; });
    if (after_key == runs.begin()) {
        return nullptr;
    }
    const auto& run = *std::prev(after_key);
    return key <= run.to ? &run : nullptr;
}

bool is_sound(const key_table& table) {
    shard_key next = 0;
    for (const auto& r : table.runs) {
        if (r.from != next || r.to < r.from || r.to >= key_count || r.fence > table.last_fence) {
            return false;
        }
        next = r.to + 1;
    }
    return table.runs.empty() || next == key_count;
}

void apply_moves(key_table& table, const std::vector<key_move>& moves) {
    if (moves.empty()) {
        return;
    }
    const auto fence = ++table.last_fence;
    for (const auto& move : moves) {
        std::vector<key_run> next;
        next.reserve(table.runs.size() + 2);
        for (const auto& run : table.runs) {
            if (run.to < move.from || run.from > move.to) {
                next.push_back(run);
                continue;
            }
            if (run.from < move.from) {
                auto left = run;
                left.to = move.from - 1;
                next.push_back(left);
            }
            key_run middle = run;
            middle.from = std::max(run.from, move.from);
            middle.to = std::min(run.to, move.to);
            // While a move is under way, both its ends may hold the keys.
            if (!move.previous_gone && !run.owner.empty()) {
                middle.previous.push_back(run.owner);
            }
            std::erase(middle.previous, move.owner);
            middle.owner = move.owner;
            middle.fence = fence;
            next.push_back(middle);
            if (run.to > move.to) {
                auto right = run;
                right.from = move.to + 1;
                next.push_back(right);
            }
        }
        table.runs = std::move(next);
    }
    std::vector<key_run> joined;
    for (const auto& run : table.runs) {
        if (!joined.empty() && joined.back().owner == run.owner && joined.back().fence == run.fence &&
            joined.back().previous == run.previous) {
            joined.back().to = run.to;
        } else {
            joined.push_back(run);
        }
    }
    table.runs = std::move(joined);
}

std::vector<key_run> changed_runs(const key_table& base, const key_table& next) {
    std::vector<key_run> out;
    for (const auto& run : next.runs) {
        const auto* old = base.find(run.from);
        if (old == nullptr || *old != run) {
            out.push_back(run);
        }
    }
    return out;
}

void overlay(key_table& table, const std::vector<key_run>& runs) {
    std::vector<key_run> out;
    out.reserve(table.runs.size() + runs.size());
    const auto keep = [&](const key_run& old, shard_key from, shard_key to) {
        out.push_back(old);
        out.back().from = from;
        out.back().to = to;
    };
    auto changed = runs.begin();
    shard_key next = 0; // The first key that is not placed yet.
    for (const auto& old : table.runs) {
        auto from = std::max(old.from, next);
        while (changed != runs.end() && changed->from <= old.to) {
            if (changed->from > from) {
                keep(old, from, changed->from - 1);
            }
            out.push_back(*changed);
            from = changed->to + 1;
            next = from;
            ++changed;
        }
        if (from <= old.to) {
            keep(old, from, old.to);
        }
    }
    out.insert(out.end(), changed, runs.end());
    table.runs = std::move(out);
}

namespace {

nlohmann::json to_value(const incarnation& i) {
    return i.empty() ? nlohmann::json(nullptr) : nlohmann::json::array({i.id, i.started_ms});
}

incarnation incarnation_from(const nlohmann::json& value) {
    return value.is_null() ? incarnation{}
                           : incarnation{value.at(0).get<std::string>(), value.at(1).get<std::int64_t>()};
}

} // namespace

std::string to_json(const key_table& table) {
    auto runs = nlohmann::json::array();
    for (const auto& r : table.runs) {
        auto previous = nlohmann::json::array();
        for (const auto& p : r.previous) {
            previous.push_back(to_value(p));
        }
        runs.push_back({r.from, r.to, to_value(r.owner), r.fence, std::move(previous)});
    }
    auto addresses = nlohmann::json::array();
    for (const auto& [server, at] : table.addresses) {
        addresses.push_back({server.id, server.started_ms, to_string(at)});
    }
    return nlohmann::json{{"term", table.term},
                          {"last_fence", table.last_fence},
                          {"coordinator", table.coordinator},
                          {"coordinator_at", to_string(table.coordinator_at)},
                          {"addresses", std::move(addresses)},
                          {"runs", std::move(runs)}}
        .dump();
}

result<key_table> key_table_from_json(const std::string& text) {
    try {
        const auto value = nlohmann::json::parse(text);
        key_table table;
        table.term = value.at("term").get<std::uint64_t>();
        table.last_fence = value.at("last_fence").get<std::uint64_t>();
        table.coordinator = value.at("coordinator").get<std::string>();
        const auto at = parse_endpoint(value.at("coordinator_at").get<std::string>());
        if (!at) {
            return fail(error_code::protocol, "key table: coordinator_at: " + at.error());
        }
        table.coordinator_at = *at;
        for (const auto& a : value.at("addresses")) {
            const auto parsed = parse_endpoint(a.at(2).get<std::string>());
            if (!parsed) {
                return fail(error_code::protocol, "key table: addresses: " + parsed.error());
            }
            table.addresses[{a.at(0).get<std::string>(), a.at(1).get<std::int64_t>()}] = *parsed;
        }
        for (const auto& r : value.at("runs")) {
            key_run run{r.at(0).get<shard_key>(),
                        r.at(1).get<shard_key>(),
                        incarnation_from(r.at(2)),
                        r.at(3).get<std::uint64_t>(),
                        {}};
            for (const auto& p : r.at(4)) {
                run.previous.push_back(incarnation_from(p));
            }
            table.runs.push_back(std::move(run));
        }
        if (!is_sound(table)) {
            return fail(error_code::protocol, "key table: the runs do not cover the keys once");
        }
        return table;
    } catch (const nlohmann::json::exception& e) {
        return fail(error_code::protocol, std::string("key table: ") + e.what());
    }
}

} // namespace balsampost::core
