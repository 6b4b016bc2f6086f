// Tests of exclusive ownership: random walks of a coordinator, two homes and two servers of one slice, with
// lost and late messages, pauses, broken links, server outages and takeovers of the coordinator; and single
// steps of the coordinator.
#include "balsampost/core/cell_coordinator.h"
#include "balsampost/core/home_agent.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <iostream>
#include <optional>
#include <random>

namespace balsampost::core {

namespace {

constexpr std::size_t home_count = 2;
constexpr std::size_t server_count = 2;
constexpr duration step_length = milliseconds(25);

profile no_drift_profile() {
    profile p;
    p.drift_percent = 0;
    p.churn_per_minute = 100'000;
    return p;
}

std::string server_name(std::size_t s) {
    return "s" + std::to_string(s);
}
instance_id home_id(std::size_t h) {
    return {"h" + std::to_string(h), 1};
}

/// Long leases and a short suspect timeout, so that the wait required by one rule does not mask the lack of
/// another.
profile short_suspicion_profile() {
    profile p = no_drift_profile();
    p.suspect_timeout = milliseconds(200);
    p.lease_length = milliseconds(700);
    p.lease_margin = milliseconds(600);
    return p;
}

/// A server that checks only the end of a lease, the minimum that docs/SERVERS.md requires.
struct fake_server {
    time_point until = never;
    std::uint64_t list_version = 0;
    std::string granter;
    std::set<std::uint32_t> owned;
    bool down = false;

    lease_answer apply(const lease_order& order, const std::string& from, time_point now) {
        const time_point end{duration(order.until_ns)};
        if (end > now && order.with_list) {
            owned.clear();
            for (const auto& slice : order.slices) {
                owned.insert(slice.slice);
            }
            granter = from;
            list_version = order.list_version;
        }
        if (end > now && granter == from && list_version == order.list_version) {
            until = end;
        }
        return {true, now.time_since_epoch().count(), granter == from ? list_version : 0, 0};
    }
    bool owns(std::uint32_t slice, time_point now) const { return now < until && owned.count(slice) != 0; }
};

struct delayed_order {
    std::size_t home;
    std::size_t server;
    lease_order order;
    time_point sent;
};

/// One random walk. All random choices come from one seeded engine, so a seed reproduces its walk.
class random_walk {
public:
    random_walk(std::uint64_t seed, coordinator_rules c, home_rules h)
        : m_random(seed), m_rules(c), m_coordinator({"svc", 0}, {"c1", 1}, short_suspicion_profile(), c) {
        for (std::size_t i = 0; i < home_count; ++i) {
            m_homes.emplace_back(cell_id{"svc", 0}, home_id(i), short_suspicion_profile(), h);
        }
        for (std::size_t i = 0; i < server_count; ++i) {
            m_view.servers.push_back({server_name(i), "svc", "r", "d", "127.0.0.1", 1, member_state::live});
        }
        for (std::size_t i = 0; i < home_count; ++i) {
            m_view.homes.push_back({home_id(i), "r", "d" + std::to_string(i), false});
        }
        m_view.regions = {"r"};
        m_coordinator.begin(empty_table(0, 1, 1), 1, m_now);
        commit();
    }

    /// Returns false as soon as two servers own the slice at the same time.
    bool run(int steps) {
        for (int i = 0; i < steps; ++i) {
            m_now += step_length;
            take_step();
            std::size_t owners = 0;
            for (const auto& server : m_servers) {
                owners += server.owns(0, m_now) ? 1 : 0;
            }
            m_owned_steps += owners > 0 ? 1 : 0;
            if (owners > 1) {
                return false;
            }
        }
        return true;
    }
    int owned_steps() const { return m_owned_steps; }
    std::uint64_t moves() const { return m_moves_before + m_coordinator.moves_total(); }

private:
    bool chance(unsigned percent) { return m_random() % 100 < percent; }
    /// End of the coordinator's authority. A coordinator about to be replaced gets no further promise, and
    /// its successor waits for the last one to expire.
    time_point authority() const { return m_authority_ends.value_or(m_now + milliseconds(300)); }

    void commit() {
        if (m_coordinator.proposal()) {
            m_coordinator.committed(m_coordinator.proposal()->version);
        }
    }

    void take_step() {
        if (chance(2)) { // One home pauses or resumes.
            m_home_paused[m_random() % home_count] ^= true;
        }
        if (chance(3)) { // The link between a home and the coordinator breaks or recovers.
            m_coordinator_link_cut[m_random() % home_count] ^= true;
        }
        if (chance(3)) { // The link between a home and a server breaks or recovers.
            m_server_link_cut[m_random() % home_count][m_random() % server_count] ^= true;
        }
        if (chance(1)) {
            auto& server = m_servers[m_random() % server_count];
            server.down = !server.down;
        }
        if (chance(1) && !m_authority_ends) {
            m_authority_ends = authority();
        }
        if (m_authority_ends && m_now >= *m_authority_ends) {
            take_over();
        }
        if (chance(2)) {
            m_coordinator.request_move(0, server_name(m_random() % server_count));
        }
        m_coordinator.propose(m_view, m_now);
        if (chance(70)) {
            commit();
        }
        for (std::size_t h = 0; h < home_count; ++h) {
            if (!m_home_paused[h]) {
                step_home(h);
            }
        }
        deliver_delayed_orders();
    }

    /// Replaces the coordinator by a new instance.
    void take_over() {
        m_authority_ends.reset();
        const auto inherited = m_coordinator.table();
        m_moves_before += m_coordinator.moves_total();
        m_coordinator.end();
        m_coordinator = cell_coordinator({"svc", 0}, {"c" + std::to_string(++m_term), 1},
                                         short_suspicion_profile(), m_rules);
        m_coordinator.begin(inherited, m_term, m_now);
    }

    void step_home(std::size_t h) {
        auto& home = m_homes[h];
        if (chance(40)) {
            home.learn_table(m_coordinator.table(), m_now);
        }
        home.tick(m_now);
        if (home.is_home() && !m_coordinator_link_cut[h] && chance(60)) {
            const auto reply = m_coordinator.on_heartbeat(home.heartbeat(m_now), authority(), m_now);
            if (chance(80)) {
                home.on_reply(reply, m_now - (chance(30) ? step_length : duration(0)), m_now);
            }
        }
        for (const auto& homed_server : home.serving()) {
            for (const auto slice : homed_server.draining) {
                home.drained(homed_server.server, slice);
            }
        }
        for (std::size_t s = 0; s < server_count; ++s) {
            const auto order = home.order_for(server_name(s), m_now);
            if (!order) {
                continue;
            }
            if (chance(20)) { // The order arrives later; its answer is lost.
                m_delayed_orders.push_back({h, s, *order, m_now});
            } else if (m_servers[s].down || m_server_link_cut[h][s]) {
                home.on_order_failed(server_name(s), order->number);
            } else {
                const auto answer = m_servers[s].apply(*order, home_id(h).name, m_now);
                if (chance(85)) {
                    home.on_answer(server_name(s), order->number, answer, m_now, m_now);
                } else if (chance(50)) {
                    home.on_order_failed(server_name(s), order->number);
                }
            }
        }
    }

    void deliver_delayed_orders() {
        while (!m_delayed_orders.empty() && chance(15)) {
            const auto index = m_random() % m_delayed_orders.size();
            const auto late = m_delayed_orders[index];
            m_delayed_orders.erase(m_delayed_orders.begin() + static_cast<std::ptrdiff_t>(index));
            m_servers[late.server].apply(late.order, home_id(late.home).name, m_now);
        }
    }

    std::mt19937_64 m_random;
    coordinator_rules m_rules;
    time_point m_now{std::chrono::seconds(100)};
    std::uint64_t m_term = 1;
    std::optional<time_point> m_authority_ends;
    cell_view m_view;
    cell_coordinator m_coordinator;
    std::vector<home_agent> m_homes;
    std::array<fake_server, server_count> m_servers;
    std::array<bool, home_count> m_home_paused{};
    std::array<bool, home_count> m_coordinator_link_cut{};
    std::array<std::array<bool, server_count>, home_count> m_server_link_cut{};
    std::uint64_t m_moves_before = 0;
    std::vector<delayed_order> m_delayed_orders;
    int m_owned_steps = 0;
};

/// The first seed from 1 whose walk violates exclusive ownership, if any.
std::optional<std::uint64_t> violating_seed(coordinator_rules c, home_rules h, std::uint64_t seeds,
                                            int steps) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        if (!random_walk(seed, c, h).run(steps)) {
            return seed;
        }
    }
    return std::nullopt;
}

} // namespace

class ownership_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ownership_test);
    CPPUNIT_TEST(one_owner_in_every_walk);
    CPPUNIT_TEST(walks_serve_and_move_the_slice);
    CPPUNIT_TEST(walks_find_each_disabled_rule);
    CPPUNIT_TEST(lost_home_keeps_the_owner);
    CPPUNIT_TEST(replaced_home_requires_the_new_table);
    CPPUNIT_TEST(standby_that_joins_after_the_last_change_is_published);
    CPPUNIT_TEST(home_lease_outlasts_authority_by_at_most_the_margin);
    CPPUNIT_TEST_SUITE_END();

    void one_owner_in_every_walk() {
        const auto seed = violating_seed({}, {}, 1000, 2000);
        CPPUNIT_ASSERT_MESSAGE("two owners with seed " + std::to_string(seed.value_or(0)), !seed);
        std::cout << " [2000000 steps] ";
    }

    void walks_serve_and_move_the_slice() {
        // Guards one_owner_in_every_walk against walks in which the slice has no owner or never moves.
        random_walk w(7, {}, {});
        CPPUNIT_ASSERT(w.run(4000));
        CPPUNIT_ASSERT(w.owned_steps() > 400);
        CPPUNIT_ASSERT(w.moves() > 5);
    }

    void walks_find_each_disabled_rule() {
        const std::array<std::pair<const char*, bool coordinator_rules::*>, 4> coordinator_rule_members{{
            {"wait_home_lease", &coordinator_rules::wait_home_lease},
            {"wait_predecessor", &coordinator_rules::wait_predecessor},
            {"require_table", &coordinator_rules::require_table},
            {"wait_release", &coordinator_rules::wait_release},
        }};
        const std::array<std::pair<const char*, bool home_rules::*>, 2> home_rule_members{{
            {"limit_to_home_lease", &home_rules::limit_to_home_lease},
            {"never_regrant", &home_rules::never_regrant},
        }};
        for (const auto& [name, rule] : coordinator_rule_members) {
            coordinator_rules without;
            without.*rule = false;
            const auto seed = violating_seed(without, {}, 1000, 2000);
            std::cout << " [" << name << ": seed " << seed.value_or(0) << "] ";
            CPPUNIT_ASSERT_MESSAGE(name, seed);
        }
        for (const auto& [name, rule] : home_rule_members) {
            home_rules without;
            without.*rule = false;
            const auto seed = violating_seed({}, without, 1000, 2000);
            std::cout << " [" << name << ": seed " << seed.value_or(0) << "] ";
            CPPUNIT_ASSERT_MESSAGE(name, seed);
        }
    }

    /// A coordinator whose table has one server with home "h0", which has just sent a heartbeat.
    struct coordinator_with_home {
        cell_coordinator coordinator{{"svc", 0}, {"c", 1}, no_drift_profile()};
        cell_view view;
        time_point now{std::chrono::seconds(100)};

        coordinator_with_home() {
            view.servers.push_back({"s0", "svc", "r", "d0", "127.0.0.1", 1, member_state::live});
            view.homes.push_back({home_id(0), "r", "d0", false});
            view.homes.push_back({home_id(1), "r", "d1", false});
            view.regions = {"r"};
            coordinator.begin(empty_table(0, 1, 1), 1, now);
            coordinator.committed({1, 1});
            step();
            send_heartbeat();
            step();
        }
        void step() {
            now += milliseconds(1);
            if (coordinator.propose(view, now)) {
                coordinator.committed(coordinator.proposal()->version);
            }
        }
        home_reply send_heartbeat(milliseconds authority = milliseconds(300)) {
            const auto& row = coordinator.table().servers.at(0);
            home_heartbeat heartbeat{{"svc", 0}, row.home, coordinator.table().version, false, {}, {}};
            heartbeat.servers.push_back({"s0", row.home_since, true, false, {}, 0});
            return coordinator.on_heartbeat(heartbeat, now + authority, now);
        }
    };

    void lost_home_keeps_the_owner() {
        coordinator_with_home s;
        const auto before = s.coordinator.table();
        CPPUNIT_ASSERT_EQUAL(std::string("h0"), before.servers.at(0).home.name);
        CPPUNIT_ASSERT(before.slices.at(0).owner != no_server);
        s.now += milliseconds(497); // With the step before and after it, 499 ms since the heartbeat.
        s.step();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("lease of the home not yet expired", std::string("h0"),
                                     s.coordinator.table().servers.at(0).home.name);
        s.now += milliseconds(2);
        s.step();
        CPPUNIT_ASSERT_EQUAL(std::string("h1"), s.coordinator.table().servers.at(0).home.name);
        CPPUNIT_ASSERT(before.slices == s.coordinator.table().slices);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, s.coordinator.moves_total());
    }

    void replaced_home_requires_the_new_table() {
        coordinator_with_home s;
        const auto old_row = s.coordinator.table().servers.at(0);
        s.now += milliseconds(600);
        s.step();
        home_heartbeat late{{"svc", 0}, old_row.home, old_row.home_since, false, {}, {}};
        late.servers.push_back({"s0", old_row.home_since, true, true, {}, 0});
        const auto reply = s.coordinator.on_heartbeat(late, s.now + milliseconds(300), s.now);
        CPPUNIT_ASSERT(reply.authoritative);
        CPPUNIT_ASSERT(reply.table_version >= s.coordinator.table().servers.at(0).home_since);
        s.step();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a late report changes nothing", std::string("h1"),
                                     s.coordinator.table().servers.at(0).home.name);
    }

    /// Guards against a table that names no standby for as long as nothing else of the cell changes.
    void standby_that_joins_after_the_last_change_is_published() {
        coordinator_with_home s;
        const auto version = s.coordinator.table().version;
        s.step();
        CPPUNIT_ASSERT(version == s.coordinator.table().version);
        s.view.standby = home_id(1);
        s.step();
        CPPUNIT_ASSERT(s.coordinator.table().standby == home_id(1));
        CPPUNIT_ASSERT(s.coordinator.table().version > version);
        const auto joined = s.coordinator.table().version;
        s.view.standby = {};
        s.step();
        CPPUNIT_ASSERT(joined == s.coordinator.table().version);
        s.view.standby = home_id(0);
        s.step();
        CPPUNIT_ASSERT(s.coordinator.table().standby == home_id(0));
    }

    void home_lease_outlasts_authority_by_at_most_the_margin() {
        struct row {
            int authority_ms;
            bool given;
            int home_lease_ms;
        };
        for (const auto& r :
             {row{300, true, 500}, row{100, true, 350}, row{1, true, 251}, row{0, false, 0}}) {
            coordinator_with_home s;
            const auto reply = s.send_heartbeat(milliseconds(r.authority_ms));
            CPPUNIT_ASSERT_EQUAL(r.given, reply.authoritative);
            CPPUNIT_ASSERT_EQUAL(duration(milliseconds(r.home_lease_ms)).count(), reply.home_lease_ns);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ownership_test);

} // namespace balsampost::core
