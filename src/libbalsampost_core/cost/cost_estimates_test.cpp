// Tests of the estimates of cost and of selection by cost, and their comparison with other policies in
// virtual time.
#include "selection_load.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <iostream>

namespace balsampost::core::cost {

using namespace simulation;

namespace {

constexpr time_point begin{std::chrono::seconds{100}};

} // namespace

class cost_estimates_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cost_estimates_test);
    CPPUNIT_TEST(classes_ignore_what_callers_invent);
    CPPUNIT_TEST(estimates_are_learned_and_decay);
    CPPUNIT_TEST(keys_learn_their_ratio);
    CPPUNIT_TEST(floods_of_ids_displace_nothing_in_use);
    CPPUNIT_TEST(work_at_a_server_ends_at_zero);
    CPPUNIT_TEST(long_requests_leave_slots_to_short_ones);
    CPPUNIT_TEST(by_count_is_unchanged_unless_set);
    CPPUNIT_TEST(instances_with_the_same_reports_spread);
    CPPUNIT_TEST(by_cost_is_not_worse_than_by_count);
    CPPUNIT_TEST_SUITE_END();

    void classes_ignore_what_callers_invent() {
        CPPUNIT_ASSERT_EQUAL(class_of("r", "XYZ", 0, {}).id, class_of("r", "ABC", 0, {}).id);
        CPPUNIT_ASSERT_EQUAL(class_of("r", "PUT", 5'000, {}).id, class_of("r", "PUT", 7'000, {}).id);
        CPPUNIT_ASSERT(class_of("r", "PUT", 5'000, {}).id != class_of("r", "PUT", 50'000, {}).id);
        CPPUNIT_ASSERT(class_of("r", "PUT", 0, {}).id != class_of("r", "GET", 0, {}).id);
        CPPUNIT_ASSERT(class_of("r", "GET", 0, {}).id != class_of("q", "GET", 0, {}).id);
    }

    void estimates_are_learned_and_decay() {
        cost_estimates e;
        CPPUNIT_ASSERT_EQUAL(1.0, e.of({1}, begin).uncertainty);
        for (int i = 0; i < 60; ++i) {
            e.learn({1}, i % 2 == 0 ? 20 : 40, begin);
            e.learn({2}, 600, begin);
        }
        const auto cheap = e.of({1}, begin);
        CPPUNIT_ASSERT(cheap.ms > 25 && cheap.ms < 60);
        CPPUNIT_ASSERT(cheap.uncertainty < 0.1);
        CPPUNIT_ASSERT(e.of({2}, begin).ms > 500);
        const auto later = e.of({1}, begin + std::chrono::minutes{10});
        CPPUNIT_ASSERT(later.uncertainty > 0.99);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(e.mean_ms(), later.ms, 1);
    }

    void keys_learn_their_ratio() {
        cost_estimates e;
        for (int i = 0; i < 300; ++i) {
            e.learn({1, shard_key{i % 10U == 0 ? 7U : 100U + static_cast<shard_key>(i)}},
                    i % 10 == 0 ? 500 : 50, begin);
        }
        CPPUNIT_ASSERT(e.of({1, shard_key{7}}, begin).ms > 2 * e.of({1, shard_key{9'999}}, begin).ms);
    }

    /// Guards against one caller that makes the estimates of others forgotten, or takes memory, by ids that
    /// it invents.
    void floods_of_ids_displace_nothing_in_use() {
        CPPUNIT_ASSERT(rc::check("an id in use keeps its mean, and the table its size", [] {
            mean_table table(16, milliseconds{10'000});
            const auto capacity = table.capacity();
            const auto used = *rc::gen::arbitrary<std::uint64_t>();
            for (int i = 0; i < 10; ++i) {
                table.learn(used, 70, begin);
            }
            const auto ids =
                *rc::gen::container<std::vector<std::uint64_t>>(500, rc::gen::arbitrary<std::uint64_t>());
            auto now = begin;
            for (const auto id : ids) {
                now += milliseconds{20};
                if (id != used) {
                    table.learn(id, 60'000, now);
                }
            }
            RC_ASSERT(table.capacity() == capacity);
            const auto found = table.find(used, now);
            RC_ASSERT(found.has_value());
            RC_ASSERT(found->mean == 70);
        }));
    }

    /// Guards against work that stays counted after its request has ended, which would make a server look
    /// busy for ever.
    void work_at_a_server_ends_at_zero() {
        CPPUNIT_ASSERT(rc::check("started work is taken back whatever the order of ends", [] {
            auto costs = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10'000));
            server_work work;
            for (const auto c : costs) {
                work.started({{1}, static_cast<double>(c), 0});
            }
            std::reverse(costs.begin(), costs.end());
            for (const auto c : costs) {
                work.ended({{1}, static_cast<double>(c), 0});
            }
            RC_ASSERT(work.ms() < 1e-6);
            work.ended({{1}, 5, 0});
            RC_ASSERT(work.ms() == 0);
        }));
    }

    /// Guards against long requests that take all slots of the fastest server, so that short ones wait.
    void long_requests_leave_slots_to_short_ones() {
        std::vector<backend> servers(4);
        std::vector<const backend*> listed;
        for (std::size_t i = 0; i < servers.size(); ++i) {
            servers[i].self = {"s" + std::to_string(i), 1};
            servers[i].failure_domain = "a";
            servers[i].slots = 4;
            listed.push_back(&servers[i]);
        }
        selection_settings settings;
        settings.by_cost = true;
        server_pool pool(settings, "a", {});
        pool.update(listed, 1'000, 1);
        const request_class short_one{1};
        const request_class long_one{2};
        for (int i = 0; i < 200; ++i) {
            const auto& kind = i % 10 == 0 ? long_one : short_one;
            const auto& id = servers[static_cast<std::size_t>(i) % 4].self.id;
            const auto attempt = pool.attempt_started(id, begin, kind);
            // The first server is the fastest one and attracts requests.
            const int took = (i % 10 == 0 ? 600 : 30) / (i % 4 == 0 ? 2 : 1);
            pool.attempt_ended(id, attempt_result::answered, milliseconds{took}, std::nullopt, begin,
                               attempt);
        }
        std::mt19937_64 random(1);
        std::map<std::string, int> chosen;
        const selection_request r{milliseconds{2'000}, milliseconds{5'000}, 0, {}, {}, long_one};
        for (int i = 0; i < 8; ++i) {
            const auto choice = pool.choose(r, begin, random);
            CPPUNIT_ASSERT(!choice.server.empty());
            pool.attempt_started(choice.server, begin, long_one);
            ++chosen[choice.server];
        }
        for (const auto& [id, count] : chosen) {
            CPPUNIT_ASSERT_MESSAGE(id, count <= 2);
        }
    }

    void by_count_is_unchanged_unless_set() {
        server_pool pool({}, "a", {});
        backend b;
        b.self = {"one", 1};
        b.failure_domain = "a";
        b.slots = 1;
        pool.update({&b}, 100, 1);
        const auto attempt = pool.attempt_started("one", begin, {5});
        CPPUNIT_ASSERT_EQUAL(0.0, attempt.ms);
        const selection_request cheap{milliseconds{400}, milliseconds{1'000}, 0, {}, {}, {1}};
        pool.attempt_ended("one", attempt_result::answered, milliseconds{300}, std::nullopt, begin, attempt);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{300},
                             std::int64_t{pool.check("one", cheap, begin).expected_latency.count()});
    }

    /// Guards against 300 instances that all choose the server which was idle 400 ms ago; its queue would
    /// turn most of them away.
    void instances_with_the_same_reports_spread() {
        constexpr int slots_and_queue = 4 + 16;
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            const auto by_cost = most_at_one_server(policy::by_cost, seed);
            CPPUNIT_ASSERT(by_cost <= 1.5 * slots_and_queue);
            CPPUNIT_ASSERT(by_cost < most_at_one_server(policy::by_count, seed));
        }
    }

    /// Guards against estimates that make the choice worse than the count of requests, which needs none.
    void by_cost_is_not_worse_than_by_count() {
        for (const auto& c : comparison_cases()) {
            const auto count = play(c, policy::by_count);
            const auto cost = play(c, policy::by_cost);
            std::cout << " [" << c.name << ": in target " << cost.in_target_share() << " against "
                      << count.in_target_share() << ", p99 " << cost.p99() << " against " << count.p99()
                      << ", refused " << cost.refused_share() << " against " << count.refused_share() << "]";
            CPPUNIT_ASSERT_MESSAGE(c.name, cost.in_target_share() >= count.in_target_share() - 0.002);
            CPPUNIT_ASSERT_MESSAGE(c.name, cost.refused_share() <= count.refused_share() + 0.002);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cost_estimates_test);

} // namespace balsampost::core::cost
