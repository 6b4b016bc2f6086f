// Simulation of load on a keyed service in virtual time, shared by tests: instances with the real estimates
// and admission, the real planner, owners with slots, queues and unequal speeds, and callers who return after
// a refusal. No network; a run is the same for the same seed.
#pragma once

#include "balsampost/core/admission.h"
#include "balsampost/core/key_load.h"
#include "balsampost/core/key_plan.h"
#include "balsampost/core/server_selection.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace balsampost::core::simulation {

using std::chrono::seconds;

inline constexpr time_point begin{seconds{100}};
inline constexpr milliseconds rebalance_interval{400};
inline constexpr milliseconds report_interval{250};
inline constexpr milliseconds handover_time{
    100}; // Besides the time that the running requests of the keys take.
inline constexpr milliseconds retry_after_move{250};
inline constexpr milliseconds max_owner_wait{400};
inline constexpr std::uint32_t max_queue = 12;
inline constexpr shard_key first_hot_key = 20'000;
inline constexpr milliseconds drain{2'000};
inline constexpr milliseconds leaving_time{3'000};
inline constexpr milliseconds pause_notice_time{500};

/// What instances read of the load that a server reports.
enum class load_reading : std::uint8_t {
    nothing,       ///< As if the header were dropped.
    without_speed, ///< The first three figures.
    with_speed,    ///< The speed as well.
};

/// The load and the service that a run plays.
struct load_case {
    const char* name = "";
    double requests_per_s = 250;
    milliseconds mean_work{120};
    std::vector<double> slowness{0.7, 0.7, 1.6}; // Multiples of the work, in turn.
    int servers = 16;
    std::uint32_t slots = 3;
    int instances = 8;
    double hot_share = 0;      // Share of the requests for one key ...
    milliseconds hot_from{0};  // ... from then ...
    milliseconds hot_until{0}; // ... until then.
    double hot_keys = 1;       // Adjacent keys that the hot requests are spread over.
    milliseconds target{400};
    milliseconds deadline{2'500};
    std::uint32_t caller_retries = 2;
    milliseconds cut_from{0};  // Half of the instances cannot report from then; their reports ...
    milliseconds cut_until{0}; // ... all arrive then.
    bool limits_late_reports = true;
    bool spreads_returns =
        true; // Refused callers return the later, the more are refused; formerly after 350 ms.
    int leaving_servers =
        0; // So many say in their answers that they leave, while the list has them as ready, ...
    milliseconds leaving_from{0};  // ... from then; they end `leaving_time` later.
    int pausing_servers = 0;       // So many turn all requests away and ask for a pause ...
    milliseconds pausing_from{0};  // ... from then ...
    milliseconds pausing_until{0}; // ... until then.
    bool hears_notices = true;     // Formerly instances passed over what servers say of themselves.
    milliseconds spell{0};         // Each server is slow for spells of this length ...
    double spell_share = 0.2;      // ... that make up this share of the time ...
    double spell_slowdown = 3;     // ... and lengthen its work by this factor.
    load_reading reading = load_reading::without_speed;
    milliseconds length{20'000};
    milliseconds settled{5'000}; // Requests before then are not counted.
};

/// What callers got.
struct caller_results {
    double in_target = 0;
    double late = 0;
    double refused = 0;
    double failed = 0;
    double moves = 0;
    double late_moves = 0; // Moves after `settled`.
    double cold = 0;       // Requests for keys that are not hot ...
    double cold_in_target = 0;
    double late_at_leaving = 0; // Requests of an instance over `drain` after a server told it that it leaves.
    double during_pause = 0;    // Requests of an instance over 0.5 s after a server asked it for a pause.

    double total() const { return in_target + late + refused + failed; }
    double share(double part) const { return part / std::max(1.0, total()); }
};

/// Which table the owners of keys are taken from.
enum class placement_policy : std::uint8_t {
    planned,      ///< The planner moves keys as it measures load and speed.
    known_speeds, ///< Keys are spread once, by the true capacity of the servers.
};

class keyed_load {
public:
    keyed_load(load_case c, placement_policy policy, std::uint64_t seed)
        : m_case(std::move(c)), m_policy(policy), m_random(seed) {
        std::vector<const backend*> listed;
        for (int i = 0; i < m_case.servers; ++i) {
            owner o;
            o.info.self = {"s" + std::to_string(i), 1};
            o.info.slots = m_case.slots;
            o.slowness = m_case.slowness[static_cast<std::size_t>(i) % m_case.slowness.size()];
            m_owners.push_back(o);
        }
        for (const auto& o : m_owners) {
            listed.push_back(&o.info);
        }
        for (int i = 0; i < m_case.instances; ++i) {
            m_notices.push_back(std::make_shared<server_notices>());
            m_pools.emplace_back(selection_settings{}, "a", std::map<std::string, std::string>{},
                                 m_notices.back());
            m_pools.back().update(listed, 1'000, 1);
        }
        m_counters.resize(m_pools.size());
        m_credits.resize(m_pools.size());
        m_heard_leaving.resize(m_pools.size());
        m_heard_pause.resize(m_pools.size());
        if (m_case.spell > milliseconds{0}) {
            draw_spells();
        }
        m_table.ranges = {{0, key_count - 1, {}, 0, {}}};
        apply_moves(m_table, initial_owners(planned_servers(policy == placement_policy::known_speeds)));
    }

    caller_results run() {
        schedule(milliseconds{0}, [this] { arrive(); });
        schedule(report_interval, [this] { report(); });
        schedule(rebalance_interval, [this] { rebalance(); });
        while (!m_events.empty() && m_events.begin()->first < begin + m_case.length) {
            m_now = m_events.begin()->first;
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        return m_results;
    }

private:
    struct owner {
        backend info;
        double slowness = 1;
        std::uint32_t running = 0;
        std::deque<std::function<void()>> queue;
        std::vector<time_point> spells; // Begins of the slow spells, in order.
    };
    struct request {
        time_point sent; // First attempt.
        shard_key key = 0;
        std::uint32_t attempts = 0;
    };

    void schedule(duration delay, std::function<void()> action) {
        m_events.emplace(m_now + delay, std::move(action));
    }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    /// Draws the spells from a random device of their own, so that the load is the same with and without
    /// them.
    void draw_spells() {
        std::mt19937_64 random(m_random() ^ 0x5be11U);
        const double spell_ms = static_cast<double>(m_case.spell.count());
        std::exponential_distribution<double> gap_ms(
            1 / (spell_ms * (1 - m_case.spell_share) / m_case.spell_share));
        for (auto& o : m_owners) {
            for (auto at = begin; at < begin + m_case.length; at += m_case.spell) {
                at += milliseconds{static_cast<std::int64_t>(gap_ms(random))};
                o.spells.push_back(at);
            }
        }
    }

    /// The begin of the spell that lasts at `at`, or of the next one; `time_point::max()` if there is none.
    time_point spell_at(const owner& o, time_point at) const {
        const auto found = std::upper_bound(o.spells.begin(), o.spells.end(), at - m_case.spell);
        return found == o.spells.end() ? time_point::max() : *found;
    }

    double slowdown(const owner& o) const { return spell_at(o, m_now) <= m_now ? m_case.spell_slowdown : 1; }

    /// How long `work`, begun now, takes through slow spells.
    duration time_of(const owner& o, duration work) const {
        auto at = m_now;
        while (work > duration{0}) {
            const auto spell = spell_at(o, at);
            const double factor = spell <= at ? m_case.spell_slowdown : 1;
            const auto until = spell <= at ? spell + m_case.spell : spell;
            const auto needed = std::chrono::duration_cast<duration>(work * factor);
            if (until == time_point::max() || needed <= until - at) {
                return at + needed - m_now;
            }
            work -= std::chrono::duration_cast<duration>((until - at) / factor);
            at = until;
        }
        return at - m_now;
    }

    std::vector<key_server> planned_servers(bool true_speeds) const {
        std::vector<key_server> out;
        for (const auto& o : m_owners) {
            if (m_reported_leaving.contains(o.info.self)) {
                continue;
            }
            const double ms = true_speeds ? static_cast<double>(m_case.mean_work.count()) * o.slowness
                                          : m_speeds.service_ms(o.info.self.id, 100);
            out.push_back({o.info.self, m_case.slots * 1000.0 / ms, true});
        }
        return out;
    }

    void arrive() {
        const bool hot = m_now >= begin + m_case.hot_from && m_now < begin + m_case.hot_until;
        request r{m_now, 0, 0};
        r.key = hot && uniform() < m_case.hot_share
                    ? first_hot_key + static_cast<shard_key>(uniform() * m_case.hot_keys)
                    : static_cast<shard_key>(uniform() * key_count);
        attempt(r);
        const double gap_s = -std::log(1 - uniform()) / m_case.requests_per_s;
        schedule(std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap_s)),
                 [this] { arrive(); });
    }

    void attempt(request r) {
        const auto i = static_cast<std::size_t>(uniform() * static_cast<double>(m_pools.size()));
        m_counters[i].count(r.key);
        forward(r, i, m_now + max_owner_wait);
    }

    /// Sends the request to the owner of its key, waits for a move to end, or refuses it.
    void forward(request r, std::size_t i, time_point wait_until) {
        const auto* range = m_table.find(r.key);
        if (m_moving_until[range->from] > m_now) {
            if (m_now >= wait_until) {
                refuse(r, retry_after_move);
            } else {
                schedule(milliseconds{10}, [this, r, i, wait_until] { forward(r, i, wait_until); });
            }
            return;
        }
        const auto& server = range->owner.id;
        const auto limit = m_admitted.find(range->owner);
        if (limit != m_admitted.end() && uniform() > limit->second) {
            refuse(r, m_case.spreads_returns
                          ? overload_retry_after(limit->second, left(r.sent, m_case.target),
                                                 left(r.sent, m_case.deadline))
                          : milliseconds{350});
            return;
        }
        selection_request s;
        s.time_to_target = std::max(milliseconds{0}, left(r.sent, m_case.target));
        s.time_to_deadline = std::max(milliseconds{0}, left(r.sent, m_case.deadline));
        const auto choice = m_pools[i].check(server, s, m_now);
        if (choice.server.empty()) {
            refuse(r, choice.retry_after);
            return;
        }
        send(r, i, static_cast<std::size_t>(std::stoi(server.substr(1))));
    }

    milliseconds left(time_point sent, milliseconds limit) const {
        return std::chrono::duration_cast<milliseconds>(sent + limit - m_now);
    }

    bool leaves(std::size_t server) const {
        return static_cast<int>(server) < m_case.leaving_servers && m_now >= begin + m_case.leaving_from;
    }

    bool pauses(std::size_t server) const {
        return static_cast<int>(server) < m_case.pausing_servers && m_now >= begin + m_case.pausing_from &&
               m_now < begin + m_case.pausing_until;
    }

    /// Notes when the instance first heard it, for the rules, and lets it hear.
    void hear(std::size_t i, std::size_t server, const server_notice& notice) {
        if (notice.leaving) {
            m_heard_leaving[i].emplace(server, m_now);
        }
        if (notice.pause) {
            m_heard_pause[i].emplace(server, m_now);
        }
        if (m_case.hears_notices) {
            m_notices[i]->hear(m_owners[server].info.self, notice, m_now, uniform());
        }
    }

    /// Counts an arrival that one of the two rules forbids.
    void check_rules(std::size_t i, std::size_t server) {
        const auto leaving = m_heard_leaving[i].find(server);
        if (leaving != m_heard_leaving[i].end() && m_now > leaving->second + drain) {
            m_results.late_at_leaving += 1;
        }
        const auto pause = m_heard_pause[i].find(server);
        if (pause != m_heard_pause[i].end() && pauses(server) && m_now > pause->second + pause_notice_time) {
            m_results.during_pause += 1;
        }
    }

    void send(request r, std::size_t i, std::size_t to) {
        auto& o = m_owners[to];
        const auto sent = m_now;
        check_rules(i, to);
        m_pools[i].attempt_started(o.info.self.id, m_now);
        if (leaves(to) && m_now >= begin + m_case.leaving_from + leaving_time) {
            end_attempt(i, o, attempt_result::broken, sent);
            finish(r, &caller_results::failed);
            return;
        }
        if (pauses(to)) {
            end_attempt(i, o, attempt_result::refused, sent);
            hear(i, to, {false, std::chrono::ceil<milliseconds>(begin + m_case.pausing_until - m_now)});
            refuse(r, retry_after_move);
            return;
        }
        if (o.queue.size() >= max_queue) {
            end_attempt(i, o, attempt_result::refused, sent);
            refuse(r, retry_after_move);
            return;
        }
        o.queue.push_back([this, r, i, to, sent] {
            const double work = -std::log(1 - uniform()) * static_cast<double>(m_case.mean_work.count()) *
                                m_owners[to].slowness;
            schedule(time_of(m_owners[to], milliseconds{static_cast<std::int64_t>(work)}),
                     [this, r, i, to, sent] {
                         auto& server = m_owners[to];
                         --server.running;
                         end_attempt(i, server, attempt_result::answered, sent);
                         if (leaves(to)) {
                             hear(i, to, {true, std::nullopt});
                         }
                         finish(r, m_now - r.sent <= m_case.target     ? &caller_results::in_target
                                   : m_now - r.sent <= m_case.deadline ? &caller_results::late
                                                                       : &caller_results::failed);
                         start_next(server);
                     });
        });
        start_next(o);
    }

    void start_next(owner& o) const {
        while (o.running < m_case.slots && !o.queue.empty()) {
            const auto begin_work = std::move(o.queue.front());
            o.queue.pop_front();
            ++o.running;
            begin_work();
        }
    }

    void end_attempt(std::size_t i, const owner& o, attempt_result result, time_point sent) {
        std::optional<load_report> load{
            {o.running + 1, static_cast<std::uint32_t>(o.queue.size()), m_case.slots}};
        if (m_case.reading == load_reading::with_speed) {
            load->slowdown = slowdown(o);
        } else if (m_case.reading == load_reading::nothing) {
            load.reset();
        }
        m_pools[i].attempt_ended(o.info.self.id, result,
                                 std::chrono::duration_cast<milliseconds>(m_now - sent), load, m_now);
    }

    void refuse(request r, milliseconds retry_after) {
        ++r.attempts;
        const auto remaining = left(r.sent, m_case.deadline);
        if (r.attempts > m_case.caller_retries || remaining <= milliseconds{0}) {
            finish(r, &caller_results::refused);
            return;
        }
        const auto jittered = std::chrono::duration_cast<milliseconds>(retry_after * (0.8 + 0.6 * uniform()));
        schedule(std::min<milliseconds>(jittered, remaining / 3), [this, r] { attempt(r); });
    }

    void finish(const request& r, double caller_results::*part) {
        if (r.sent >= begin + m_case.settled) {
            m_results.*part += 1;
            if (!is_hot(r.key)) {
                m_results.cold += 1;
                m_results.cold_in_target += part == &caller_results::in_target ? 1 : 0;
            }
        }
    }

    bool is_hot(shard_key key) const {
        return m_case.hot_share > 0 && key >= first_hot_key && key < first_hot_key + m_case.hot_keys;
    }

    void report() {
        for (std::size_t i = 0; i < m_pools.size(); ++i) {
            key_report r;
            r.covered_ms = report_interval.count();
            m_counters[i].take(r, 256);
            for (const auto& s : m_pools[i].take_samples()) {
                r.service_ms.emplace_back(s.server, s.answers, static_cast<std::uint32_t>(s.total_ms));
            }
            for (const auto& server : m_notices[i]->leaving()) {
                r.leaving.emplace_back(server.id, server.started_ms);
            }
            if (i % 2 == 0 && m_now >= begin + m_case.cut_from && m_now < begin + m_case.cut_until) {
                m_events.emplace(begin + m_case.cut_until, [this, i, r] { report_received(i, r); });
            } else {
                report_received(i, r);
            }
        }
        schedule(report_interval, [this] { report(); });
    }

    void report_received(std::size_t i, key_report r) {
        if (m_case.limits_late_reports && !m_credits[i].accept(r, m_now)) {
            r.drop_counts();
        }
        m_rates.add(r, m_now);
        m_speeds.add(r);
        for (const auto& [id, started_ms] : r.leaving) {
            m_reported_leaving.insert({id, started_ms});
        }
    }

    void rebalance() {
        schedule(rebalance_interval, [this] { rebalance(); });
        m_rates.advance(m_now);
        const auto servers = planned_servers(false);
        m_admitted = admitted_fractions(m_table, servers, m_rates);
        const bool moving = std::any_of(m_moving_until.begin(), m_moving_until.end(),
                                        [this](const auto& m) { return m.second > m_now; });
        if (m_policy == placement_policy::known_speeds || moving) {
            return;
        }
        auto moves = reassign_lost(m_table, servers, m_rates);
        if (moves.empty()) {
            moves = fill_new_servers(m_table, servers, m_rates, {});
        }
        if (moves.empty()) {
            moves = spread_hot_ranges(m_table, servers, m_rates, {});
        }
        m_results.moves += static_cast<double>(moves.size());
        if (m_now >= begin + m_case.settled) {
            m_results.late_moves += static_cast<double>(moves.size());
        }
        apply_moves(m_table, moves);
        m_moving_until.clear();
        for (const auto& m : moves) {
            // The previous owner answers the release when its running requests on the keys have ended.
            m_moving_until[m_table.find(m.from)->from] = m_now + handover_time + 2 * m_case.mean_work;
        }
        for (auto& range : m_table.ranges) {
            range.previous.clear();
        }
    }

    load_case m_case;
    placement_policy m_policy;
    std::mt19937_64 m_random;
    time_point m_now = begin;
    std::multimap<time_point, std::function<void()>> m_events;
    std::vector<owner> m_owners;
    std::vector<server_pool> m_pools; // One for each instance.
    std::vector<key_counter> m_counters;
    std::vector<report_credit> m_credits;
    key_rates m_rates;
    service_time_estimates m_speeds;
    key_table m_table;
    std::vector<std::shared_ptr<server_notices>> m_notices;         // One for each instance, as the next two.
    std::vector<std::map<std::size_t, time_point>> m_heard_leaving; // When a server first said so.
    std::vector<std::map<std::size_t, time_point>> m_heard_pause;
    std::set<incarnation> m_reported_leaving;
    std::map<incarnation, double> m_admitted;       // Fractions of the requests to admit.
    std::map<shard_key, time_point> m_moving_until; // By first key of the range.
    caller_results m_results;
};

inline caller_results play(const load_case& c, placement_policy policy, std::uint64_t seeds = 8) {
    caller_results sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto r = keyed_load(c, policy, seed).run();
        sum.in_target += r.in_target;
        sum.late += r.late;
        sum.refused += r.refused;
        sum.failed += r.failed;
        sum.moves += r.moves;
        sum.late_moves += r.late_moves;
        sum.cold += r.cold;
        sum.cold_in_target += r.cold_in_target;
        sum.late_at_leaving += r.late_at_leaving;
        sum.during_pause += r.during_pause;
    }
    std::cout << " [" << c.name << (policy == placement_policy::planned ? ", planned" : ", known speeds")
              << ": in target " << sum.share(sum.in_target) << " late " << sum.share(sum.late) << " refused "
              << sum.share(sum.refused) << " failed " << sum.share(sum.failed) << " moves " << sum.moves
              << " of them late " << sum.late_moves << " late at leaving servers " << sum.late_at_leaving
              << " during pauses " << sum.during_pause << "]";
    return sum;
}

} // namespace balsampost::core::simulation
