// Guards against requests at a cold server without a share, against a rush at the end of a warm-up, and
// against keys planned for servers that can serve only a few requests a second.
#include "balsampost/core/warmup/cold_servers.h"

#include "balsampost/core/key_coordinator.h"
#include "balsampost/core/server_selection.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <memory>
#include <set>

namespace balsampost::core::warmup {

namespace {

using std::chrono::seconds;

constexpr time_point begin{seconds{100}};
const incarnation server{"x", 1};

/// One instance with its directory, its pool and its cold servers.
struct instance {
    std::map<std::string, service> services;
    backend_directory directory;
    std::shared_ptr<cold_servers> cold;
    server_pool pool;
    std::mt19937_64 random{1};

    explicit instance(double per_s, const std::string& name = "i")
        : cold(std::make_shared<cold_servers>(name)),
          pool({}, "d", {{"d", "r"}}, std::make_shared<const server_notices>(), cold) {
        services["s"].warmup_per_s = per_s;
        services["s"].warmup = seconds{3};
        directory.replace({}, begin - seconds{10});
    }
    static backend entry_of(const incarnation& which, std::optional<milliseconds> warmup_left) {
        backend b;
        b.self = which;
        b.service = "s";
        b.failure_domain = "d";
        b.slots = 4;
        b.warmup_stated = warmup_left.has_value();
        b.warmup_left = warmup_left.value_or(milliseconds{0});
        return b;
    }
    void list(const incarnation& which, std::optional<milliseconds> warmup_left, time_point now) {
        directory.put(entry_of(which, warmup_left), now);
        update(now);
    }
    void update(time_point now) {
        std::vector<const backend*> servers;
        for (const auto& [id, b] : directory.entries()) {
            servers.push_back(&b);
        }
        pool.update(servers, 1'000, 1);
        cold->update(directory.entries(), services, now);
    }
    bool serves(time_point now) { return !pool.choose({}, now, random).server.empty(); }
    bool serves_key(time_point now) const { return !pool.check("x", {}, now).server.empty(); }
};

share one_unit(std::uint32_t units = 1) {
    return {server, units, milliseconds{1'100}, milliseconds{2'000}};
}

} // namespace

class cold_servers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cold_servers_test);
    CPPUNIT_TEST(a_cold_server_gets_requests_by_share_only);
    CPPUNIT_TEST(a_refusal_tells_when_a_request_can_be_sent);
    CPPUNIT_TEST(services_without_a_limit_are_served_as_before);
    CPPUNIT_TEST(newly_listed_servers_count_as_cold);
    CPPUNIT_TEST(instances_return_spread_over_a_second);
    CPPUNIT_TEST(late_and_early_shares_do_not_count);
    CPPUNIT_TEST(cold_servers_get_no_keys);
    CPPUNIT_TEST(a_coordinator_assigns_cold_servers_no_keys);
    CPPUNIT_TEST_SUITE_END();

    void a_cold_server_gets_requests_by_share_only() {
        instance i(4.9);
        i.list(server, milliseconds{3'000}, begin);
        CPPUNIT_ASSERT(!i.serves(begin) && !i.serves_key(begin));
        i.cold->receive(one_unit(2), begin, begin);
        auto now = begin;
        int sent = 0;
        for (; now < begin + seconds{2}; now += milliseconds{1}) {
            CPPUNIT_ASSERT_EQUAL(i.serves(now), i.serves_key(now));
            if (i.serves(now)) {
                i.pool.attempt_started("x", now);
                i.pool.attempt_abandoned("x");
                ++sent;
            }
        }
        CPPUNIT_ASSERT_EQUAL(4, sent);  // One each 550 ms, from the first.
        CPPUNIT_ASSERT(!i.serves(now)); // The share has expired.
        CPPUNIT_ASSERT(i.serves(begin + milliseconds{4'060}));
    }

    void a_refusal_tells_when_a_request_can_be_sent() {
        instance i(4.9);
        i.list(server, milliseconds{3'000}, begin);
        const auto without = i.pool.check("x", {}, begin);
        CPPUNIT_ASSERT(without.cold && without.retry_after >= milliseconds{3'060} &&
                       without.retry_after <= milliseconds{4'060});
        CPPUNIT_ASSERT(i.pool.choose({}, begin, i.random).cold);
        i.cold->receive(one_unit(), begin, begin);
        i.pool.attempt_started("x", begin);
        i.pool.attempt_abandoned("x");
        const auto refilling = i.pool.check("x", {}, begin + milliseconds{100});
        CPPUNIT_ASSERT(refilling.cold && refilling.retry_after == milliseconds{1'001});
        CPPUNIT_ASSERT(i.serves_key(begin + milliseconds{1'101}));
        // A warm server takes the requests, whatever the cold one's share.
        i.list({"y", 1}, milliseconds{0}, begin);
        CPPUNIT_ASSERT_EQUAL(std::string("y"), i.pool.choose({}, begin + milliseconds{100}, i.random).server);
    }

    void services_without_a_limit_are_served_as_before() {
        instance i(0);
        i.list(server, milliseconds{3'000}, begin);
        for (int n = 0; n < 4; ++n) { // As many as the server has slots.
            CPPUNIT_ASSERT(i.serves(begin) && i.serves_key(begin));
            i.pool.attempt_started("x", begin);
        }
        CPPUNIT_ASSERT(!i.cold->cold(server, begin) && i.cold->list(begin).empty());
        CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::uint32_t>::max(),
                             i.cold->max_in_flight(server, 4, begin));
    }

    void newly_listed_servers_count_as_cold() {
        instance i(4.9);
        i.list(server, std::nullopt, begin);
        CPPUNIT_ASSERT(i.cold->cold(server, begin + milliseconds{3'059}));
        CPPUNIT_ASSERT(!i.cold->cold(server, begin + milliseconds{4'060}));
        i.list({"warm", 1}, milliseconds{0}, begin);
        CPPUNIT_ASSERT(!i.cold->cold({"warm", 1}, begin));
        // A server may become cold later, and warm sooner than it said.
        const auto later = begin + seconds{20};
        i.list({"warm", 1}, milliseconds{5'000}, later);
        CPPUNIT_ASSERT(i.cold->cold({"warm", 1}, later + milliseconds{5'099}));
        i.list({"warm", 1}, milliseconds{0}, later + seconds{1});
        CPPUNIT_ASSERT(!i.cold->cold({"warm", 1}, later + seconds{2}));

        instance first(4.9);
        first.directory = backend_directory();
        first.directory.replace(
            {instance::entry_of(server, std::nullopt), instance::entry_of({"y", 1}, milliseconds{1'000})},
            begin);
        first.update(begin);
        CPPUNIT_ASSERT(!first.cold->cold(server, begin) && first.cold->cold({"y", 1}, begin));
        // A restart is a new server; the entry of the same one, read once more, is not.
        first.list({"x", 2}, std::nullopt, later);
        CPPUNIT_ASSERT(first.cold->cold({"x", 2}, later));
        first.list({"x", 2}, std::nullopt, later + seconds{2});
        CPPUNIT_ASSERT(!first.cold->cold({"x", 2}, later + milliseconds{4'060}));
    }

    void instances_return_spread_over_a_second() {
        constexpr int fleet = 62;
        std::map<std::int64_t, int> returned; // By tenth of a second.
        for (int n = 0; n < fleet; ++n) {
            instance i(4.9, "i" + std::to_string(n));
            i.list(server, milliseconds{3'000}, begin);
            auto now = begin + milliseconds{3'060};
            for (; !i.serves(now); now += milliseconds{1}) {
            }
            ++returned[milliseconds_between(begin + milliseconds{3'060}, now) / 100];
            // One request in flight at first, all of them a second later.
            i.pool.attempt_started("x", now);
            CPPUNIT_ASSERT(!i.serves(now) && !i.serves_key(now) && i.serves(now + milliseconds{300}));
            CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::uint32_t>::max(),
                                 i.cold->max_in_flight(server, 4, now + seconds{1}));
        }
        CPPUNIT_ASSERT(returned.begin()->first >= 0 && returned.rbegin()->first < 10);
        for (const auto& [tenth, count] : returned) {
            CPPUNIT_ASSERT(count <= fleet / 4);
        }
    }

    void late_and_early_shares_do_not_count() {
        instance i(4.9);
        i.list(server, milliseconds{30'000}, begin);
        i.cold->receive(one_unit(), begin - seconds{2}, begin); // Answers a report of two seconds ago.
        CPPUNIT_ASSERT(!i.serves(begin));
        i.cold->receive(one_unit(), begin + seconds{1}, begin); // Answers no report of this process.
        CPPUNIT_ASSERT(!i.serves(begin));
        const auto now = begin + seconds{1};
        i.cold->receive(one_unit(5), now, now);
        i.cold->receive(one_unit(1), begin, now); // Overtaken by the one before.
        i.pool.attempt_started("x", now);
        CPPUNIT_ASSERT(i.serves(now + milliseconds{221}));
    }

    void cold_servers_get_no_keys() {
        const key_server warm{{"a", 1}, 10, true, false};
        const key_server cold{{"b", 2}, 10, true, true};
        const auto initial = initial_owners({cold, warm, cold});
        CPPUNIT_ASSERT(initial.size() == 1 && initial[0].owner == warm.identity &&
                       initial[0].to == key_count - 1);
        key_table table;
        table.ranges = {{0, key_count / 2 - 1, {"b", 1}, 1, {}},
                        {key_count / 2, key_count - 1, {"a", 1}, 1, {}}};
        // The restarted server would get its ranges back, but it can serve only a few requests of them.
        for (const auto& move : reassign_lost(table, {warm, cold}, {})) {
            CPPUNIT_ASSERT(move.owner == warm.identity);
        }
        table.ranges = {{0, key_count - 1, {"a", 1}, 1, {}}};
        CPPUNIT_ASSERT(fill_new_servers(table, {warm, cold}, {}, {}).empty());
        auto warmed = cold;
        warmed.cold = false;
        CPPUNIT_ASSERT(!fill_new_servers(table, {warm, warmed}, {}, {}).empty());
    }

    // Takes a coordinator through its first plan with one cold server.
    void a_coordinator_assigns_cold_servers_no_keys() {
        for (const bool all_cold : {false, true}) {
            key_coordinator c({}, "s", "i@1", {"10.0.0.1", 1}, begin);
            const auto a = instance::entry_of({"a", 1}, milliseconds{0});
            const auto b = instance::entry_of({"b", 1}, milliseconds{0});
            const auto warm_at = begin + seconds{60};
            c.set_cold_servers(all_cold
                                   ? std::map<incarnation, time_point>{{a.self, warm_at}, {b.self, warm_at}}
                                   : std::map<incarnation, time_point>{{b.self, warm_at}});
            c.update_servers({&a, &b}, begin);
            std::optional<key_table> planned;
            std::uint64_t revision = 0;
            for (auto now = begin; !planned && now < begin + seconds{10}; now += milliseconds{50}) {
                for (const auto& action : c.step(now)) {
                    if (std::holds_alternative<read_tenure>(action)) {
                        c.tenure_read(0, std::nullopt, now);
                    } else if (std::holds_alternative<write_tenure>(action)) {
                        c.tenure_written(write_outcome::done, ++revision, now, now);
                    } else if (std::holds_alternative<read_table>(action)) {
                        c.table_read(0, std::nullopt, now);
                    } else if (const auto* write = std::get_if<write_table>(&action)) {
                        planned = write->table;
                    }
                }
            }
            CPPUNIT_ASSERT(planned);
            std::set<std::string> owners;
            for (const auto& range : planned->ranges) {
                owners.insert(range.owner.id);
            }
            CPPUNIT_ASSERT(owners ==
                           (all_cold ? std::set<std::string>{"a", "b"} : std::set<std::string>{"a"}));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_servers_test);

} // namespace balsampost::core::warmup
