// Ownership of the keys of one keyed service: ascending key ranges, each with its owner and fencing token.
// The committed table is kept in the platform's store. Every change is committed before the orders that
// carry it out.
#pragma once

#include "balsampost/core/backend_directory.h"
#include "balsampost/core/error.h"
#include "balsampost/core/ini.h"
#include "balsampost/core/store/revision.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsampost::core {

using shard_key = std::uint32_t;
inline constexpr shard_key key_count = 65'536;

/// The keys `from` to `to`, both inclusive.
struct key_range {
    shard_key from = 0;
    shard_key to = 0;
    incarnation owner;       ///< Empty: no owner.
    std::uint64_t fence = 0; ///< Fencing token; higher than that of every earlier owner of these keys.
    /// Earlier owners that may still hold the keys. Each is released or waited out before the new grant.
    std::vector<incarnation> previous;

    bool operator==(const key_range&) const = default;
    /// Whether the move to the current owner is still in progress.
    bool moving() const { return !previous.empty(); }
    shard_key size() const { return to - from + 1; }
};

/// Assignment of all keys to owners.
struct key_table {
    std::uint64_t term = 0;       ///< Term of the coordinator that wrote the table.
    std::uint64_t last_fence = 0; ///< Highest fencing token issued.
    /// Epoch of the store in which the table was written; empty if an earlier version wrote it.
    std::optional<store::epoch> epoch;
    std::string coordinator; ///< Instance that wrote the table.
    endpoint coordinator_at; ///< Address at which it receives reports.
    /// Addresses of all servers that appear in a range, so that a successor can reach them.
    std::map<incarnation, endpoint> addresses;
    /// Ascending and without gaps from 0 to `key_count - 1`, or empty.
    std::vector<key_range> ranges;

    bool operator==(const key_table&) const = default;
    /// The range that contains `key`; null if the table is empty.
    const key_range* find(shard_key key) const;
};

/// The numbers that are given out in an epoch of the store are above this, so that none that was given out in
/// an earlier epoch, known or lost, is ever given out again. They are exact as JSON numbers (2^53).
constexpr std::uint64_t first_number_of(store::epoch e) {
    constexpr int epoch_position = 32;
    return e.number << epoch_position;
}

/// Whether the table is empty or its ranges cover all keys exactly once in order, and no fencing token is
/// above `last_fence`.
bool is_valid(const key_table& table);

/// Change of the owner of the keys from `from` to `to`.
struct key_move {
    shard_key from = 0;
    shard_key to = 0;
    incarnation owner;
    /// The current owner certainly holds none of the keys, so it is not added to `previous`.
    bool no_previous_hold = false;
};

/// Splits ranges at the bounds of the moves, sets the new owners with a new fencing token, and merges
/// adjacent ranges with the same owner, token and previous owners. All moves of one call share one token, of
/// the table's epoch.
void apply_moves(key_table& table, const std::vector<key_move>& moves);

/// Returns the ranges of `next` that `base` does not contain.
std::vector<key_range> changed_ranges(const key_table& base, const key_table& next);
/// Replaces the keys that `ranges` cover in `table`. Applying the ranges that changed since an earlier
/// version yields the new table from that version and from every version in between: since tokens only
/// increase, a range that is equal in the first and the last version did not change in between.
void replace_ranges(key_table& table, const std::vector<key_range>& ranges);

/// JSON form that is kept in the store.
std::string to_json(const key_table& table);
result<key_table> key_table_from_json(const std::string& text);

} // namespace balsampost::core
