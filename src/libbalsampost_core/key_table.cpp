// Lookup, modification and JSON form of key tables.
#include "balsampost/core/key_table.h"

#include "balsampost/core/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace balsampost::core {

const key_range* key_table::find(shard_key key) const {
    const auto after_key = std::upper_bound(ranges.begin(), ranges.end(), key,
                                            [](shard_key k, const key_range& r) { return k < r.from; });
    if (after_key == ranges.begin()) {
        return nullptr;
    }
    const auto& range = *std::prev(after_key);
    return key <= range.to ? &range : nullptr;
}

bool is_valid(const key_table& table) {
    shard_key next = 0;
    for (const auto& r : table.ranges) {
        if (r.from != next || r.to < r.from || r.to >= key_count || r.fence > table.last_fence) {
            return false;
        }
        next = r.to + 1;
    }
    return table.ranges.empty() || next == key_count;
}

void apply_moves(key_table& table, const std::vector<key_move>& moves) {
    if (moves.empty()) {
        return;
    }
    const auto fence = std::max(table.last_fence, first_number_of(table.epoch.value_or(store::epoch{}))) + 1;
    table.last_fence = fence;
    for (const auto& move : moves) {
        std::vector<key_range> next;
        next.reserve(table.ranges.size() + 2);
        for (const auto& range : table.ranges) {
            if (range.to < move.from || range.from > move.to) {
                next.push_back(range);
                continue;
            }
            if (range.from < move.from) {
                auto left = range;
                left.to = move.from - 1;
                next.push_back(left);
            }
            key_range middle = range;
            middle.from = std::max(range.from, move.from);
            middle.to = std::min(range.to, move.to);
            // While a move is in progress, both the previous and the new owner may hold the keys.
            if (!move.no_previous_hold && !range.owner.empty()) {
                middle.previous.push_back(range.owner);
            }
            std::erase(middle.previous, move.owner);
            middle.owner = move.owner;
            middle.fence = fence;
            next.push_back(middle);
            if (range.to > move.to) {
                auto right = range;
                right.from = move.to + 1;
                next.push_back(right);
            }
        }
        table.ranges = std::move(next);
    }
    std::vector<key_range> merged;
    for (const auto& range : table.ranges) {
        if (!merged.empty() && merged.back().owner == range.owner && merged.back().fence == range.fence &&
            merged.back().previous == range.previous) {
            merged.back().to = range.to;
        } else {
            merged.push_back(range);
        }
    }
    table.ranges = std::move(merged);
}

std::vector<key_range> changed_ranges(const key_table& base, const key_table& next) {
    std::vector<key_range> out;
    for (const auto& range : next.ranges) {
        const auto* old = base.find(range.from);
        if (old == nullptr || *old != range) {
            out.push_back(range);
        }
    }
    return out;
}

void replace_ranges(key_table& table, const std::vector<key_range>& ranges) {
    std::vector<key_range> out;
    out.reserve(table.ranges.size() + ranges.size());
    const auto append_part = [&](const key_range& old, shard_key from, shard_key to) {
        out.push_back(old);
        out.back().from = from;
        out.back().to = to;
    };
    auto changed = ranges.begin();
    shard_key next = 0; // First key not yet covered by `out`.
    for (const auto& old : table.ranges) {
        auto from = std::max(old.from, next);
        while (changed != ranges.end() && changed->from <= old.to) {
            if (changed->from > from) {
                append_part(old, from, changed->from - 1);
            }
            out.push_back(*changed);
            from = changed->to + 1;
            next = from;
            ++changed;
        }
        if (from <= old.to) {
            append_part(old, from, old.to);
        }
    }
    out.insert(out.end(), changed, ranges.end());
    table.ranges = std::move(out);
}

namespace {

nlohmann::json to_json_value(const incarnation& i) {
    return i.empty() ? nlohmann::json(nullptr) : nlohmann::json::array({i.id, i.started_ms});
}

incarnation incarnation_from(const nlohmann::json& value) {
    return value.is_null() ? incarnation{}
                           : incarnation{value.at(0).get<std::string>(), value.at(1).get<std::int64_t>()};
}

} // namespace

std::string to_json(const key_table& table) {
    auto ranges = nlohmann::json::array();
    for (const auto& r : table.ranges) {
        auto previous = nlohmann::json::array();
        for (const auto& p : r.previous) {
            previous.push_back(to_json_value(p));
        }
        ranges.push_back({r.from, r.to, to_json_value(r.owner), r.fence, std::move(previous)});
    }
    auto addresses = nlohmann::json::array();
    for (const auto& [server, at] : table.addresses) {
        addresses.push_back({server.id, server.started_ms, to_string(at)});
    }
    auto out = nlohmann::json{{"term", table.term},
                              {"last_fence", table.last_fence},
                              {"coordinator", table.coordinator},
                              {"coordinator_at", to_string(table.coordinator_at)},
                              {"addresses", std::move(addresses)},
                              {"runs", std::move(ranges)}};
    if (table.epoch) {
        out["epoch"] = table.epoch->number;
    }
    return json_to_string(out);
}

result<key_table> key_table_from_json(const std::string& text) {
    const auto parsed = parse_json(text);
    if (!parsed) {
        return fail(error_code::protocol, "key table: " + parsed.error().message);
    }
    try {
        const auto& value = *parsed;
        key_table table;
        table.term = value.at("term").get<std::uint64_t>();
        table.last_fence = value.at("last_fence").get<std::uint64_t>();
        if (value.contains("epoch")) {
            table.epoch = store::epoch{value.at("epoch").get<std::uint64_t>()};
        }
        table.coordinator = value.at("coordinator").get<std::string>();
        const auto at = parse_endpoint(value.at("coordinator_at").get<std::string>());
        if (!at) {
            return fail(error_code::protocol, "key table: coordinator_at: " + at.error());
        }
        table.coordinator_at = *at;
        for (const auto& a : value.at("addresses")) {
            const auto address = parse_endpoint(a.at(2).get<std::string>());
            if (!address) {
                return fail(error_code::protocol, "key table: addresses: " + address.error());
            }
            table.addresses[{a.at(0).get<std::string>(), a.at(1).get<std::int64_t>()}] = *address;
        }
        for (const auto& r : value.at("runs")) {
            key_range range{r.at(0).get<shard_key>(),
                            r.at(1).get<shard_key>(),
                            incarnation_from(r.at(2)),
                            r.at(3).get<std::uint64_t>(),
                            {}};
            for (const auto& p : r.at(4)) {
                range.previous.push_back(incarnation_from(p));
            }
            table.ranges.push_back(std::move(range));
        }
        if (!is_valid(table)) {
            return fail(error_code::protocol, "key table: the ranges do not cover every key exactly once");
        }
        return table;
    } catch (const nlohmann::json::exception& e) {
        return fail(error_code::protocol, std::string("key table: ") + e.what());
    }
}

} // namespace balsampost::core
