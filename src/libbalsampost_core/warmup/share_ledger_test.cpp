// Guards against more requests at a cold server than it bears: from all instances together, in any second,
// whatever happens to instances, links and publishers. The walks play a fleet with a relay in virtual time.
#include "balsampost/core/warmup/share_distributor.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <random>

namespace balsampost::core::warmup {

namespace {

using std::chrono::seconds;

constexpr time_point begin{seconds{100}};
constexpr milliseconds step{5};
constexpr milliseconds length{25'000};
/// How much longer than the next one a request may be under way; the spacing allows for 78 ms.
constexpr int max_held_up_ms = 70;
constexpr double rate = 4.9;
constexpr double max_in_second = rate * 1.5 + 8;
const incarnation cold_server_id{"x", 1};

/// A fleet of publishers, a relay with members and other instances, all of which send as often as they may.
class fleet {
public:
    fleet(std::uint64_t seed, ledger_settings rules) : m_random(seed), m_rules(rules) {
        for (std::size_t i = 0; i < names; ++i) {
            m_nodes.push_back(std::make_unique<node>());
            m_nodes[i]->rate = 0.98 + 0.04 * fraction();
            m_nodes[i]->offset = milliseconds{pick(0, 100'000)};
            start(i);
        }
        service s;
        s.name = "s";
        s.warmup_per_s = rate;
        m_services["s"] = s;
        m_listed["x"].self = cold_server_id;
        m_listed["x"].service = "s";
        m_listed["x"].warmup_left = milliseconds{600'000};
    }

    /// Returns the most arrivals in any sliding second.
    std::size_t run() {
        for (m_now = begin; m_now < begin + length; m_now += step) {
            change_fleet();
            deliver();
            for (std::size_t i = 0; i < names; ++i) {
                act(i);
            }
        }
        std::sort(m_arrivals.begin(), m_arrivals.end());
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < m_arrivals.size(); ++last) {
            while (m_arrivals[last] - m_arrivals[first] > seconds{1}) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }
    std::size_t arrivals() const { return m_arrivals.size(); }

private:
    static constexpr std::size_t names = 12;
    static constexpr std::size_t relay = 8; // The instances behind it are its members, by turns.

    struct node {
        double rate = 1;
        milliseconds offset{0};
        std::unique_ptr<cold_servers> cold;
        std::unique_ptr<share_distributor> shares;
        struct reporter {
            time_point reported_at{};
            time_point sent{}; // By the reporter's clock.
            std::uint32_t members = 0;
        };
        std::map<std::size_t, reporter> reporters;
        time_point report_at{};
        time_point cut_until{};
    };
    struct message {
        time_point arrives{};
        std::size_t from = 0;
        std::size_t to = 0;
        time_point sent{}; // Of the report, by the clock of its sender.
        bool report = false;
        std::vector<share> shares;
    };

    int pick(int from, int to) { return std::uniform_int_distribution<int>(from, to)(m_random); }
    double fraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    time_point clock(const node& n) const {
        return time_point{} + n.offset +
               std::chrono::duration_cast<duration>((m_now - time_point{}) * n.rate);
    }
    static std::string name(std::size_t i) { return "i" + std::to_string(i); }

    void start(std::size_t i) {
        auto& n = *m_nodes[i];
        m_now = std::max(m_now, begin);
        const auto started = clock(n);
        n.shares.reset();
        n.reporters.clear();
        n.cold = std::make_unique<cold_servers>(name(i));
        n.shares = std::make_unique<share_distributor>(candidate{name(i), i < 4 ? "d" : "e", 0}, *n.cold,
                                                       started, m_rules);
        n.report_at = m_now;
    }

    void change_fleet() {
        if (m_now >= m_publisher_changes_at) {
            m_publisher = static_cast<std::size_t>(pick(0, 2));
            ++m_term;
            m_publisher_changes_at = m_now + milliseconds{pick(300, 9'000)};
        }
        if (pick(0, 199) == 0) { // A restart.
            start(static_cast<std::size_t>(pick(0, names - 1)));
        }
        if (pick(0, 149) == 0) {
            m_nodes[static_cast<std::size_t>(pick(0, names - 1))]->cut_until =
                m_now + milliseconds{pick(100, 6'000)};
        }
        if (pick(0, 399) == 0) { // The members change their relay for a while.
            m_members_report_directly = !m_members_report_directly;
        }
    }

    std::size_t parent(std::size_t i) const {
        return i > relay && !m_members_report_directly ? relay : m_publisher;
    }

    void send(message m) {
        if (m_now < m_nodes[m.from]->cut_until || pick(0, 9) == 0) {
            return;
        }
        m.arrives = m_now + milliseconds{pick(0, 9) == 0 ? pick(50, 4'000) : pick(1, 40)};
        m_messages.push_back(std::move(m));
    }

    void deliver() {
        std::vector<message> due;
        std::erase_if(m_messages, [&](const message& m) {
            if (m.arrives <= m_now) {
                due.push_back(m);
                return true;
            }
            return false;
        });
        for (const auto& m : due) {
            auto& n = *m_nodes[m.to];
            const auto at = clock(n);
            if (!m.report) {
                n.shares->receive(m.shares, m.sent, at);
                continue;
            }
            n.reporters[m.from] = {at, m.sent, m.from == relay ? 3U : 0U};
            tell(m.to, m.from);
        }
    }

    void tell(std::size_t from, std::size_t to) {
        auto& n = *m_nodes[from];
        set_role(from);
        const auto& r = n.reporters.at(to);
        message answer;
        answer.from = from;
        answer.to = to;
        answer.sent = r.sent;
        answer.shares = n.shares->shares_for(name(to), r.reported_at, clock(n));
        send(std::move(answer));
    }

    void set_role(std::size_t i) {
        auto& n = *m_nodes[i];
        const auto at = clock(n);
        std::vector<candidate> reporters;
        for (const auto& [from, r] : n.reporters) {
            if (r.reported_at + milliseconds{2'500} > at) {
                reporters.push_back({name(from), from < 4 ? "d" : "e", r.members});
            }
        }
        n.shares->set_reporters(std::move(reporters));
        if (i == m_publisher) {
            n.shares->publish({{cold_server_id, "d", divide_rate(rate, max_in_second)}}, m_term, at);
        } else {
            n.shares->follow(at);
        }
    }

    void act(std::size_t i) {
        auto& n = *m_nodes[i];
        const auto at = clock(n);
        if (m_now >= n.report_at) {
            n.report_at = m_now + milliseconds{pick(200, 600)};
            set_role(i);
            n.cold->update(m_listed, m_services, at);
            if (i != m_publisher) {
                message report;
                report.from = i;
                report.to = parent(i);
                report.sent = at;
                report.report = true;
                send(std::move(report));
            }
            for (const auto& [to, r] : n.reporters) {
                if (r.reported_at + milliseconds{2'500} > at) {
                    tell(i, to);
                }
            }
        }
        if (n.cold->cold(cold_server_id, at) && n.cold->may_send(cold_server_id, at)) {
            n.cold->sent(cold_server_id, at);
            m_arrivals.push_back(m_now + milliseconds{pick(0, max_held_up_ms)});
        }
    }

    std::mt19937_64 m_random;
    ledger_settings m_rules;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::map<std::string, service> m_services;
    std::map<std::string, backend> m_listed;
    std::vector<message> m_messages;
    std::vector<time_point> m_arrivals;
    time_point m_now = begin;
    time_point m_publisher_changes_at{};
    std::size_t m_publisher = 0;
    std::uint64_t m_term = 0;
    bool m_members_report_directly = false;
};

std::size_t most_over_seeds(ledger_settings rules, std::uint64_t seeds) {
    std::size_t most = 0;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        most = std::max(most, fleet(seed, rules).run());
    }
    return most;
}

const share_limit limit_of_five{cold_server_id, "d", {5, milliseconds{1'100}}};

} // namespace

class share_ledger_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(share_ledger_test);
    CPPUNIT_TEST(rate_is_divided_within_the_limit);
    CPPUNIT_TEST(a_share_moves_only_after_it_has_expired);
    CPPUNIT_TEST(instances_near_the_server_come_first);
    CPPUNIT_TEST(relay_hands_out_no_more_and_no_longer_than_its_share);
    CPPUNIT_TEST(restarted_relay_waits_for_the_shares_of_its_predecessor);
    CPPUNIT_TEST(no_second_has_more_requests_than_units);
    CPPUNIT_TEST(giving_a_share_away_early_exceeds_the_rate);
    CPPUNIT_TEST(a_publisher_that_does_not_wait_exceeds_the_rate);
    CPPUNIT_TEST_SUITE_END();

    void rate_is_divided_within_the_limit() {
        const auto plan = divide_rate(rate, max_in_second);
        CPPUNIT_ASSERT_EQUAL(5U, plan.units);
        CPPUNIT_ASSERT(plan.spacing == milliseconds{1'100});
        CPPUNIT_ASSERT_EQUAL(2U, divide_rate(100, 5).units); // The bound is far below the rate.
        const auto slow = divide_rate(0.25, 8.375);
        CPPUNIT_ASSERT(slow.units == 1 && slow.spacing == milliseconds{4'000});
        for (const double none : {0.0, -1.0, std::nan(""), 1e-9}) {
            CPPUNIT_ASSERT_EQUAL(0U, divide_rate(none, 8).units);
        }
        CPPUNIT_ASSERT_EQUAL(0U, divide_rate(5, 0.5).units);
    }

    // The former holder may use its share until it ends by a slow clock, and its last request may still be
    // under way then.
    void a_share_moves_only_after_it_has_expired() {
        share_ledger ledger;
        ledger.set_limits({limit_of_five});
        ledger.set_candidates({{"a", "d", 0}});
        CPPUNIT_ASSERT_EQUAL(5U, ledger.grant("a", begin, begin).at(0).units);
        ledger.set_candidates({{"b", "d", 0}});
        auto now = begin;
        for (; ledger.grant("b", now, now).empty(); now += milliseconds{1}) {
        }
        CPPUNIT_ASSERT(now - begin >= milliseconds{2'000 * 102 / 98 + 1'100});
        CPPUNIT_ASSERT(now - begin <= milliseconds{3'200});
        CPPUNIT_ASSERT(ledger.grant("a", now, now).empty());
        // A share that answers an old report ends as early as the report demands, and renews nothing.
        CPPUNIT_ASSERT(ledger.grant("b", now, now + milliseconds{2'001}).empty());
    }

    void instances_near_the_server_come_first() {
        std::vector<candidate> fleet;
        for (int i = 0; i < 40; ++i) {
            fleet.push_back({"i" + std::to_string(i), i % 4 == 0 ? "d" : "e", 0});
        }
        std::set<std::string> holders;
        for (int turn = 0; turn < 2; ++turn) { // The order in which instances report makes no difference.
            share_ledger ledger;
            ledger.set_limits({limit_of_five});
            ledger.set_candidates(fleet);
            std::set<std::string> found;
            for (const auto& c : fleet) {
                if (!ledger.grant(c.instance, begin, begin).empty()) {
                    CPPUNIT_ASSERT_EQUAL(std::string("d"), c.failure_domain);
                    found.insert(c.instance);
                }
            }
            CPPUNIT_ASSERT(found.size() == 5 && (turn == 0 || found == holders));
            holders = found;
            std::reverse(fleet.begin(), fleet.end());
        }
        // With more units than instances, all are handed out, to relays by the number of their members.
        share_ledger ledger;
        ledger.set_limits({{cold_server_id, "d", {50, milliseconds{1'100}}}});
        ledger.set_candidates({{"a", "d", 0}, {"r", "e", 3}});
        CPPUNIT_ASSERT_EQUAL(10U, ledger.grant("a", begin, begin).at(0).units);
        CPPUNIT_ASSERT_EQUAL(40U, ledger.grant("r", begin, begin).at(0).units);
    }

    void relay_hands_out_no_more_and_no_longer_than_its_share() {
        cold_servers cold("r");
        share_distributor relay({"r", "d", 0}, cold, never);
        relay.set_reporters({{"m1", "d", 0}, {"m2", "d", 0}});
        relay.receive({{cold_server_id, 3, milliseconds{1'100}, milliseconds{2'000}}}, begin, begin);
        for (const auto* member : {"m1", "m2"}) {
            const auto now = begin + milliseconds{800};
            const auto shares = relay.shares_for(member, now, now);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shares.size());
            CPPUNIT_ASSERT_EQUAL(1U, shares[0].units);
            CPPUNIT_ASSERT(shares[0].lifetime <= milliseconds{1'153}); // 1.2 s by the slowest clock.
        }
        CPPUNIT_ASSERT(relay.shares_for("m3", begin, begin).empty());
        const auto end = begin + milliseconds{2'000};
        CPPUNIT_ASSERT(relay.shares_for("m1", end, end).empty());
    }

    void no_second_has_more_requests_than_units() {
        const bool holds = rc::check("requests of all instances in any second", [](std::uint64_t seed) {
            fleet f(seed, {});
            const auto most = f.run();
            RC_ASSERT(most <= divide_rate(rate, max_in_second).units);
            RC_ASSERT(f.arrivals() > 0U);
        });
        CPPUNIT_ASSERT(holds);
    }

    // A relay that starts again does not know what its predecessor has handed out. Found by a walk.
    void restarted_relay_waits_for_the_shares_of_its_predecessor() {
        cold_servers cold("r");
        share_distributor relay({"r", "d", 0}, cold, begin);
        relay.set_reporters({{"m1", "d", 0}});
        const std::vector<share> given{{cold_server_id, 3, milliseconds{1'100}, milliseconds{2'000}}};
        const auto soon = begin + milliseconds{3'000};
        relay.receive(given, soon, soon);
        CPPUNIT_ASSERT(relay.shares_for("m1", soon, soon).empty());
        const auto later = begin + milliseconds{3'200};
        relay.receive(given, later, later);
        CPPUNIT_ASSERT(!relay.shares_for("m1", later, later).empty());
    }

    void giving_a_share_away_early_exceeds_the_rate() {
        ledger_settings early;
        early.wait_for_expiry = false;
        const auto most = most_over_seeds(early, 60);
        std::cout << " most with shares given away early: " << most;
        CPPUNIT_ASSERT(most > divide_rate(rate, max_in_second).units);
    }

    void a_publisher_that_does_not_wait_exceeds_the_rate() {
        ledger_settings hasty;
        hasty.wait_after_takeover = false;
        const auto most = most_over_seeds(hasty, 60);
        std::cout << " most without the wait of a new publisher: " << most;
        CPPUNIT_ASSERT(most > divide_rate(rate, max_in_second).units);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(share_ledger_test);

} // namespace balsampost::core::warmup
