// Guards against requests at a server that has said in its answers that it leaves, or that it wants none for
// some time: whatever the list says, in any order of answers, and for no longer than it said.
#include "balsampost/core/server_notices.h"

#include "balsampost/core/key_coordinator.h"
#include "balsampost/core/server_selection.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace balsampost::core {

namespace {

using std::chrono::seconds;

constexpr time_point begin{seconds{100}};
constexpr milliseconds drain{2'000};
const incarnation server{"x", 1};
const incarnation restarted{"x", 2};

backend listed(const incarnation& which, bool draining = false) {
    backend b;
    b.self = which;
    b.service = "s";
    b.failure_domain = "d";
    b.slots = 4;
    b.draining = draining;
    return b;
}

/// One instance's pool of servers, with its notices.
struct instance {
    std::shared_ptr<server_notices> notices = std::make_shared<server_notices>();
    server_pool pool{{}, "d", {{"d", "r"}}, notices};
    std::vector<backend> servers{listed(server)};
    std::mt19937_64 random{1};

    instance() { update(); }
    void update() {
        std::vector<const backend*> out;
        for (const auto& b : servers) {
            out.push_back(&b);
        }
        pool.update(out, 1'000, 1);
    }
    selection choose(time_point now) { return pool.choose({}, now, random); }
    bool serves_key(time_point now) const { return !pool.check("x", {}, now).server.empty(); }
};

const server_notice leaving_notice{true, std::nullopt};

server_notice pause_of(milliseconds pause) {
    return {false, pause};
}

} // namespace

class server_notices_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_notices_test);
    CPPUNIT_TEST(a_leaving_server_is_not_chosen_and_its_keys_end_in_time);
    CPPUNIT_TEST(a_paused_server_gets_nothing_until_the_end);
    CPPUNIT_TEST(the_word_outlasts_the_list);
    CPPUNIT_TEST(a_later_pause_never_shortens_one);
    CPPUNIT_TEST(return_after_a_pause_is_gentle);
    CPPUNIT_TEST(other_servers_are_used_meanwhile);
    CPPUNIT_TEST(memory_is_bounded);
    CPPUNIT_TEST(the_coordinator_moves_the_keys_of_a_server_that_says_it_leaves);
    CPPUNIT_TEST(both_rules_hold_in_any_order_of_events);
    CPPUNIT_TEST_SUITE_END();

    void a_leaving_server_is_not_chosen_and_its_keys_end_in_time() {
        instance i;
        CPPUNIT_ASSERT(i.choose(begin).server == "x" && i.serves_key(begin));
        CPPUNIT_ASSERT(i.notices->hear(server, leaving_notice, begin, 0).began_leaving);
        CPPUNIT_ASSERT_MESSAGE("said again",
                               !i.notices->hear(server, leaving_notice, begin + seconds{1}, 0).began_leaving);
        CPPUNIT_ASSERT(i.choose(begin).server.empty() && !i.choose(begin).paused);
        CPPUNIT_ASSERT_MESSAGE("the keys are being moved", i.serves_key(begin + milliseconds{1'400}));
        CPPUNIT_ASSERT(!i.serves_key(begin + milliseconds{1'500}));
        i.servers = {listed(server, true)}; // The list follows, later: the earlier word counts.
        i.servers[0].draining_since = begin + seconds{1};
        i.update();
        CPPUNIT_ASSERT(!i.serves_key(begin + milliseconds{1'500}));
        i.servers = {listed(restarted)};
        i.update();
        CPPUNIT_ASSERT_MESSAGE("its next life is another server", i.choose(begin + seconds{5}).server == "x");
    }

    void a_paused_server_gets_nothing_until_the_end() {
        instance i;
        const auto change = i.notices->hear(server, pause_of(seconds{3}), begin, 0);
        CPPUNIT_ASSERT(change.paused_until == begin + seconds{3});
        for (const auto at : {begin, begin + seconds{1}, begin + milliseconds{2'999}}) {
            const auto chosen = i.choose(at);
            CPPUNIT_ASSERT(chosen.server.empty() && chosen.paused &&
                           at + chosen.retry_after >= begin + seconds{3});
            const auto owner = i.pool.check("x", {}, at);
            CPPUNIT_ASSERT(owner.server.empty() && owner.paused &&
                           at + owner.retry_after == begin + seconds{3});
        }
        CPPUNIT_ASSERT(i.choose(begin + seconds{3}).server == "x" && i.serves_key(begin + seconds{3}));
        CPPUNIT_ASSERT(
            !i.notices->hear(server, pause_of(milliseconds{0}), begin + seconds{4}, 0).paused_until ||
            i.serves_key(begin + seconds{4}));
    }

    void the_word_outlasts_the_list() {
        instance i;
        i.notices->hear(server, {true, seconds{30}}, begin, 0);
        i.servers.clear(); // The entry expires in an outage of the store, and returns.
        i.update();
        i.servers = {listed(server)};
        i.update();
        CPPUNIT_ASSERT(i.choose(begin + seconds{5}).server.empty() && !i.serves_key(begin + seconds{5}));
        CPPUNIT_ASSERT(i.choose(begin + seconds{60}).server.empty());
    }

    void a_later_pause_never_shortens_one() {
        server_notices n;
        n.hear(server, pause_of(seconds{10}), begin, 0);
        CPPUNIT_ASSERT(!n.hear(server, pause_of(seconds{1}), begin + seconds{1}, 0).paused_until);
        CPPUNIT_ASSERT(n.paused(server, begin + milliseconds{9'999}) &&
                       !n.paused(server, begin + seconds{10}));
        CPPUNIT_ASSERT(n.hear(server, pause_of(seconds{5}), begin + seconds{9}, 0).paused_until ==
                       begin + seconds{14});
        CPPUNIT_ASSERT(n.hear(server, pause_of(milliseconds::max()), begin, 0).paused_until <=
                       begin + seconds{86'400});
        CPPUNIT_ASSERT(!n.hear(server, pause_of(milliseconds{-5}), begin, 0).paused_until);
    }

    /// Instances return spread over a part of the pause, each with few requests at first.
    void return_after_a_pause_is_gentle() {
        std::vector<time_point> returns;
        for (int k = 0; k <= 10; ++k) {
            server_notices n;
            n.hear(server, pause_of(seconds{5}), begin, k / 10.0);
            returns.push_back(n.resumes_at(server));
        }
        CPPUNIT_ASSERT(returns.front() == begin + seconds{5} &&
                       returns.back() == begin + milliseconds{5'500});
        CPPUNIT_ASSERT(std::is_sorted(returns.begin(), returns.end()));
        instance i;
        i.notices->hear(server, pause_of(seconds{1}), begin, 0);
        const auto in_flight_at = [&](time_point at) {
            int sent = 0;
            while (i.serves_key(at) && sent < 100) {
                i.pool.attempt_started("x", at);
                ++sent;
            }
            for (int k = 0; k < sent; ++k) {
                i.pool.attempt_abandoned("x");
            }
            return sent;
        };
        const auto first = in_flight_at(begin + seconds{1});
        const auto half = in_flight_at(begin + milliseconds{1'500});
        CPPUNIT_ASSERT_EQUAL(1, first);
        CPPUNIT_ASSERT(half > first && in_flight_at(begin + seconds{2}) > half);
    }

    void other_servers_are_used_meanwhile() {
        instance i;
        i.servers.push_back(listed({"y", 1}));
        i.update();
        i.notices->hear(server, pause_of(seconds{3}), begin, 0);
        for (int k = 0; k < 20; ++k) {
            CPPUNIT_ASSERT_EQUAL(std::string("y"), i.choose(begin + milliseconds{k * 100}).server);
        }
        i.notices->hear({"y", 1}, pause_of(seconds{2}), begin, 0);
        const auto none = i.choose(begin);
        CPPUNIT_ASSERT_MESSAGE("until the earliest end", none.paused && none.retry_after == seconds{2});
    }

    void memory_is_bounded() {
        server_notices n;
        for (int k = 0; k < 10'000; ++k) {
            n.hear({"s" + std::to_string(k), 1}, leaving_notice, begin, 0);
        }
        CPPUNIT_ASSERT_EQUAL(notice_settings{}.max_servers, n.size());
        CPPUNIT_ASSERT(n.leaving_since({"s9999", 1}) == begin && n.leaving_since({"s0", 1}) == never);
    }

    void the_coordinator_moves_the_keys_of_a_server_that_says_it_leaves() {
        key_coordinator c({}, "s", "a@1", {"127.0.0.1", 1}, begin);
        std::vector<backend> servers{listed({"x", 1}), listed({"y", 1})};
        std::uint16_t port = 10;
        for (auto& b : servers) {
            b.address = {"127.0.0.1", ++port};
        }
        std::vector<const backend*> list{&servers[0], &servers[1]};
        c.update_servers(list, begin);
        auto now = begin;
        std::uint64_t revision = 1;
        const auto run = [&](milliseconds length) {
            for (const auto until = now + length; now < until; now += milliseconds{10}) {
                for (const auto& action : c.step(now)) {
                    if (std::holds_alternative<read_tenure>(action)) {
                        c.tenure_read(0, std::nullopt, now);
                    } else if (std::holds_alternative<write_tenure>(action)) {
                        c.tenure_written(write_outcome::done, ++revision, now, now);
                    } else if (std::holds_alternative<read_table>(action)) {
                        c.table_read(0, std::nullopt, now);
                    } else if (std::holds_alternative<write_table>(action)) {
                        c.table_written(write_outcome::done, ++revision, now);
                    } else if (const auto* grant = std::get_if<send_grant>(&action)) {
                        c.grant_ended(grant->order, order_outcome::done, now);
                    } else if (const auto* release = std::get_if<send_release>(&action)) {
                        c.release_ended(release->order, order_outcome::done, "h", now);
                    }
                }
            }
        };
        const auto owned_by = [&](const std::string& id) {
            shard_key keys = 0;
            for (const auto& range : c.effective_table().ranges) {
                keys += range.owner.id == id ? range.size() : 0;
            }
            return keys;
        };
        run(seconds{4});
        CPPUNIT_ASSERT(owned_by("x") > 0 && owned_by("y") > 0);
        key_report other_life;
        other_life.leaving = {{"x", 77}, {"unknown", 1}};
        c.report(other_life, now);
        run(seconds{1});
        CPPUNIT_ASSERT_MESSAGE("the word of another life says nothing", owned_by("x") > 0);
        key_report report;
        report.leaving = {{"x", 1}};
        c.report(report, now);
        run(drain);
        CPPUNIT_ASSERT_EQUAL(shard_key{0}, owned_by("x"));
        servers[0].self.started_ms = 2; // Started anew under its id.
        c.update_servers(list, now);
        run(seconds{10});
        CPPUNIT_ASSERT(owned_by("x") > 0);
    }

    /// Random answers, changes of the list, restarts of the server, and requests; the oracle keeps what the
    /// server has said, as the rules count it.
    void both_rules_hold_in_any_order_of_events() {
        const bool held = rc::check("no request breaks a rule", [] {
            instance i;
            auto now = begin;
            std::int64_t life = 1;
            time_point said_leaving = never;
            std::vector<std::pair<time_point, time_point>> pauses;
            const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
            for (const auto event : events) {
                now += milliseconds{*rc::gen::inRange(0, 1'200)};
                const incarnation current{"x", life};
                const milliseconds pause{*rc::gen::inRange(-10, 4'000)};
                const double spread = *rc::gen::inRange(0, 11) / 10.0;
                switch (event) {
                case 0:
                    i.notices->hear(current, leaving_notice, now, spread);
                    said_leaving = said_leaving == never ? now : said_leaving;
                    break;
                case 1:
                    i.notices->hear(current, pause_of(pause), now, spread);
                    pauses.emplace_back(now, now + pause);
                    break;
                case 2: // A late answer of the earlier life.
                    i.notices->hear({"x", life - 1}, {true, pause}, now, spread);
                    break;
                case 3:
                    i.servers.clear();
                    i.update();
                    break;
                case 4:
                    i.servers = {listed(current)};
                    i.update();
                    break;
                case 5: // Listed as the earlier life, by a store that says something older.
                    i.servers = {listed({"x", life - 1})};
                    i.update();
                    break;
                case 6:
                    i.servers = {listed({"x", ++life})};
                    i.update();
                    said_leaving = never;
                    pauses.clear();
                    break;
                default:
                    break;
                }
                const bool sent = i.serves_key(now) || !i.choose(now).server.empty();
                const bool to_current = !i.servers.empty() && i.servers[0].self.started_ms == life;
                if (!sent || !to_current) {
                    continue;
                }
                RC_ASSERT(said_leaving == never || now < said_leaving + drain);
                for (const auto& [from, until] : pauses) {
                    RC_ASSERT(now < from || now >= until);
                }
            }
        });
        CPPUNIT_ASSERT(held);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_notices_test);

} // namespace balsampost::core
