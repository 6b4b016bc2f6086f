// Coordinator of one keyed service. It decides which server owns which keys and issues the grants and
// releases that carry the decision out. The state machine performs no I/O: events go in through its member
// functions, and `step` returns the actions to perform.
//
// Safety rests on three rules:
//  1. A tenure is taken with a conditional update, and only after its record stayed unchanged for the length
//     of the tenure on this instance's own clock, or when its holder is known to have ended. A holder issues
//     no orders later than that length after it sent its last successful renewal.
//  2. Every table is written on condition that no other write came in between, and before the orders that
//     carry it out. Fencing tokens are taken from the table and only increase. The first table of a tenure is
//     written before any order, so that late writes of an earlier holder fail; the simulations show that
//     safety does not depend on this, but it avoids a conflict.
//     The store may be restored from an older copy, which begins an epoch (store/revision.h). A record or a
//     table of an earlier epoch then proves nothing, as later ones may be lost:
//     - A tenure whose record is of an earlier epoch is taken like that of a live holder, after its full
//       length from the first answer of the new epoch. A holder whose authority still runs keeps it, and
//       writes its record and its table again before it plans anything.
//     - A new holder that finds a table of an earlier epoch issues no order until all grants that lost tables
//       may have led to have expired. Its first table gives out new tokens only.
//     - Tokens and terms of an epoch are above those of all earlier ones.
//  3. Keys are granted to another server only after each server that may hold them has confirmed a release
//     under the new token, or its grants have expired for certain, or its incarnation has ended, which is
//     shown by a later incarnation with the same id, or by a later server of any service at the same address.
//     The answer of a server proves no end: a broken server may answer anything. A refused connection does
//     not show it: a network partition may refuse connections, and a server that shuts down closes its
//     listener while its last requests still run.
#pragma once

#include "balsampost/core/admission.h"
#include "balsampost/core/evacuation/key_evacuation.h"
#include "balsampost/core/key_plan.h"
#include "balsampost/core/residency/owner_placement.h"
#include "balsampost/core/store/revision.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace balsampost::core {

/// The safety rules of the coordinator. Tests switch each one off to check that two servers then come to own
/// the same key.
struct key_coordinator_rules {
    /// A tenure is taken only once its holder can no longer issue orders.
    bool wait_for_tenure_end = true;
    /// No orders are issued after the end of the tenure.
    bool stop_at_tenure_end = true;
    /// Grants issued by an earlier coordinator are waited out.
    bool wait_out_inherited_grants = true;
    /// A grant without an answer counts as given.
    bool assume_unanswered_granted = true;
    /// Previous owners are released, ended or waited out before a grant.
    bool clear_previous_owners = true;
    /// A listed server proves the end of another one only if it started later.
    bool only_later_start_ends_a_server = true;
    /// A write that was answered in a later epoch than it was sent in has an unknown outcome.
    bool writes_end_with_their_epoch = true;
    /// A record of an earlier epoch shows neither that a tenure is free nor that this instance holds it.
    bool distrust_earlier_records = true;
    /// Grants that lost tables may have led to are waited out.
    bool wait_out_lost_grants = true;
};

struct coordinator_settings {
    /// No orders are issued later than this after the last successful renewal was sent.
    milliseconds tenure{1'800};
    /// Interval between renewals of the tenure; a quarter of the tenure, so that one lost answer is survived.
    milliseconds tenure_renew_interval{450};
    /// Additional wait after another holder's tenure, to allow for clocks of unequal speed.
    milliseconds takeover_margin{150};
    /// Delay before a tenure without a holder is taken; differs by instance, so that not all try at once.
    milliseconds free_tenure_delay{0};
    /// Delay before the tenure is first read, so that the preferred instance reads it first.
    milliseconds initial_read_delay{0};
    /// Length of a grant while the store responds; the keys of a silent server become free after it. Longer
    /// than it takes to detect a failed coordinator and replace it.
    milliseconds hold{3'000};
    /// Length of a grant while the store is degraded; servers accept no longer one.
    milliseconds max_hold{10'000};
    /// Minimum interval between renewals of a grant; a third of the hold, so that two lost answers are
    /// survived.
    milliseconds min_grant_renew_interval{800};
    /// Maximum interval between renewals of a grant; the rest of the hold leaves time for three attempts.
    milliseconds max_grant_renew_interval{1'300};
    /// Rate of grant renewals above which the interval between them is increased.
    double max_renewals_per_s = 300;
    /// Fraction by which a server's clock may run slow.
    double max_clock_drift = 0.02;
    /// Additional wait after the end of a grant, for the time it took to reach the server.
    milliseconds margin{200};
    /// The store is considered degraded if a renewal has had no answer for this long.
    milliseconds store_silence_timeout{350};
    /// The list of servers must not have grown for this long before the first plan.
    milliseconds server_list_settle_time{1'200};
    /// The first plan is made at the latest this long after the start.
    milliseconds max_initial_wait{4'000};
    /// Interval between plans that move keys because of load, so that the effect of one shows before the
    /// next.
    milliseconds rebalance_interval{400};
    /// A completed move is written to the store at most this much later. A successor that reads the older
    /// table only repeats releases.
    milliseconds completed_move_write_delay{1'000};
    /// Delay before a failed store call is repeated.
    milliseconds store_retry_delay{150};
    /// Maximum backoff between attempts to read or take a tenure while the store does not answer; every
    /// instance makes these attempts.
    milliseconds max_store_backoff{1'200};
    /// Delay before an unanswered order is sent again.
    milliseconds order_retry_delay{150};
    /// A grant without an answer is aborted after this time.
    milliseconds order_timeout{400};
    /// Interval between attempts to connect to an unreachable server.
    milliseconds probe_interval{500};
    /// Interval between reads of another holder's tenure while that holder sends no updates.
    milliseconds tenure_poll_interval{600};
    /// Longest time that a request runs at a server.
    milliseconds max_request_time{10'000};
    /// An unanswered order may still be carried out for this long.
    milliseconds max_order_delay{12'000};
    /// Orders in flight per server; each occupies one of the server's connections.
    std::uint32_t max_orders_per_server = 4;
    /// Orders in flight in total. With half a core, an instance cannot send more and read their answers
    /// within the order timeout.
    std::uint32_t max_orders = 64;
    key_coordinator_rules rules;
    evacuation::key_evacuation_settings key_evacuation;
    /// The tenure is read from the store if its holder has sent no update for this long.
    milliseconds holder_silence_timeout{1'200};
};

/// The record of a tenure in the store.
struct tenure_record {
    std::uint64_t term = 0;
    std::string holder; ///< Empty: released.
    endpoint holder_at;
    std::uint64_t renewals = 0; ///< Count of renewals, so that every renewal changes the record.
    /// Epoch of the store for which it was written; empty if an earlier version wrote it.
    std::optional<store::epoch> epoch = {};
};

struct read_tenure {};
struct write_tenure {
    tenure_record record;
    store::revision if_revision; ///< 0: only if no record exists.
};
struct read_table {};
struct write_table {
    key_table table;
    store::revision if_revision; ///< 0: only if no table exists.
    std::size_t moves = 0;       ///< New moves in this table.
    load_summary load;           ///< Load on which the moves were decided.
};
/// Grants the keys `from` to `last`, both inclusive, to a server.
struct send_grant {
    std::uint64_t order = 0;
    incarnation to;
    endpoint at;
    shard_key from = 0;
    shard_key last = 0;
    std::uint64_t fence = 0;
    milliseconds hold{0};
    std::string handover;
};
/// Withdraws the keys `from` to `last`, both inclusive, from a server.
struct send_release {
    std::uint64_t order = 0;
    incarnation to;
    endpoint at;
    shard_key from = 0;
    shard_key last = 0;
    std::uint64_t fence = 0;
};
/// Checks whether an unreachable server can be reached again.
struct probe_server {
    incarnation to;
    endpoint at;
};
using coordinator_action =
    std::variant<read_tenure, write_tenure, read_table, write_table, send_grant, send_release, probe_server>;

enum class write_outcome : std::uint8_t { done, conflict, failed, unknown };
enum class order_outcome : std::uint8_t {
    done,
    fenced,   ///< Refused: the server has seen a higher token.
    invalid,  ///< The server does not understand the order.
    not_sent, ///< The order certainly did not reach the server.
    unknown,  ///< No answer. The connection was reset, so the order cannot arrive later.
};

/// Coordinator of the ownership of keys for one service. Single-threaded; see the top of this file.
class key_coordinator {
public:
    key_coordinator(coordinator_settings settings, std::string service, std::string self, endpoint self_at,
                    time_point now);

    /// Replaces the list of servers. It holds the servers of all services of the manifest: those of other
    /// services own no keys, but show that an earlier server at their address has ended.
    void update_servers(const std::vector<const backend*>& listed, time_point now);
    /// Replaces the evacuated failure domains. Servers there own no keys; theirs are moved, the busiest
    /// ranges first. Without another server they stay where they are.
    void update_evacuations(std::set<std::string> domains, time_point now);
    /// Whether a server in `domain` may still hold keys, by the table in effect.
    bool has_keys_in(const std::string& domain) const;
    /// Sets the cold servers and when they will be warm. Until then they get no keys while there is a warm
    /// one; an owner that turns cold keeps its keys.
    void set_cold_servers(std::map<incarnation, time_point> cold) { m_cold_until = std::move(cold); }
    /// The server refused a connection from this instance. Its keys are planned for other servers at once and
    /// granted to them when its grants have expired.
    void server_refused(const incarnation& which, time_point now) { mark_lost(which, now); }
    void probe_ended(const incarnation& which, bool reached, time_point now);
    /// Every connection to the server was lost, so a new process may run under its id. Later grants to it get
    /// new tokens.
    void server_may_have_restarted(const incarnation& which);
    /// Sets the longest time a request can run at a server: the longest timeout of the service's routes.
    void limit_request_time(milliseconds longest) { m_settings.max_request_time = longest; }
    /// Sets the regions in which owners may be. Keys of owners outside move as those of leaving servers do,
    /// as soon as a server inside can own keys; see `residency::owner_placement`. `regions`: region by
    /// failure domain. Returns whether the limit has changed.
    bool limit_owner_regions(residency::region_limit limit,
                             const std::map<std::string, std::string>& regions);
    /// Whether no usable server was in the owner regions at the last plan, although they are limited.
    bool owner_regions_unserved() const { return m_placement.unserved(); }
    /// The process with this instance id has certainly ended.
    void instance_ended(const std::string& instance) { m_ended_instances.insert(instance); }
    void report(const key_report& r, time_point now);

    /// The store was restored from an older copy: all revisions known are void. Answers of a newer epoch call
    /// it as well.
    void epoch_began(store::epoch newer, time_point now);
    /// Some coordinator has committed a table, so one that is missing from the store is lost.
    void table_seen() { m_table_seen = true; }
    void tenure_read(const store::revision& revision, std::optional<tenure_record> record, time_point now);
    void tenure_read_failed(time_point now);
    /// `sent`: when the write was sent. Its authority is counted from then.
    void tenure_written(write_outcome outcome, const store::revision& revision, time_point sent,
                        time_point now);
    void table_read(const store::revision& revision, std::optional<key_table> table, time_point now);
    void table_read_failed(time_point now);
    void table_written(write_outcome outcome, const store::revision& revision, time_point now);
    void grant_ended(std::uint64_t order, order_outcome outcome, time_point now);
    void release_ended(std::uint64_t order, order_outcome outcome, const std::string& handover,
                       time_point now);

    /// Returns the actions to perform now. Call it after every event and at `next_due`.
    std::vector<coordinator_action> step(time_point now);
    time_point next_due() const { return m_next_due; }

    /// Whether this instance holds a tenure under which it may issue orders.
    bool leads(time_point now) const {
        return m_holds_tenure && m_authority_until != never &&
               (now < m_authority_until || !m_settings.rules.stop_at_tenure_end);
    }
    std::uint64_t term() const { return m_term; }
    /// The table as committed to the store.
    const key_table& table() const { return m_table; }
    /// The committed table with the moves that have completed since; the store may not show these yet.
    const key_table& effective_table() const { return m_effective_table; }
    const store::revision& table_revision() const { return m_table_revision; }
    /// Moves completed since the table was committed.
    std::uint64_t completed_moves() const { return m_completed_moves; }
    /// Overloaded servers and the fraction of their requests to admit, as of the last rebalance.
    const std::map<incarnation, double>& admitted_fractions() const { return m_admitted_fractions; }
    /// The tenure as last read; null if unknown.
    const tenure_record* tenure() const { return m_tenure ? &*m_tenure : nullptr; }
    const store::revision& tenure_revision() const { return m_tenure_revision; }
    /// The holder reported this revision of its tenure record, so it is still alive.
    void tenure_confirmed(const store::revision& revision, time_point now);
    /// The store does not respond as it should, so a release of the tenure would not become visible.
    bool store_degraded() const { return m_store_degraded; }
    /// The holder has released its tenure; the record is read at once.
    void holder_resigned(time_point now) { m_tenure_poll_at = now; }
    /// Releases the tenure for a planned stop. No orders are issued afterwards.
    std::optional<write_tenure> resign(time_point now);
    /// Whether `which` may still hold a grant on any of the keys `from` to `to` at `now`.
    bool may_hold(const incarnation& which, shard_key from, shard_key to, time_point now) const;

private:
    /// State of the orders for one range of the table.
    struct range_state {
        time_point renew_at = never; // Time of the next grant.
        std::uint64_t order = 0;     // Grant in flight; 0: none.
        bool granted = false;        // The owner has confirmed a grant of this range.
        /// Must not be granted under this token again. The new one is planned until a table with it is
        /// committed, which ends this state.
        bool needs_new_token = false;
        milliseconds hold{0}; // Length of the last confirmed grant.
        time_point failing_since =
            never;            // When the first of the current series of unanswered grants was sent.
        std::string handover; // Opaque data from the previous owner, passed on with the grant.
        std::map<incarnation, std::uint64_t> releases; // Release in flight per previous owner; 0: none.
        std::map<incarnation, time_point> release_retry_at;
        std::map<incarnation, time_point> released; // From then on the server runs no request on these keys.
    };
    using range_id = std::tuple<shard_key, shard_key, std::uint64_t>; // From, to, fence.

    /// Keys that a server may hold because of a grant from this instance.
    struct possible_hold {
        incarnation server;
        shard_key from = 0;
        shard_key to = 0;
        time_point
            until{}; // When it has certainly expired; `time_point::max()` while the grant is in flight.
        std::uint64_t order = 0; // Id of the grant.
        std::uint64_t fence = 0; // Token of the grant.
    };

    /// An order in flight.
    struct order_state {
        range_id range;
        incarnation server;
        milliseconds hold{0}; // 0: a release.
        time_point sent{};
    };

    /// Number of further orders that may be sent while others are in flight.
    struct order_budget {
        std::map<incarnation, std::uint32_t> per_server;
        std::uint32_t max_per_server = 0;
        std::uint32_t remaining = 0;
        /// Orders that releases leave for grants.
        std::uint32_t kept_for_grants = 0;

        bool available_for_release(const incarnation& server) const {
            return remaining > kept_for_grants && available_for(server);
        }
        bool exhausted() const { return remaining == 0; }
        bool available_for(const incarnation& server) const {
            const auto found = per_server.find(server);
            return remaining > 0 && (found == per_server.end() || found->second < max_per_server);
        }
        void consume(const incarnation& server) {
            ++per_server[server];
            remaining -= std::min(remaining, 1U);
        }
    };

    /// Records a listed server as the latest one with its id and at its address, if it is.
    void record_latest(const backend& listed);
    /// Marks incarnations as ended for which a later one with the same id or address is listed.
    void end_replaced_servers();
    void step_tenure(time_point now, std::vector<coordinator_action>& out);
    void step_table(time_point now, std::vector<coordinator_action>& out);
    void step_orders(time_point now, std::vector<coordinator_action>& out);
    /// Sends the orders for keys that leave evacuated failure domains, the busiest ranges first.
    void step_evacuation(order_budget& budget, time_point now, std::vector<coordinator_action>& out);
    void step_releases(const key_range& range, order_budget& budget, time_point now,
                       std::vector<coordinator_action>& out);
    void step_grant(const key_range& range, order_budget& budget, time_point now,
                    std::vector<coordinator_action>& out);
    std::vector<key_move> plan_initial(time_point now);
    std::vector<key_move> plan(time_point now);
    /// Ranges that stay with their owner under a new token.
    std::vector<key_move> moves_to_new_tokens() const;
    /// Plans moves of the ranges whose owners cannot own keys; of those in evacuated failure domains, the
    /// next ones only.
    std::vector<key_move> plan_lost(const std::vector<key_server>& servers, time_point now) const;
    bool evacuated(const incarnation& which) const;
    /// Servers that can own keys, with their capacity.
    std::vector<key_server> owners(time_point now) const;
    /// Whether the server is listed, neither leaving by the list nor by its own word, not ended, not marked
    /// lost and not in an evacuated failure domain.
    bool is_usable(const incarnation& which) const;
    /// Whether the server is usable and may own keys under the region limit.
    bool can_own(const incarnation& which) const { return is_usable(which) && m_placement.may_own(which); }
    void server_ended(const incarnation& which);
    /// Updates whether a server counts as unreachable from the outcome of an order.
    void update_reachability(const incarnation& server, order_outcome outcome, time_point now);
    /// Takes all keys away from the server until a probe reaches it.
    void mark_lost(const incarnation& which, time_point now);
    /// Marks servers as lost that have not answered grants for some time.
    void mark_silent_servers_lost(time_point now);
    void step_probes(time_point now, std::vector<coordinator_action>& out);
    bool ended(const incarnation& which) const { return m_ended.contains(which); }
    /// Whether `previous` certainly no longer holds the keys of `range`.
    bool is_cleared(const incarnation& previous, const key_range& range, const range_state& s,
                    time_point now) const;
    bool all_previous_cleared(const key_range& range, const range_state& s, time_point now) const;
    /// Whether the tenure has no holder by the record read last.
    bool is_free() const;
    /// Whether no later tenure record than the one read last can be lost.
    bool tenure_is_current() const;
    /// Whether the answer `revision` to a write under `condition` tells the outcome.
    bool proves_write(const store::revision& condition, const store::revision& revision) const {
        const bool same = revision.epoch() == condition.epoch() && revision.epoch() == m_epoch;
        return same || !m_settings.rules.writes_end_with_their_epoch;
    }
    /// Installs the table read from the store while this instance has committed one in its tenure.
    void compare_own_table(std::optional<key_table> stored, const store::revision& revision);
    /// Records the grants of earlier coordinators that may be in effect. `complete`: the table read first
    /// shows all of them.
    void inherit_grants(bool complete, time_point now);
    /// Requests a step at `at` or earlier.
    void schedule_step(time_point at) { m_next_due = std::min(m_next_due, at); }
    /// Updates the possible holds after grant `order` has ended.
    void update_holds(const order_state& o, std::uint64_t order, bool may_have_arrived, time_point now);
    bool release_in_flight(const incarnation& server, shard_key from, shard_key to) const;
    bool has_uncertain_release(const incarnation& server, shard_key from, shard_key to, time_point now) const;
    /// Removes the holds of `which` on these keys under tokens up to `fence`.
    void remove_holds(const incarnation& which, shard_key from, shard_key to, std::uint64_t fence);
    /// Installs a table that was read from the store or committed to it.
    void set_committed_table(key_table table, const store::revision& revision);
    /// Clears the previous owners of a range after its grant was confirmed.
    void complete_move(const key_range& range, time_point now);
    /// Requires the table to be read again, as the first one of a tenure.
    void reset_table_state();
    /// Interval between renewals of a grant; increases with the number of ranges.
    milliseconds grant_renew_interval() const;
    /// Records the end of the table call; returns false if its answer must not be used.
    bool finish_table_call();
    /// Drops the tenure and everything that only its holder may know.
    void lose_authority();
    /// Keeps the states of ranges that the new table still has, and adds states for the others.
    void rebuild_range_states();
    endpoint address_of(const incarnation& which) const;

    coordinator_settings m_settings;
    std::string m_service;
    std::string m_self;
    endpoint m_self_at;
    time_point m_started;

    // Servers.
    std::map<incarnation, backend> m_servers;    // Currently listed servers of the service.
    std::map<incarnation, endpoint> m_addresses; // Includes servers no longer listed.
    // Listed servers of all services that started last under an id, and at an address.
    std::map<std::string, incarnation> m_latest_by_id;
    std::map<endpoint, incarnation> m_latest_by_address;
    std::set<incarnation> m_ended; // Their processes have ended, so they hold no keys.
    std::set<std::string> m_ended_instances;
    struct unreachable_server {
        bool lost = false; // Owns no keys, even if it is listed.
        bool probing = false;
        time_point probe_at{};
    };
    /// Servers that did not answer their last order or refused a connection. They are given no further keys.
    std::map<incarnation, unreachable_server> m_unreachable;
    /// Listed servers that say in their answers that they leave, as instances report.
    std::set<incarnation> m_leaving;
    std::set<std::string> m_evacuated_domains;
    time_point m_evacuated_since = never;   // When the latest of them was added.
    residency::owner_placement m_placement; // Updated before each plan.
    std::map<incarnation, time_point> m_cold_until;
    service_time_estimates m_service_times;
    time_point m_last_server_added = never;

    // Tenure.
    store::epoch m_epoch;             // The newest epoch of the store that was heard of.
    store::epoch m_tenure_written_in; // Epoch of the last successful write of the tenure.
    bool m_tenure_known = false;
    store::revision m_tenure_revision;
    std::optional<tenure_record> m_tenure;
    tenure_record m_pending_tenure;         // Being written ...
    store::revision m_tenure_condition;     // ... if the record still has this revision.
    time_point m_tenure_first_seen = never; // When this revision was first read.
    time_point m_tenure_poll_at = never;
    bool m_tenure_call_pending = false;
    time_point m_tenure_call_sent = never;
    time_point m_next_takeover_at = never; // Earliest next attempt to take a tenure.
    milliseconds m_takeover_backoff{0};
    milliseconds m_tenure_read_backoff{0}; // Delay after the last failed read of the tenure.
    // No order was issued under an earlier tenure, including this instance's own, after this time.
    time_point m_previous_authority_until{};
    bool m_holds_tenure = false;
    time_point m_authority_until = never;
    time_point m_renew_at = never;
    std::uint64_t m_term = 0;
    bool m_resigned = false;
    bool m_store_degraded = false;

    // Table.
    bool m_table_known = false;
    /// A table has existed, as far as this instance can know: one that is missing from the store is lost.
    bool m_table_seen = false;
    /// m_table was committed in this tenure. What else the store may have is older, or a write of this
    /// instance that was not answered.
    bool m_owns_table = false;
    /// The store does not have m_table any more; it is written again before anything is planned.
    bool m_table_lost = false;
    /// The table read first is of an earlier epoch: the next one gives new tokens to all ranges, so that
    /// whoever reads it may rely on it.
    bool m_replaces_earlier_table = false;
    /// Grants that lost tables led to may be in effect until then.
    time_point m_lost_grants_until = never;
    store::revision m_table_revision;    // 0: no table exists.
    key_table m_table;                   // As committed.
    key_table m_effective_table;         // With the moves completed since.
    std::uint64_t m_completed_moves = 0; // Moves completed since m_table was committed.
    time_point m_write_completed_at =
        never;                         // Deadline for writing them to the store; `never` if there are none.
    key_table m_pending_table;         // Being written ...
    store::revision m_table_condition; // ... if the table still has this revision.
    bool m_table_call_pending = false;
    /// The pending table call was made before authority was last lost; its answer is ignored.
    bool m_table_call_outdated = false;
    time_point m_table_retry_at = never;
    bool m_table_claimed = false;   // The table in the store was written under this tenure.
    bool m_first_table_read = true; // The next table read is the first one of this tenure.

    // Orders.
    std::map<range_id, range_state> m_range_states;
    shard_key m_next_range = 0; // Range at which the next step starts, for fairness.
    std::map<std::uint64_t, order_state> m_orders;
    std::uint64_t m_next_order = 1;
    std::vector<possible_hold> m_holds; // One entry per grant, or several after a partial release.
    /// When all grants that an earlier coordinator may have issued to a server have expired.
    std::map<incarnation, time_point> m_inherited_holds;
    /// An unanswered release. While it may still be carried out, or requests that were running when it was
    /// carried out may still run, another release of these keys is confirmed at once: that confirmation
    /// proves only that no new request starts.
    struct uncertain_release {
        incarnation server;
        shard_key from = 0;
        shard_key to = 0;
        time_point until{};
    };
    std::vector<uncertain_release> m_uncertain_releases;

    key_rates m_rates;
    std::map<incarnation, double> m_admitted_fractions;
    time_point m_rebalance_at = never;
    time_point m_next_due = never;
};

std::string to_json(const tenure_record& record);
result<tenure_record> tenure_from_json(const std::string& text);

} // namespace balsampost::core
