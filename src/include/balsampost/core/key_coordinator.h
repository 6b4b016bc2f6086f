// The coordinator of one keyed service: who may order (a tenure in the store), who owns which keys (the key
// table in the store) and which grants and releases carry that out. No input or output: what happened goes
// in, what to do comes out.
//
// Safety, in the order in which it is relied on:
//  1. A tenure is taken by a conditional update, and only after the record stood unchanged for the tenure's
//  length by
//     this instance's own clock, or if its holder is known to have ended. Its holder orders nothing later
//     than that length after it sent its last successful renewal.
//  2. Every table is written under the condition that nobody wrote since, and before the orders that carry it
//  out.
//     Fencing tokens come from it and only rise. (The first table of a tenure is written before any order, so
//     that an earlier holder's late writes fail; no walk of the tests needs that for safety, it saves a
//     conflict.)
//  3. Keys go to another server only after each server that may hold them confirmed a release under the new
//  token,
//     or its grants have certainly run out, or its incarnation has ended: a later one has its id or its
//     address. A refused connection shows no such end: a cut may refuse, and a server that leaves closes its
//     listener while its last work runs.
#pragma once

#include "balsampost/core/key_plan.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace balsampost::core {

/// What safety rests on. Tests switch each off, to see that without it two servers come to own one key.
struct coordinator_rules {
    bool wait_for_tenure = true;  ///< A tenure is taken only when its holder can order nothing any more.
    bool end_with_tenure = true;  ///< Nothing is ordered after the tenure's end.
    bool count_unknown = true;    ///< What an earlier coordinator granted is waited out.
    bool count_unanswered = true; ///< A grant without an answer counts as given.
    bool clear_previous = true;   ///< Earlier owners are released, ended or waited out before a grant.
};

struct coordinator_settings {
    milliseconds tenure{1'800};     ///< Orders stop this long after the last renewal that succeeded was sent.
    milliseconds renew_tenure{450}; ///< A quarter of the tenure: one lost answer is survived.
    milliseconds takeover_margin{150}; ///< Beyond the tenure, for clocks of unequal speed.
    milliseconds first_wait{0}; ///< Before a tenure that nobody holds is taken, so that not all try at once.
    milliseconds first_look{0}; ///< Before the tenure is read for the first time: whoever is to take it comes
                                ///< first.
    milliseconds hold{3'000}; ///< Of a grant in calm times: keys of a silent server are free after it. Longer
                              ///< than it takes to miss a coordinator and take its place.
    milliseconds longest_hold{10'000}; ///< Of a grant while the store falters; the servers' bound.
    milliseconds renew_hold{800};      ///< A third of the hold: two lost answers are survived.
    milliseconds longest_renew{
        1'300};                  ///< Between renewals where there are many: three tries fit into the rest.
    double renewals_per_s = 300; ///< Beyond them, renewals are made less often.
    double clock_drift = 0.02;   ///< A server's clock may run slow by this part.
    milliseconds margin{200};    ///< Beyond the end of a grant, for its way to the server.
    milliseconds faltering{350}; ///< A renewal without an answer for this long: the store falters.
    milliseconds settle{
        1'200}; ///< The list of servers must not have grown for this long before the first plan.
    milliseconds latest_start{4'000}; ///< The first plan is made then at the latest.
    milliseconds plan_pause{400}; ///< Between plans that move keys for load; a plan's effect must show first.
    milliseconds settle_pause{1'000}; ///< A completed move may be in the store this much later: a successor
                                      ///< only releases once more what was released.
    milliseconds retry_store{150};    ///< Before a store call that failed is made again.
    milliseconds longest_take_pause{1'200}; ///< Between tries to read or take a tenure while the store does
                                            ///< not answer; all instances try.
    milliseconds retry_order{150};          ///< Before an order without an answer is sent again.
    milliseconds order_time{400};           ///< A grant without an answer is broken off after this.
    milliseconds probe_pause{500};          ///< Between tries to reach a server that was given up.
    milliseconds poll_tenure{600};          ///< Between looks at another holder's tenure, if it is not heard.
    milliseconds longest_work{10'000};      ///< That a request runs at a server.
    milliseconds latest_order{12'000}; ///< An order without an answer may still be carried out for this long.
    std::uint32_t most_orders = 4;     ///< At one server at a time: each takes one of its connections.
    std::uint32_t most_orders_in_all = 64; ///< Under way; more could not be carried out, and their answers
                                           ///< read, within an order's time by half a core.
    coordinator_rules rules;
    milliseconds unheard{1'200}; ///< A holder that was not heard for this long is looked for in the store.
};

struct tenure_record {
    std::uint64_t term = 0;
    std::string holder; ///< Empty: given up.
    endpoint holder_at;
    std::uint64_t renewals = 0; ///< Changes with each renewal, so that each is seen.
};

struct read_tenure {};
struct write_tenure {
    tenure_record record;
    std::uint64_t if_revision = 0; ///< 0: only if there is none.
};
struct read_table {};
struct write_table {
    key_table table;
    std::uint64_t if_revision = 0;
    std::size_t moves = 0; ///< That are new in it.
    load_summary load;     ///< What they were decided by.
};
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
struct send_release {
    std::uint64_t order = 0;
    incarnation to;
    endpoint at;
    shard_key from = 0;
    shard_key last = 0;
    std::uint64_t fence = 0;
};
/// Whether a server that was given up can be reached again.
struct probe_server {
    incarnation to;
    endpoint at;
};
using coordinator_action =
    std::variant<read_tenure, write_tenure, read_table, write_table, send_grant, send_release, probe_server>;

enum class write_outcome : std::uint8_t { done, conflict, failed, unknown };
enum class order_outcome : std::uint8_t {
    done,
    fenced,   ///< The server has seen a higher token.
    invalid,  ///< The server does not understand the order.
    not_sent, ///< It certainly did not reach the server.
    unknown,  ///< No answer; the connection was reset, so nothing of it arrives later than now.
};

class key_coordinator {
public:
    key_coordinator(coordinator_settings settings, std::string service, std::string self, endpoint self_at,
                    time_point now);

    /// Servers of the service that are fit to own keys, and the ids that are listed at all.
    void update_servers(const std::vector<const backend*>& listed, time_point now);
    /// It refused a connection of this instance. Its keys are planned elsewhere at once, and granted when its
    /// grants have run out.
    void server_refused(const incarnation& which, time_point now) { give_up(which, now); }
    void probe_ended(const incarnation& which, bool reached, time_point now);
    /// Every connection to the server was lost: it may have started anew under its id. What it is granted
    /// from now on goes under new tokens.
    void server_doubtful(const incarnation& which);
    /// No request runs longer at a server than this: the longest timeout of the service's routes.
    void limit_work(milliseconds longest) { m_settings.longest_work = longest; }
    /// The process that was this instance id has ended for certain.
    void instance_ended(const std::string& instance) { m_ended_instances.insert(instance); }
    void report(const key_report& r, time_point now);

    void tenure_read(std::uint64_t revision, std::optional<tenure_record> record, time_point now);
    void tenure_read_failed(time_point now);
    /// `sent`: when the write was sent. `conflicting` is the record as it is, after a conflict.
    void tenure_written(write_outcome outcome, std::uint64_t revision, time_point sent, time_point now);
    void table_read(std::uint64_t revision, std::optional<key_table> table, time_point now);
    void table_read_failed(time_point now);
    void table_written(write_outcome outcome, std::uint64_t revision, time_point now);
    void grant_ended(std::uint64_t order, order_outcome outcome, time_point now);
    void release_ended(std::uint64_t order, order_outcome outcome, const std::string& handover,
                       time_point now);

    /// What to do now. Call it after every event and at `next_due`.
    std::vector<coordinator_action> step(time_point now);
    time_point next_due() const { return m_next_due; }

    bool leads(time_point now) const {
        return m_holds_tenure && m_authority_until != never &&
               (now < m_authority_until || !m_settings.rules.end_with_tenure);
    }
    std::uint64_t term() const { return m_term; }
    const key_table& table() const { return m_table; }
    /// The table with the moves that are complete, which the store's need not show yet.
    const key_table& view() const { return m_view; }
    std::uint64_t view_revision() const { return m_table_revision; }
    std::uint64_t view_settled() const { return m_settled; }
    /// Servers that are asked for more than they can run, and the part that fits, as of the last look.
    const std::map<incarnation, double>& overloaded() const { return m_overloaded; }
    /// The holder as it was last seen; null if nothing is known.
    const tenure_record* tenure() const { return m_tenure ? &*m_tenure : nullptr; }
    std::uint64_t tenure_revision() const { return m_tenure_revision; }
    /// The holder itself said that its record has this revision.
    void tenure_heard(std::uint64_t revision, time_point now);
    /// The store does not answer as it should; a tenure given up now would not be seen.
    bool store_falters() const { return m_store_falters; }
    /// The holder has given its tenure up: look at once.
    void holder_resigned(time_point now) { m_poll_at = now; }
    /// Gives the tenure up, for a planned stop; nothing is ordered after it.
    std::optional<write_tenure> resign(time_point now);
    /// Whether grants of `which` on any key may still run at `now`.
    bool may_hold(const incarnation& which, shard_key from, shard_key to, time_point now) const;

private:
    struct run_state {
        time_point renew_at = never;      // The next grant is due then.
        std::uint64_t order = 0;          // Of the grant under way; 0: none.
        bool granted = false;             // This run was granted as it stands.
        bool refence = false;             // Not to be granted under this token any more.
        milliseconds hold{0};             // Of the last grant that was answered.
        time_point failing_since = never; // First of the last row of grants without an answer.
        std::string handover;
        std::map<incarnation, std::uint64_t> releases; // Orders under way; 0: to be sent at m_release_again.
        std::map<incarnation, time_point> release_again;
        std::map<incarnation, time_point> released; // Confirmed; no work is left on the keys from then on.
    };
    using run_key = std::tuple<shard_key, shard_key, std::uint64_t>; // From, to, fence.

    /// Keys that a server may hold by one grant of this instance.
    struct possible_hold {
        incarnation server;
        shard_key from = 0;
        shard_key to = 0;
        time_point
            until{}; // When it has certainly run out; `time_point::max()` while the grant is under way.
        std::uint64_t order = 0; // The grant, and its token.
        std::uint64_t fence = 0;
    };

    struct order_state {
        run_key run;
        incarnation server;
        milliseconds hold{0}; // 0: a release.
        time_point sent{};
    };

    /// What may still be ordered while earlier orders have no answer.
    struct order_room {
        std::map<incarnation, std::uint32_t> at_server;
        std::uint32_t most_at_server = 0;
        std::uint32_t left = 0;

        bool full() const { return left == 0; }
        bool has_room(const incarnation& server) const {
            const auto found = at_server.find(server);
            return left > 0 && (found == at_server.end() || found->second < most_at_server);
        }
        void take(const incarnation& server) {
            ++at_server[server];
            left -= std::min(left, 1U);
        }
    };

    /// A later incarnation under the same id, or a later server at the same address, shows that the earlier
    /// ended.
    void end_replaced();
    void step_tenure(time_point now, std::vector<coordinator_action>& out);
    void step_table(time_point now, std::vector<coordinator_action>& out);
    void step_orders(time_point now, std::vector<coordinator_action>& out);
    void step_releases(const key_run& run, order_room& room, time_point now,
                       std::vector<coordinator_action>& out);
    void step_grant(const key_run& run, order_room& room, time_point now,
                    std::vector<coordinator_action>& out);
    std::vector<key_move> plan_first(time_point now);
    std::vector<key_move> plan(time_point now);
    std::vector<key_server> owners() const;
    bool fit(const incarnation& which) const;
    void server_ended(const incarnation& which);
    /// Follows from an order's end whether its server can be reached.
    void note_contact(const incarnation& server, order_outcome outcome, time_point now);
    /// It owns nothing any more until a probe reaches it.
    void give_up(const incarnation& which, time_point now);
    void give_up_silent(time_point now);
    void step_probes(time_point now, std::vector<coordinator_action>& out);
    bool ended(const incarnation& which) const { return m_ended.contains(which); }
    bool cleared(const incarnation& previous, const key_run& run, const run_state& s, time_point now) const;
    bool previous_cleared(const key_run& run, const run_state& s, time_point now) const;
    void due(time_point at) { m_next_due = std::min(m_next_due, at); }
    void end_hold(const order_state& o, std::uint64_t order, bool may_have_arrived, time_point now);
    bool release_under_way(const incarnation& server, shard_key from, shard_key to) const;
    bool doubtful(const incarnation& server, shard_key from, shard_key to, time_point now) const;
    /// What `which` was granted of these keys under tokens up to `fence` is no more.
    void forget_holds(const incarnation& which, shard_key from, shard_key to, std::uint64_t fence);
    void adopt(key_table table, std::uint64_t revision);
    void settle(const key_run& run, time_point now);
    void begin_tenure();
    /// Between renewals of a grant.
    milliseconds renew_pause() const;
    /// Notes that the table call has ended; false if its answer must not be used.
    bool end_table_call();
    void lose_authority();
    void keep_states();
    endpoint address_of(const incarnation& which) const;

    coordinator_settings m_settings;
    std::string m_service;
    std::string m_self;
    endpoint m_self_at;
    time_point m_started;

    // Servers.
    std::map<incarnation, backend> m_servers;    // Listed now.
    std::map<incarnation, endpoint> m_addresses; // Also of servers that are listed no more.
    std::set<incarnation> m_ended;               // Their processes have ended; they hold nothing.
    std::set<std::string> m_ended_instances;
    struct lost_contact {
        bool given_up = false; // Owns nothing any more, though perhaps listed.
        bool probing = false;
        time_point probe_at{};
    };
    std::map<incarnation, lost_contact> m_unreached; // Their last order had no answer. They get no more keys.
    server_speeds m_speeds;
    time_point m_list_grew = never;

    // Tenure.
    bool m_tenure_known = false;
    std::uint64_t m_tenure_revision = 0;
    std::optional<tenure_record> m_tenure;
    tenure_record m_tenure_draft;     // As being written.
    time_point m_tenure_seen = never; // When m_tenure_revision was first seen.
    time_point m_poll_at = never;
    bool m_tenure_call = false;
    time_point m_tenure_call_sent = never;
    time_point m_take_at = never; // A tenure is not tried to be taken before.
    milliseconds m_take_pause{0};
    milliseconds m_read_pause{0}; // After the last read of the tenure that failed.
    // Whoever had authority before this tenure, this instance too, ordered nothing after this.
    time_point m_earlier_authority_until{};
    bool m_holds_tenure = false;
    time_point m_authority_until = never;
    time_point m_renew_at = never;
    std::uint64_t m_term = 0;
    bool m_resigned = false;
    bool m_store_falters = false;

    // Table.
    bool m_table_known = false;
    std::uint64_t m_table_revision = 0; // 0: there is none.
    key_table m_table;                  // As committed.
    key_table m_view;
    std::uint64_t m_settled = 0;    // Moves completed since m_table was committed.
    time_point m_settle_at = never; // The store's table is to show them then; `never` if there are none.
    key_table m_draft;              // As being written.
    bool m_table_call = false;
    bool m_table_call_outdated =
        false; // It was made before authority was last lost: its answer says nothing.
    time_point m_table_again = never;
    bool m_claimed = false;   // The table in the store is this tenure's.
    bool m_first_read = true; // The next table read is the first of this tenure.

    // Orders.
    std::map<run_key, run_state> m_runs;
    shard_key m_next_run = 0; // The first run to be looked at, so that all have their turn.
    std::map<std::uint64_t, order_state> m_orders;
    std::uint64_t m_next_order = 1;
    std::vector<possible_hold> m_holds; // One entry a grant, or several when part of it was released.
    std::map<incarnation, time_point> m_unknown_holds; // The same for what an earlier coordinator granted.
    /// Releases without an answer. While one may still be carried out, or the work that it found may still
    /// run, another release of these keys is confirmed at once and proves only that nothing new begins.
    struct doubtful_release {
        incarnation server;
        shard_key from = 0;
        shard_key to = 0;
        time_point until{};
    };
    std::vector<doubtful_release> m_doubts;
    std::vector<key_move> m_fenced; // Runs that a server refused: the same owner, a new token.

    key_rates m_rates;
    std::map<incarnation, double> m_overloaded;
    time_point m_plan_at = never;
    time_point m_next_due = never;
};

std::string to_json(const tenure_record& record);
result<tenure_record> tenure_from_json(const std::string& text);

} // namespace balsampost::core
