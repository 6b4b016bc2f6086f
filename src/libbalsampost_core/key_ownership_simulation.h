// Randomized simulation of several coordinators, a store and servers. It injects late and lost store writes,
// orders carried out seconds late, paused and replaced coordinators, servers that crash, become silent and
// return, and slow clocks. No two running servers may hold the same key at any step. With any safety rule
// switched off, some simulation must find two owners. Shared by the tests of ownership.
#pragma once

#include "balsampost/core/key_coordinator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace balsampost::core::ownership_walk {

using std::chrono::seconds;

inline constexpr time_point simulation_start{seconds{1000}};

/// A server that follows the protocol for grants and releases.
struct simulated_server {
    struct hold {
        shard_key from = 0;
        shard_key to = 0;
        time_point until{};
        std::uint64_t fence = 0;
    };
    struct seen {
        shard_key from = 0;
        shard_key to = 0;
        std::uint64_t fence = 0;
    };

    bool fenced(shard_key from, shard_key to, std::uint64_t fence) const {
        return std::any_of(seen_fences.begin(), seen_fences.end(),
                           [&](const seen& s) { return s.from <= to && from <= s.to && s.fence > fence; });
    }
    void drop(shard_key from, shard_key to, std::uint64_t fence) {
        std::vector<hold> next;
        for (const auto& h : holds) {
            if (h.to < from || h.from > to || h.fence > fence) {
                next.push_back(h);
                continue;
            }
            if (h.from < from) {
                next.push_back({h.from, from - 1, h.until, h.fence});
            }
            if (h.to > to) {
                next.push_back({to + 1, h.to, h.until, h.fence});
            }
        }
        holds = std::move(next);
    }
    bool grant(const send_grant& g, time_point arrived, time_point now) {
        if (fenced(g.from, g.last, g.fence)) {
            return false;
        }
        if (arrived == now) { // A grant carried out late does not shorten a newer one.
            drop(g.from, g.last, g.fence);
        }
        // The server's clock, which measures the hold, runs 2% slow.
        holds.push_back(
            {g.from, g.last, arrived + std::chrono::duration_cast<duration>(g.hold * 1.02), g.fence});
        seen_fences.push_back({g.from, g.last, g.fence});
        return true;
    }
    void release(const send_release& r) {
        drop(r.from, r.last, r.fence);
        seen_fences.push_back({r.from, r.last, r.fence});
    }

    /// When the last running request on these keys ends; at the latest with its hold.
    time_point last_request_end(shard_key from, shard_key to) const {
        auto ends = simulation_start;
        for (const auto& w : requests) {
            if (w.from <= to && from <= w.to) {
                ends = std::max(ends, w.until);
            }
        }
        return ends;
    }

    std::vector<hold> holds;
    std::vector<hold> requests; // Running requests with their end times.
    std::vector<seen> seen_fences;
};

struct simulation_options {
    key_coordinator_rules rules;
    /// The addresses of ended servers go to servers of another service.
    bool replaces_servers = false;
    /// The owner regions change, coordinators learn of it at different times, and whole regions are lost.
    bool changes_owner_regions = false;
    /// Failure domains are evacuated and taken back; coordinators learn of it at different times.
    bool evacuates = false;
    /// Writes of the table alone fail or stay unanswered, so that the holder keeps its tenure meanwhile.
    bool loses_table_writes = false;
    /// The store is away now and then and comes back from an older copy, and coordinators are killed.
    bool restores_store = false;
};

inline constexpr int region_count = 3;
inline constexpr std::size_t coordinator_count = 3;
inline constexpr seconds first_restore{5};  // After the first table; copies may be older than it.
inline constexpr shard_key token_step = 64; // One key of each so many is checked for its tokens.

class simulation {
public:
    simulation(std::uint64_t seed, const simulation_options& options)
        : m_random(seed), m_cuts_refuse(seed % 2 == 0), m_replaces_servers(options.replaces_servers),
          m_changes_owner_regions(options.changes_owner_regions), m_evacuates(options.evacuates),
          m_loses_table_writes(options.loses_table_writes), m_restores_store(options.restores_store) {
        for (int i = 0; i < 4; ++i) {
            start_server("s" + std::to_string(i));
        }
        m_settings.rules = options.rules;
        m_settings.max_request_time = milliseconds{1'000};
        m_lives.assign(coordinator_count, 0);
        m_epoch.number = m_restores_store ? 1 : 0;
        for (std::size_t i = 0; i < coordinator_count; ++i) {
            m_coordinators.push_back(start_coordinator(i));
        }
        m_paused_until.assign(m_coordinators.size(), simulation_start);
        m_next_directory_update.assign(m_coordinators.size(), simulation_start);
        m_store_fault_until.assign(m_coordinators.size(), simulation_start);
    }

    /// Returns a key that two servers held at once, that was granted while another server still ran requests
    /// on it, or that was granted under a token that is not above that of another server, if there is one.
    std::optional<shard_key> run(seconds length) {
        while (m_now < simulation_start + length) {
            inject_faults();
            run_due_events();
            for (std::size_t i = 0; i < m_coordinators.size(); ++i) {
                step(i);
            }
            start_requests();
            count_steps_inside();
            if (const auto key = find_double_hold()) {
                return key;
            }
            if (m_granted_during_work) {
                return m_granted_during_work;
            }
            if (m_granted_by_used_token) {
                return m_granted_by_used_token;
            }
            m_now += milliseconds{10 + random_below(40)};
        }
        return std::nullopt;
    }

    /// Ends all faults, and runs on for `length`. Returns a key that no live server holds then, if there is
    /// one.
    std::optional<shard_key> settle(seconds length) {
        m_calm = true;
        m_cut.clear();
        m_owner_regions = {};
        m_evacuated.clear();
        for (auto& c : m_coordinators) {
            c->update_evacuations({}, m_now);
        }
        for (const auto until = m_now + length; m_now < until; m_now += milliseconds{10 + random_below(40)}) {
            for (auto& [id, b] : m_listed) {
                b.draining = false;
            }
            run_due_events();
            for (std::size_t i = 0; i < m_coordinators.size(); ++i) {
                step(i);
            }
        }
        return find_key_without_holder();
    }

    bool ever_held() const { return m_ever_held; }
    /// Steps at which servers inside the owner regions held keys, and running servers outside held none.
    std::size_t steps_inside() const { return m_steps_inside; }

private:
    using event = std::function<void()>;

    std::uint64_t random_below(std::uint64_t below) { return m_random() % below; }
    bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(m_random) < p; }
    void schedule(milliseconds delay, event e) { m_events.emplace(m_now + delay, std::move(e)); }

    void run_due_events() {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto e = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            e();
        }
    }

    std::unique_ptr<key_coordinator> start_coordinator(std::size_t i) {
        auto settings = m_settings;
        settings.takeover_margin = milliseconds{150 + 40 * static_cast<int>(i)};
        const auto id = "c" + std::to_string(i) + "@" + std::to_string(++m_lives[i]);
        return std::make_unique<key_coordinator>(settings, "beds", id, endpoint{"10.0.0.9", 7000}, m_now);
    }

    /// Takes the store away, and restores it from a copy.
    void restore_store() {
        m_store_away_until = m_now + milliseconds{200 + random_below(2'800)};
        const milliseconds age{1'000 + random_below(9'000)};
        schedule(std::chrono::duration_cast<milliseconds>(m_store_away_until - m_now), [this, age] {
            const auto of = m_now - age;
            while (m_copies.size() > 1 && m_copies.back().first > of) {
                m_copies.pop_back();
            }
            m_store = m_copies.back().second;
            ++m_epoch.number;
        });
    }

    void start_server(const std::string& id) {
        backend b;
        b.self = {id, ++m_last_incarnation};
        b.service = "beds";
        b.address = {"10.0.0.1", static_cast<std::uint16_t>(8000 + m_last_incarnation)};
        b.slots = 6;
        b.failure_domain = "d" + std::to_string(m_last_incarnation % region_count);
        m_listed[id] = b;
        m_running_servers[b.self] = {};
    }

    /// Ends a server and starts one of another service at its address, and a new one of the service at an
    /// address that a server of the other service had before. Entries of ended servers stay listed for a
    /// while.
    void replace_by_another_service(const std::string& id) {
        const auto old = m_listed.at(id);
        m_running_servers.erase(old.self);
        schedule(milliseconds{500 + random_below(3000)}, [this, old] {
            const auto listed = m_listed.find(old.self.id);
            if (listed != m_listed.end() && listed->second.self == old.self) {
                m_listed.erase(listed);
            }
        });
        auto earlier = old;
        earlier.self = {"o" + std::to_string(m_last_incarnation + 1), m_last_incarnation + 1};
        earlier.service = "documents";
        ++m_last_incarnation;
        start_server("n" + std::to_string(m_last_incarnation + 1));
        earlier.address = m_listed.at("n" + std::to_string(m_last_incarnation)).address;
        m_other_service[earlier.self.id] = earlier;
        schedule(milliseconds{2000 + random_below(2000)}, [this, old, earlier] {
            m_other_service.erase(earlier.self.id);
            auto later = old;
            later.self = {"o" + std::to_string(m_last_incarnation + 1), m_last_incarnation + 1};
            ++m_last_incarnation;
            later.service = "documents";
            m_other_service[later.self.id] = later;
        });
    }

    /// Updates the coordinator's list of servers, which lags behind the real state.
    void update_directory(std::size_t i) {
        if (m_now < m_next_directory_update[i]) {
            return;
        }
        m_next_directory_update[i] = m_now + milliseconds{200 + random_below(1500)};
        std::vector<const backend*> listed;
        for (const auto* servers : {&m_listed, &m_other_service}) {
            for (const auto& [id, b] : *servers) {
                listed.push_back(&b);
            }
        }
        m_coordinators[i]->limit_owner_regions(m_owner_regions, m_regions);
        m_coordinators[i]->update_servers(listed, m_now);
    }

    void inject_faults() {
        if (chance(0.004)) { // A coordinator is paused.
            m_paused_until[random_below(m_coordinators.size())] =
                m_now + milliseconds{200 + random_below(6000)};
        }
        if (chance(0.004)) { // Store calls fail for a while.
            const auto until = m_now + milliseconds{500 + random_below(4000)};
            const bool all = chance(0.5); // Otherwise only one coordinator is affected.
            const auto one = random_below(m_coordinators.size());
            for (std::size_t i = 0; i < m_coordinators.size(); ++i) {
                if (all || i == one) {
                    m_store_fault_until[i] = until;
                }
            }
        }
        if (chance(0.01)) { // A server is unreachable for coordinators but still serves requests.
            const auto id = pick_server();
            const auto until = m_now + milliseconds{200 + random_below(9000)};
            const bool all = chance(0.3); // Otherwise one coordinator still reaches the server.
            const auto one = random_below(m_coordinators.size());
            for (std::size_t i = 0; i < m_coordinators.size(); ++i) {
                if (all || i != one) {
                    m_cut[{i, id}] = until;
                }
            }
        }
        if (chance(0.004)) { // A server crashes and restarts under the same id.
            const auto id = pick_server();
            m_running_servers.erase(m_listed.at(id).self);
            start_server(id);
        }
        if (m_replaces_servers &&
            chance(0.004)) { // A server ends for good; its address goes to a server of another service.
            replace_by_another_service(pick_server());
        }
        if (chance(0.004)) { // The entry of a running server expires and is listed again afterwards.
            const auto id = pick_server();
            const auto entry = m_listed.at(id);
            if (m_listed.size() > 2) {
                m_listed.erase(id);
                schedule(milliseconds{500 + random_below(4000)}, [this, entry] {
                    if (!m_listed.contains(entry.self.id)) {
                        m_listed[entry.self.id] = entry;
                    }
                });
            }
        }
        if (chance(0.004)) {
            m_listed.at(pick_server()).draining ^= true;
        }
        if (chance(0.01)) { // A coordinator loses all connections to a server, or takes them for lost.
            m_coordinators[random_below(m_coordinators.size())]->server_may_have_restarted(
                m_listed.at(pick_server()).self);
        }
        if (m_restores_store && m_now > simulation_start + first_restore && chance(0.004)) {
            restore_store();
        }
        if (m_restores_store && chance(0.003)) { // A coordinator is killed and starts again.
            const auto i = random_below(m_coordinators.size());
            m_coordinators[i] = start_coordinator(i);
        }
        if (m_changes_owner_regions) {
            change_owner_regions();
        }
        if (m_evacuates && chance(0.02)) {
            change_evacuations();
        }
        if (chance(0.02)) { // Some keys become hot.
            key_report r;
            const auto hot = static_cast<shard_key>(random_below(key_count - 100));
            for (shard_key k = hot; k < hot + 100; k += 5) {
                r.keys.emplace_back(k, 10);
            }
            for (auto& c : m_coordinators) {
                c->report(r, m_now);
            }
        }
    }

    /// Begins or ends an evacuation, of which each coordinator learns at its own time.
    void change_evacuations() {
        const auto domain = "d" + std::to_string(random_below(region_count));
        if (m_evacuated.erase(domain) == 0) {
            m_evacuated.insert(domain);
        }
        for (auto& c : m_coordinators) {
            schedule(milliseconds{random_below(4'000)},
                     [this, &c, domains = m_evacuated] { c->update_evacuations(domains, m_now); });
        }
    }

    void change_owner_regions() {
        if (chance(0.006)) { // A manifest changes the owner regions; some name no known region.
            m_owner_regions = {};
            std::vector<std::string> list;
            for (int r = 0; r <= region_count; ++r) {
                if (chance(0.4)) {
                    list.push_back("r" + std::to_string(r));
                }
            }
            m_owner_regions.restrict_to(list);
        }
        if (chance(0.002)) { // All servers of a region crash; they start again later.
            const auto domain = "d" + std::to_string(random_below(region_count));
            std::vector<backend> lost;
            for (const auto& [id, b] : m_listed) {
                if (b.failure_domain == domain) {
                    lost.push_back(b);
                }
            }
            for (const auto& b : lost) {
                m_running_servers.erase(b.self);
                schedule(milliseconds{500 + random_below(6000)}, [this, b] {
                    const auto listed = m_listed.find(b.self.id);
                    if (listed != m_listed.end() && listed->second.self == b.self) {
                        start_server(b.self.id);
                    }
                });
            }
        }
    }

    bool inside(const incarnation& which) const {
        const auto listed = m_listed.find(which.id);
        return listed != m_listed.end() &&
               m_owner_regions.allows(m_regions.at(listed->second.failure_domain));
    }

    /// Counts the steps at which servers inside hold keys and servers outside, though listed, hold none.
    void count_steps_inside() {
        bool any_inside = false;
        bool any_outside = false;
        for (const auto& [which, h] : m_running_servers) {
            for (const auto& x : h.holds) {
                (inside(which) ? any_inside : any_outside) |= m_now < x.until;
            }
        }
        const bool listed_outside = std::any_of(m_listed.begin(), m_listed.end(), [this](const auto& entry) {
            return !inside(entry.second.self) && m_running_servers.contains(entry.second.self);
        });
        m_steps_inside += any_inside && !any_outside && listed_outside ? 1 : 0;
    }

    /// Starts requests on keys that are held.
    void start_requests() {
        for (auto& [id, h] : m_running_servers) {
            std::erase_if(h.requests, [this](const auto& w) { return w.until <= m_now; });
            for (const auto& x : h.holds) {
                if (m_now < x.until && chance(0.05)) {
                    h.requests.push_back(
                        {x.from, x.to,
                         std::min<time_point>(x.until, m_now + milliseconds{50 + random_below(900)}),
                         x.fence});
                }
            }
        }
    }

    /// Keeps a copy of the store after a write; returns the position of the write.
    store::revision written() {
        m_copies.emplace_back(m_now, m_store);
        return {m_epoch, m_store.revision};
    }

    /// Records a key that is granted under a token that is not above all with which others had it.
    void check_token(const send_grant& g) {
        for (auto key = (g.from + token_step - 1) / token_step * token_step; key <= g.last;
             key += token_step) {
            auto& [fence, server] = m_highest_tokens[key];
            if (!server.empty() && server != g.to && g.fence <= fence) {
                m_granted_by_used_token = key;
            }
            if (g.fence >= fence) {
                fence = g.fence;
                server = g.to;
            }
        }
    }

    /// Records a key that is granted while another server still runs requests on it.
    void check_no_running_requests(const send_grant& g) {
        for (const auto& [id, h] : m_running_servers) {
            if (id != g.to && h.last_request_end(g.from, g.last) > m_now) {
                m_granted_during_work = g.from;
            }
        }
    }

    std::string pick_server() {
        auto at = m_listed.begin();
        std::advance(at, static_cast<std::ptrdiff_t>(random_below(m_listed.size())));
        return at->first;
    }

    void step(std::size_t i) {
        if (m_now < m_paused_until[i]) {
            return;
        }
        update_directory(i);
        for (const auto& action : m_coordinators[i]->step(m_now)) {
            std::visit([&](const auto& a) { execute(i, a); }, action);
        }
    }

    /// Delivers the outcome of a call after `delay`, or later if the coordinator is paused then.
    void deliver_answer(std::size_t i, milliseconds delay, std::function<void(key_coordinator&)> deliver) {
        schedule(delay, [this, i, life = m_lives[i], deliver = std::move(deliver)] {
            if (life != m_lives[i]) {
                return;
            }
            if (m_now < m_paused_until[i]) {
                deliver_answer(
                    i, std::chrono::duration_cast<milliseconds>(m_paused_until[i] - m_now) + milliseconds{1},
                    deliver);
            } else {
                deliver(*m_coordinators[i]);
            }
        });
    }

    /// Fault injected into a store call.
    enum class store_fault { none, refused, lost_before, lost_after, late };
    store_fault next_store_fault(std::size_t i) {
        if (m_calm) {
            return store_fault::none;
        }
        if (m_now < m_store_away_until) {
            return chance(0.5) ? store_fault::refused : store_fault::lost_before;
        }
        if (m_now >= m_store_fault_until[i]) {
            return chance(0.02) ? store_fault::lost_after : store_fault::none;
        }
        const store_fault fates[] = {store_fault::none, store_fault::refused, store_fault::lost_before,
                                     store_fault::lost_after, store_fault::late};
        return fates[random_below(5)];
    }

    void execute(std::size_t i, const read_tenure&) {
        if (next_store_fault(i) == store_fault::none) {
            deliver_answer(i, milliseconds{random_below(30)},
                           [this, revision = store::revision(m_epoch, m_store.tenure_revision),
                            record = m_store.tenure](auto& c) { c.tenure_read(revision, record, m_now); });
        } else {
            deliver_answer(i, milliseconds{300}, [this](auto& c) { c.tenure_read_failed(m_now); });
        }
    }
    void execute(std::size_t i, const read_table&) {
        if (next_store_fault(i) == store_fault::none) {
            deliver_answer(i, milliseconds{random_below(30)},
                           [this, revision = store::revision(m_epoch, m_store.table_revision),
                            table = m_store.table](auto& c) { c.table_read(revision, table, m_now); });
        } else {
            deliver_answer(i, milliseconds{300}, [this](auto& c) { c.table_read_failed(m_now); });
        }
    }
    template <class Deliver>
    void store_write(std::size_t i, const std::function<std::optional<store::revision>()>& attempt,
                     Deliver deliver) {
        store_write(i, attempt, deliver, next_store_fault(i));
    }
    template <class Deliver>
    void store_write(std::size_t i, const std::function<std::optional<store::revision>()>& attempt,
                     Deliver deliver, store_fault f) {
        if (f == store_fault::none) {
            const auto revision = attempt();
            const milliseconds slow{chance(0.05) ? random_below(3'000) : random_below(60)};
            deliver_answer(i, slow, [deliver, revision](auto& c) {
                deliver(c, revision ? write_outcome::done : write_outcome::conflict,
                        revision.value_or(store::revision{}));
            });
            return;
        }
        if (f == store_fault::refused) {
            deliver_answer(i, milliseconds{5}, [deliver](auto& c) { deliver(c, write_outcome::failed, 0); });
            return;
        }
        if (f == store_fault::lost_after) {
            attempt();
        } else if (f == store_fault::late) {
            schedule(milliseconds{1000 + random_below(5000)}, [attempt] { attempt(); });
        }
        deliver_answer(i, milliseconds{500}, [deliver](auto& c) { deliver(c, write_outcome::unknown, 0); });
    }
    void execute(std::size_t i, const write_tenure& a) {
        const auto sent = m_now;
        store_write(
            i,
            [this, a]() -> std::optional<store::revision> {
                // The store knows no epochs in conditions.
                if (a.if_revision.number() != m_store.tenure_revision) {
                    return std::nullopt;
                }
                m_store.tenure = a.record;
                m_store.tenure_revision = ++m_store.revision;
                return written();
            },
            [this, sent](key_coordinator& c, write_outcome o, const store::revision& r) {
                c.tenure_written(o, r, sent, m_now);
            });
    }
    void execute(std::size_t i, const write_table& a) {
        CPPUNIT_ASSERT(is_valid(a.table));
        auto fault = next_store_fault(i);
        if (m_loses_table_writes && !m_calm && chance(0.2)) {
            fault = chance(0.5) ? store_fault::refused : store_fault::lost_before;
        }
        store_write(
            i,
            [this, a]() -> std::optional<store::revision> {
                if (a.if_revision.number() != m_store.table_revision) {
                    return std::nullopt;
                }
                m_store.table = a.table;
                m_store.table_revision = ++m_store.revision;
                return written();
            },
            [this](key_coordinator& c, write_outcome o, const store::revision& r) {
                c.table_written(o, r, m_now);
            },
            fault);
    }

    simulated_server* find_server(const incarnation& which) {
        const auto found = m_running_servers.find(which);
        return found == m_running_servers.end() ? nullptr : &found->second;
    }
    bool cut(std::size_t i, const std::string& id) const {
        const auto found = m_cut.find({i, id});
        return found != m_cut.end() && m_now < found->second;
    }

    /// `answer_delay`: time between the execution of the order and its answer.
    template <class Order, class Apply, class Delay, class Deliver>
    void send_order(std::size_t i, const Order& a, Apply apply, Delay answer_delay, Deliver deliver) {
        // Connections are refused at the address of an ended process, and in some simulations by a partition.
        const bool refuses = find_server(a.to) == nullptr || (cut(i, a.to.id) && m_cuts_refuse);
        if (refuses) {
            deliver_answer(i, milliseconds{2}, [this, a, deliver](auto& c) {
                c.server_refused(a.to, m_now);
                deliver(c, order_outcome::not_sent);
            });
            return;
        }
        if (cut(i, a.to.id)) {
            deliver_answer(i, milliseconds{300}, [deliver](auto& c) { deliver(c, order_outcome::not_sent); });
            return;
        }
        const auto arrived = m_now;
        if (!m_calm &&
            chance(0.06)) { // No answer. The order may execute much later; its hold counts from its arrival.
            if (chance(0.7)) {
                schedule(milliseconds{2000 + random_below(10'000)}, [this, a, apply, arrived] {
                    if (auto* h = find_server(a.to)) {
                        apply(*h, arrived);
                    }
                });
            }
            deliver_answer(i, milliseconds{400}, [deliver](auto& c) { deliver(c, order_outcome::unknown); });
            return;
        }
        const milliseconds delay = answer_delay(*find_server(a.to));
        const bool ok = apply(*find_server(a.to), arrived);
        if (!m_calm && chance(0.03)) { // The order is executed but its answer is lost.
            deliver_answer(i, milliseconds{400}, [deliver](auto& c) { deliver(c, order_outcome::unknown); });
            return;
        }
        deliver_answer(i, delay + milliseconds{1 + random_below(20)}, [deliver, ok](auto& c) {
            deliver(c, ok ? order_outcome::done : order_outcome::fenced);
        });
    }
    void execute(std::size_t i, const probe_server& a) {
        const bool reached = find_server(a.to) != nullptr && !cut(i, a.to.id);
        deliver_answer(i, milliseconds{reached ? 2 : 200},
                       [this, a, reached](auto& c) { c.probe_ended(a.to, reached, m_now); });
    }
    void execute(std::size_t i, const send_grant& a) {
        send_order(
            i, a,
            [this, a](simulated_server& h, time_point arrived) {
                const bool ok = h.grant(a, arrived, m_now);
                if (ok && arrived == m_now) { // Grants executed late are not checked.
                    check_no_running_requests(a);
                    check_token(a);
                }
                return ok;
            },
            [](const simulated_server&) { return milliseconds{0}; },
            [this, a](key_coordinator& c, order_outcome o) { c.grant_ended(a.order, o, m_now); });
    }
    void execute(std::size_t i, const send_release& a) {
        send_order(
            i, a,
            [a](simulated_server& h, time_point) {
                h.release(a);
                return true;
            },
            // The release that withdraws the keys is answered once their requests have ended. A further
            // release finds no hold and is answered at once.
            [this, a](const simulated_server& h) {
                const bool held = std::any_of(h.holds.begin(), h.holds.end(), [&](const auto& x) {
                    return x.from <= a.last && a.from <= x.to && m_now < x.until;
                });
                const auto ends = h.last_request_end(a.from, a.last);
                return held && ends > m_now
                           ? std::chrono::duration_cast<milliseconds>(ends - m_now) + milliseconds{1}
                           : milliseconds{0};
            },
            [this, a](key_coordinator& c, order_outcome o) { c.release_ended(a.order, o, "h", m_now); });
    }

    std::optional<shard_key> find_key_without_holder() const {
        std::vector<bool> held(key_count);
        for (const auto& [id, h] : m_running_servers) {
            for (const auto& x : h.holds) {
                if (m_now < x.until) {
                    std::fill(held.begin() + x.from, held.begin() + x.to + 1, true);
                }
            }
        }
        const auto found = std::find(held.begin(), held.end(), false);
        return found == held.end() ? std::nullopt
                                   : std::optional(static_cast<shard_key>(found - held.begin()));
    }

    std::optional<shard_key> find_double_hold() {
        std::vector<std::tuple<shard_key, shard_key, incarnation>> all;
        for (const auto& [id, h] : m_running_servers) {
            for (const auto& x : h.holds) {
                if (m_now < x.until) {
                    all.emplace_back(x.from, x.to, id);
                }
            }
        }
        m_ever_held = m_ever_held || !all.empty();
        std::sort(all.begin(), all.end());
        for (std::size_t k = 1; k < all.size(); ++k) {
            for (std::size_t j = 0; j < k; ++j) {
                if (std::get<0>(all[k]) <= std::get<1>(all[j]) &&
                    std::get<2>(all[k]) != std::get<2>(all[j])) {
                    return std::get<0>(all[k]);
                }
            }
        }
        return std::nullopt;
    }

    std::mt19937_64 m_random;
    bool m_cuts_refuse; // Connections into a partition are refused instead of timing out.
    bool m_replaces_servers;
    bool m_changes_owner_regions;
    bool m_evacuates;
    bool m_loses_table_writes;
    bool m_calm = false; // No further faults.
    std::set<std::string> m_evacuated;
    residency::region_limit m_owner_regions; // Of the manifest in force.
    std::map<std::string, std::string> m_regions{{"d0", "r0"}, {"d1", "r1"}, {"d2", "r2"}};
    std::size_t m_steps_inside = 0;
    time_point m_now = simulation_start;
    std::multimap<time_point, event> m_events;
    std::vector<std::unique_ptr<key_coordinator>> m_coordinators;
    std::vector<time_point> m_paused_until;
    std::vector<time_point> m_next_directory_update;
    std::map<std::string, backend> m_listed;
    std::map<std::string, backend> m_other_service;                  // Listed servers of another service.
    std::map<incarnation, simulated_server> m_running_servers;       // Running processes.
    std::map<std::pair<std::size_t, std::string>, time_point> m_cut; // By coordinator and server.
    std::int64_t m_last_incarnation = 0;
    std::vector<time_point> m_store_fault_until;
    struct store_content {
        std::uint64_t revision = 0;
        std::optional<tenure_record> tenure;
        std::uint64_t tenure_revision = 0;
        std::optional<key_table> table;
        std::uint64_t table_revision = 0;
    };
    store_content m_store;
    std::vector<std::pair<time_point, store_content>> m_copies{{simulation_start, {}}}; // After each write.
    store::epoch m_epoch;
    time_point m_store_away_until = simulation_start;
    bool m_restores_store;
    coordinator_settings m_settings;
    std::vector<int> m_lives; // Of each coordinator.
    std::map<shard_key, std::pair<std::uint64_t, incarnation>> m_highest_tokens;
    bool m_ever_held = false;
    std::optional<shard_key> m_granted_during_work;
    std::optional<shard_key> m_granted_by_used_token;
};

inline constexpr seconds simulation_length{40};

/// First seed up to `max_seed` whose simulation finds two owners; 0 if none does.
inline std::uint64_t first_violation(const simulation_options& options, std::uint64_t max_seed) {
    for (std::uint64_t seed = 1; seed <= max_seed; ++seed) {
        if (simulation(seed, options).run(simulation_length)) {
            return seed;
        }
    }
    return 0;
}

} // namespace balsampost::core::ownership_walk
