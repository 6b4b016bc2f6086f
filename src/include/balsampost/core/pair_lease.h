// The two-party lease by which one instance holds authority over a cell.
//
// The lease object in the platform's store names a holder and a standby. While a standby is named (paired),
// the holder has authority only until the standby's last promise not to take over expires, and the store is
// not accessed. Without a standby (solo), it has authority only while its own conditional renewals of the
// lease object succeed. Every change is decided by a conditional write to the store. docs/DESIGN.md discusses
// the interleavings; the explorer in pair_lease_test.cpp checks them exhaustively up to a bound.
#pragma once

#include "balsampost/core/identity.h"
#include "balsampost/core/objects.h"
#include "balsampost/core/time.h"

#include <msgpack.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace balsampost::core {

/// The lease object in the store. `version` is assigned by the store and is 0 while the object does not
/// exist.
struct lease_object {
    std::uint64_t version = 0;
    instance_id holder;
    /// Empty in solo mode.
    instance_id standby;
    /// Increases by one whenever the holder changes.
    std::uint64_t term = 0;
    /// Unique to each write, so that the writer recognises its own write after a lost answer.
    std::uint64_t write_id = 0;
    /// Version of the platform's member list that the writer used. An instance with an older list must not
    /// conclude from it that holder or standby has left.
    std::uint64_t members_version = 0;

    bool operator==(const lease_object&) const = default;
    bool solo() const { return standby.empty(); }
    MSGPACK_DEFINE(version, holder, standby, term, write_id, members_version);
};

/// Time lengths of the lease protocol. Each instance measures them by its own clock.
struct pair_timing {
    duration promise_length{};
    duration solo_lease_length{};
    duration suspect_timeout{};
    duration renew_interval{};
    std::uint32_t drift_percent = 0;

    /// `length` less the drift allowance: what a grantee may rely on, as the granter's clock may run faster.
    duration shortened_by_drift(duration length) const { return length * (100 - drift_percent) / 100; }
};

pair_timing pair_timing_of(const profile& p);

/// The safety rules. Tests disable them one at a time to show that the explorer detects the violation; the
/// programs always use the defaults.
struct pair_rules {
    /// While a change of holder or standby is unresolved, authority must hold both by the known lease object
    /// and by the one being written.
    bool require_both_bases = true;
    /// A standby does not take over before its own last promise has expired.
    bool wait_promise = true;
    /// An instance grants no promise while its own takeover is unresolved.
    bool no_promise_while_pending = true;
    /// A solo lease is taken over only after it was seen unrenewed for its full length.
    bool observe_solo_lease = true;
    /// Repeating a change reuses the id of its first write, so that a lease won by it counts from the first
    /// sending.
    bool reuse_write_id = true;
};

/// What an instance knows about the other instances when it decides on a write.
struct pair_view {
    /// The platform's list no longer contains the holder, or a successor under its name was seen.
    bool holder_removed = false;
    /// The same for the standby.
    bool standby_removed = false;
    /// This instance ranks first among the instances other than holder and standby.
    bool first_candidate = false;
    /// This instance is leaving and hands over its authority.
    bool resigning = false;
    /// The instance to choose as the next standby; empty if there is none.
    instance_id next_standby;
};

/// The state of one instance in the lease protocol of one cell. Times passed in are readings of the
/// instance's own monotonic clock and never decrease.
class pair_lease {
public:
    pair_lease(instance_id self, pair_timing timing, pair_rules rules = {});

    /// Updates the known lease object from a read of the store or a completed write. Older versions are
    /// ignored.
    void observe(const lease_object& object, time_point now);

    /// The time until which this instance holds authority; `never` if it has none.
    time_point authority_until() const;
    bool in_authority(time_point now) const { return now < authority_until(); }

    /// Grants `holder` a promise not to take over. Returns its length from now, or nothing if refused.
    std::optional<duration> grant_promise(const instance_id& holder, time_point now);

    /// Records that `standby` granted the promise that this instance requested at `sent`.
    void promised(const instance_id& standby, time_point sent);

    /// The write that this instance should send now, if any, on condition that the stored version is still
    /// `known().version`. A `write_id` of 0 marks a new write: the caller assigns an id and calls `sent`.
    /// Otherwise it repeats an unresolved write.
    std::optional<lease_object> next_write(const pair_view& view, time_point now) const;
    /// Records that the new write `value` is being sent.
    void sent(const lease_object& value, time_point now);

    /// Discards a write that can no longer take effect, because the store reported that its condition failed.
    void discard_write(std::uint64_t write_id);

    const lease_object& known() const { return m_known; }
    bool is_holder() const { return m_known.version != 0 && m_known.holder == m_self; }
    bool is_standby() const { return m_known.version != 0 && m_known.standby == m_self; }
    bool has_unresolved_write() const { return !m_pending.empty(); }
    /// The time until which this instance has promised not to take over; `never` if it has not.
    time_point own_promise_until() const { return m_own_promise_until; }
    /// The time until which `standby` has promised this instance not to take over; `never` if it has not.
    time_point promise_expiry(const instance_id& standby) const;

    /// Appends a canonical encoding of the whole state, by which the explorer compares states.
    void append_state(std::string& out) const;

private:
    struct pending_write {
        /// Version of the lease object that the write is conditional on.
        std::uint64_t based_on;
        lease_object value;
        time_point sent;
    };

    bool takeover_unresolved() const;
    std::optional<lease_object> holder_write(const pair_view& view, time_point now) const;
    bool may_take_over(const pair_view& view, time_point now) const;

    instance_id m_self;
    pair_timing m_timing;
    pair_rules m_rules;
    /// The newest lease object seen. Its version never decreases.
    lease_object m_known;
    /// When `m_known` was first seen.
    time_point m_observed = never;
    /// When the holder last requested a promise. A change of `m_known` counts as a request.
    time_point m_last_request = never;
    /// End of the promises received, by standby; each counted from before it was requested.
    std::map<instance_id, time_point> m_received_promises;
    /// Every promise granted by this instance has expired by this time. Never decreases.
    time_point m_own_promise_until = never;
    /// End of the own solo lease, counted from before its renewal was sent.
    time_point m_solo_until = never;
    /// Writes that may still take effect: conditional on the version of `m_known` or a later one.
    std::vector<pending_write> m_pending;
};

} // namespace balsampost::core
