// Who owns which keys of one keyed service: ascending runs of keys, each with its owner and fencing token.
// The committed form lives in the platform's store; every change is committed before the order that carries
// it out.
#pragma once

#include "balsampost/core/backend_directory.h"
#include "balsampost/core/error.h"
#include "balsampost/core/ini.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsampost::core {

using shard_key = std::uint32_t;
inline constexpr shard_key key_count = 65'536;

/// Keys `from` to `to`, both inclusive.
struct key_run {
    shard_key from = 0;
    shard_key to = 0;
    incarnation owner;       ///< Empty: nobody.
    std::uint64_t fence = 0; ///< Above that of every earlier owner of these keys.
    std::vector<incarnation>
        previous; ///< May still hold the keys: each is released or waited out before the grant.

    bool operator==(const key_run&) const = default;
    bool moving() const { return !previous.empty(); }
    shard_key size() const { return to - from + 1; }
};

struct key_table {
    std::uint64_t term = 0; ///< Of the coordinator that wrote it.
    std::uint64_t last_fence = 0;
    std::string coordinator; ///< The instance that wrote it.
    endpoint coordinator_at; ///< Where it takes reports.
    std::map<incarnation, endpoint>
        addresses;             ///< Of every server that a run names, so that a successor can reach it.
    std::vector<key_run> runs; ///< Ascending, without gaps, from 0 to `key_count - 1`; or empty.

    bool operator==(const key_table&) const = default;
    const key_run* find(shard_key key) const;
};

/// Whether the runs cover all keys once and in order and no fence is above `last_fence`.
bool is_sound(const key_table& table);

/// A change of owner of the keys from `from` to `to`.
struct key_move {
    shard_key from = 0;
    shard_key to = 0;
    incarnation owner;
    bool previous_gone = false; ///< The owner until now certainly holds nothing any more.
};

/// Cuts runs where moves begin and end, sets the new owners under new fences, and joins neighbours that the
/// same owner holds under the same fence. All moves of a call share one fence.
void apply_moves(key_table& table, const std::vector<key_move>& moves);

/// The runs of `next` that `base` does not have.
std::vector<key_run> changed_runs(const key_table& base, const key_table& next);
/// Puts `runs` in the place of what `table` has there. With the runs changed since some earlier version it
/// makes the new table out of that version and out of every one between: tokens only rise, so what is the
/// same in both ends never changed.
void overlay(key_table& table, const std::vector<key_run>& runs);

/// JSON, as it is kept in the store.
std::string to_json(const key_table& table);
result<key_table> key_table_from_json(const std::string& text);

} // namespace balsampost::core
