// Moves of keys out of evacuated failure domains, by a coordinator with a simulated store and servers. Guards
// against keys that stay behind, quiet keys that move before busy ones, keys that are taken from their owners
// long before their move can begin, grants that expire meanwhile, and moves after a withdrawal.
#include "balsampost/core/key_coordinator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace balsampost::core::evacuation {

namespace {

using std::chrono::seconds;

constexpr time_point start{seconds{1'000}};

/// Answers all calls at once, except releases of servers in `slow_domains`, which stay open until
/// `answer_slow`.
struct world {
    explicit world(int servers_per_domain, const std::vector<std::string>& domains = {"a", "b", "c"}) {
        for (const auto& domain : domains) {
            for (int i = 0; i < servers_per_domain; ++i) {
                backend b;
                b.self = {domain + std::to_string(i), 1};
                b.service = "beds";
                b.failure_domain = domain;
                b.address = {"10.0.0.1", static_cast<std::uint16_t>(8'000 + servers.size())};
                b.slots = 6;
                servers.push_back(b);
            }
        }
        std::vector<const backend*> listed;
        for (const auto& b : servers) {
            listed.push_back(&b);
        }
        c.update_servers(listed, now);
    }

    static std::string domain_of(const incarnation& server) { return server.id.substr(0, 1); }
    void handle(const read_tenure&) { c.tenure_read(tenure_revision, tenure, now); }
    void handle(const write_tenure& a) {
        tenure = a.record;
        c.tenure_written(write_outcome::done, ++tenure_revision, now, now);
    }
    void handle(const read_table&) { c.table_read(table_revision, std::nullopt, now); }
    void handle(const write_table& a) {
        ++table_writes;
        c.table_written(write_outcome::done, ++table_revision, now);
        (void)a;
    }
    void handle(const probe_server& a) { c.probe_ended(a.to, true, now); }
    void handle(const send_grant& a) {
        last_grant[a.to] = now;
        handovers += a.handover.empty() ? 0 : 1;
        c.grant_ended(a.order, order_outcome::done, now);
    }
    void handle(const send_release& a) {
        releases.push_back(a);
        if (slow_domains.contains(domain_of(a.to))) {
            open.push_back(a);
        } else {
            c.release_ended(a.order, order_outcome::done, "h", now);
        }
        max_open = std::max(max_open, open.size());
    }
    void answer_slow(std::size_t count) {
        for (std::size_t i = 0; i < count && !open.empty(); ++i) {
            const auto a = open.front();
            open.erase(open.begin());
            c.release_ended(a.order, order_outcome::done, "h", now);
        }
    }
    void run(milliseconds length) {
        for (const auto end = now + length; now < end; now += milliseconds{10}) {
            for (int round = 0; round < 20; ++round) {
                const auto actions = c.step(now);
                for (const auto& action : actions) {
                    std::visit([this](const auto& a) { handle(a); }, action);
                }
                if (actions.empty()) {
                    break;
                }
            }
        }
    }
    /// Ranges that servers in `domain` own.
    std::size_t owned_in(const std::string& domain) const {
        const auto& ranges = c.effective_table().ranges;
        return static_cast<std::size_t>(std::count_if(
            ranges.begin(), ranges.end(), [&](const key_range& r) { return domain_of(r.owner) == domain; }));
    }
    std::size_t moving() const {
        const auto& ranges = c.effective_table().ranges;
        return static_cast<std::size_t>(
            std::count_if(ranges.begin(), ranges.end(), [](const key_range& r) { return r.moving(); }));
    }

    time_point now = start;
    std::vector<backend> servers;
    key_coordinator c{{}, "beds", "i@1", {"10.0.0.9", 7'000}, start};
    std::optional<tenure_record> tenure;
    std::uint64_t tenure_revision = 0;
    std::uint64_t table_revision = 0;
    std::size_t table_writes = 0;
    std::map<incarnation, time_point> last_grant;
    std::size_t handovers = 0;
    std::vector<send_release> releases;
    std::vector<send_release> open;
    std::size_t max_open = 0;
    std::set<std::string> slow_domains;
};

} // namespace

class key_evacuation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(key_evacuation_test);
    CPPUNIT_TEST(keys_leave_with_their_handover);
    CPPUNIT_TEST(two_domains_are_evacuated_at_once);
    CPPUNIT_TEST(keys_stay_if_no_other_server_is_left);
    CPPUNIT_TEST(busiest_ranges_move_first_and_the_others_are_served_meanwhile);
    CPPUNIT_TEST(slow_releases_do_not_hold_up_the_rest);
    CPPUNIT_TEST(a_withdrawal_ends_the_planning);
    CPPUNIT_TEST_SUITE_END();

    void keys_leave_with_their_handover() {
        world w(4);
        w.run(seconds{3});
        const auto before = w.owned_in("a");
        CPPUNIT_ASSERT(before > 0 && w.owned_in("b") > 0);
        w.c.update_evacuations({"a"}, w.now);
        w.run(seconds{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, w.owned_in("a"));
        CPPUNIT_ASSERT(!w.c.has_keys_in("a") && w.c.has_keys_in("b"));
        CPPUNIT_ASSERT(w.handovers >= before);
        const auto moved_at = w.now;
        w.run(seconds{10});
        CPPUNIT_ASSERT(w.owned_in("a") == 0);
        for (const auto& [server, at] : w.last_grant) {
            CPPUNIT_ASSERT_MESSAGE("no grant to an evacuated server",
                                   world::domain_of(server) != "a" || at < moved_at);
        }
        w.c.update_evacuations({}, w.now);
        w.run(seconds{10});
        CPPUNIT_ASSERT_MESSAGE("servers that return own keys again", w.owned_in("a") > 0);
    }

    void two_domains_are_evacuated_at_once() {
        for (const bool second_later : {false, true}) {
            world w(4);
            w.run(seconds{3});
            w.slow_domains = {"a"};
            w.c.update_evacuations(
                second_later ? std::set<std::string>{"a"} : std::set<std::string>{"a", "b"}, w.now);
            w.run(milliseconds{100});
            w.c.update_evacuations({"a", "b"}, w.now);
            w.run(milliseconds{300});
            w.slow_domains.clear();
            w.answer_slow(1'000);
            w.run(seconds{2});
            CPPUNIT_ASSERT(!w.c.has_keys_in("a") && !w.c.has_keys_in("b"));
        }
    }

    /// Otherwise a cell with all its domains evacuated would move keys in circles, or release what no other
    /// server can be granted.
    void keys_stay_if_no_other_server_is_left() {
        world w(4, {"a", "b"});
        w.run(seconds{3});
        const auto before = w.c.effective_table().ranges;
        w.c.update_evacuations({"a", "b"}, w.now);
        w.run(seconds{5});
        CPPUNIT_ASSERT(w.releases.empty() && w.c.effective_table().ranges == before);
        for (const auto& [server, at] : w.last_grant) {
            CPPUNIT_ASSERT_MESSAGE("grants are renewed", w.now - at < seconds{2});
        }
        w.c.update_evacuations({"a"}, w.now);
        w.run(seconds{2});
        CPPUNIT_ASSERT(w.owned_in("a") == 0);
    }

    void busiest_ranges_move_first_and_the_others_are_served_meanwhile() {
        world w(60, {"a", "b"});
        w.run(seconds{3});
        // The last ranges in the order of the keys are the busiest ones.
        std::vector<key_range> owned;
        for (const auto& r : w.c.effective_table().ranges) {
            if (world::domain_of(r.owner) == "a") {
                owned.push_back(r);
            }
        }
        CPPUNIT_ASSERT(owned.size() >= 60);
        for (int i = 0; i < 10; ++i) {
            key_report report;
            for (std::size_t k = 0; k < owned.size(); ++k) {
                report.keys.emplace_back(owned[k].from,
                                         static_cast<std::uint32_t>(k < owned.size() - 8 ? 1 : 3));
            }
            w.c.report(report, w.now);
            w.run(milliseconds{100});
        }
        w.slow_domains = {"a"};
        const auto writes = w.table_writes;
        const auto began = w.now;
        w.c.update_evacuations({"a"}, w.now);
        w.run(milliseconds{50});
        const key_evacuation_settings limits;
        CPPUNIT_ASSERT_MESSAGE("the other ranges stay with their owners",
                               w.owned_in("a") >= owned.size() - limits.max_moving);
        CPPUNIT_ASSERT(!w.releases.empty());
        for (std::size_t k = owned.size() - 8; k < owned.size(); ++k) {
            CPPUNIT_ASSERT_MESSAGE("a busy range is in the first batch",
                                   world::domain_of(w.c.effective_table().find(owned[k].from)->owner) == "b");
        }
        const auto is_busy = [&](const send_release& r) { return r.from >= owned[owned.size() - 8].from; };
        CPPUNIT_ASSERT_MESSAGE("releases begin with the busiest range", is_busy(w.releases.front()));
        // Each release takes a while; the grants of all servers are renewed meanwhile.
        while (w.now < began + seconds{3} && w.c.has_keys_in("a")) {
            w.answer_slow(6);
            w.run(milliseconds{50});
            for (const auto& [server, at] : w.last_grant) {
                CPPUNIT_ASSERT(world::domain_of(server) == "a" || w.now - at < seconds{2});
            }
        }
        CPPUNIT_ASSERT_MESSAGE("all keys have left within 75% of the default bound", !w.c.has_keys_in("a"));
        CPPUNIT_ASSERT_MESSAGE("a batch is one write, with few writes of completed moves",
                               w.table_writes - writes <= 12);
        CPPUNIT_ASSERT(w.max_open <= coordinator_settings{}.max_orders / 2);
    }

    /// Guards against keys without a server at the end of the bound because releases of others take long.
    void slow_releases_do_not_hold_up_the_rest() {
        world w(60, {"a", "b"});
        w.run(seconds{3});
        w.slow_domains = {"a"};
        const auto before = w.owned_in("a");
        w.c.update_evacuations({"a"}, w.now);
        w.run(milliseconds{1'500});
        CPPUNIT_ASSERT(w.owned_in("a") > 0 && w.owned_in("a") < before);
        w.run(milliseconds{800});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, w.owned_in("a"));
    }

    void a_withdrawal_ends_the_planning() {
        world w(60, {"a", "b"});
        w.run(seconds{3});
        w.slow_domains = {"a"};
        w.c.update_evacuations({"a"}, w.now);
        w.run(milliseconds{50});
        std::vector<key_range> left;
        for (const auto& r : w.c.effective_table().ranges) {
            if (world::domain_of(r.owner) == "a") {
                left.push_back(r);
            }
        }
        CPPUNIT_ASSERT(!left.empty() && w.moving() > 0);
        w.c.update_evacuations({}, w.now);
        w.run(milliseconds{100});
        w.answer_slow(1'000);
        w.slow_domains.clear();
        w.run(seconds{3});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the moves that were committed are completed", std::size_t{0},
                                     w.moving());
        for (const auto& r : left) {
            CPPUNIT_ASSERT_MESSAGE("no others are planned",
                                   w.c.effective_table().find(r.from)->owner == r.owner);
        }
        CPPUNIT_ASSERT_MESSAGE("the servers without keys get some again", w.owned_in("a") > left.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_evacuation_test);

} // namespace balsampost::core::evacuation
