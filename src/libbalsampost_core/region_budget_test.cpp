// Tests of the byte budget between regions: shares, delays, and the limit over any sequence of messages.
#include "balsampost/core/region_budget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace balsampost::core {

namespace {

time_point at(int ms) {
    return time_point(milliseconds(1000 + ms));
}

object_set one_region_pair(std::uint32_t megabits) {
    object_set set;
    budget b;
    b.between = {"near", "far"};
    b.megabits_per_second = megabits;
    set.budgets["b"] = b;
    return set;
}

member_list instances(int near, int far) {
    member_list list;
    for (int i = 0; i < near + far; ++i) {
        list.instances.push_back(
            {"i" + std::to_string(i), i < near ? "near" : "far", "d", "127.0.0.1", 1, member_state::live});
    }
    return list;
}

} // namespace

class region_budget_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(region_budget_test);
    CPPUNIT_TEST(overdraft_delays_further_traffic);
    CPPUNIT_TEST(classes_and_directions_are_independent);
    CPPUNIT_TEST(updates_keep_the_overdraft);
    CPPUNIT_TEST(all_instances_together_stay_within_the_budget);
    CPPUNIT_TEST_SUITE_END();

    void overdraft_delays_further_traffic() {
        region_budget b;
        // 8 Mbit/s for two instances: 500 KB/s each, half of it for reads.
        b.update(one_region_pair(8), instances(1, 1), "near", at(0));
        const auto delay = [&](int ms) { return b.delay("far", traffic_class::read, direction::in, at(ms)); };
        CPPUNIT_ASSERT(delay(0) == duration::zero());
        b.charge("far", traffic_class::read, direction::in, 275'000, at(0)); // The bucket held 25,000.
        CPPUNIT_ASSERT(delay(0) == milliseconds(1001));
        CPPUNIT_ASSERT(delay(900) > duration::zero());
        CPPUNIT_ASSERT(delay(1001) == duration::zero());
    }

    void classes_and_directions_are_independent() {
        region_budget b;
        b.update(one_region_pair(8), instances(1, 1), "near", at(0));
        b.charge("far", traffic_class::upload, direction::out, 10'000'000, at(0));
        CPPUNIT_ASSERT(b.delay("far", traffic_class::upload, direction::out, at(0)) > duration::zero());
        CPPUNIT_ASSERT(b.delay("far", traffic_class::upload, direction::in, at(0)) == duration::zero());
        CPPUNIT_ASSERT(b.delay("far", traffic_class::read, direction::out, at(0)) == duration::zero());
        CPPUNIT_ASSERT(b.delay("elsewhere", traffic_class::upload, direction::out, at(0)) ==
                       duration::zero());
    }

    void updates_keep_the_overdraft() {
        region_budget b;
        b.update(one_region_pair(8), instances(1, 1), "near", at(0));
        b.charge("far", traffic_class::write, direction::out, 1'000'000, at(0));
        b.update(one_region_pair(8), instances(2, 2), "near", at(1));
        CPPUNIT_ASSERT(b.delay("far", traffic_class::write, direction::out, at(1)) > std::chrono::seconds(5));
    }

    void all_instances_together_stay_within_the_budget() {
        const bool ok = rc::check(
            "instances that observe the delay move at most the budget, one burst and one message each", [] {
                const int near = *rc::gen::inRange(1, 6);
                const int far = *rc::gen::inRange(1, 6);
                const auto members = instances(near, far);
                std::vector<region_budget> all(static_cast<std::size_t>(near + far));
                for (std::size_t i = 0; i < all.size(); ++i) {
                    all[i].update(one_region_pair(10), members, members.instances[i].region, at(0));
                }
                const auto sizes = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(1, 40'000));
                std::uint64_t moved_bytes = 0;
                std::uint64_t largest = 0;
                constexpr int duration_ms = 2000;
                for (int ms = 0; ms < duration_ms; ms += 10) {
                    const auto size = static_cast<std::uint64_t>(sizes[static_cast<std::size_t>(ms / 10)]);
                    for (std::size_t i = 0; i < all.size(); ++i) {
                        const bool is_near = static_cast<int>(i) < near;
                        const char* other = is_near ? "far" : "near";
                        const auto d =
                            is_near ? direction::out : direction::in; // The same direction on the link.
                        if (all[i].delay(other, traffic_class::read, d, at(ms)) == duration::zero()) {
                            all[i].charge(other, traffic_class::read, d, size, at(ms));
                            moved_bytes += size;
                            largest = std::max(largest, size);
                        }
                    }
                }
                const double rate = 10 * 125'000.0 * 0.5;
                RC_ASSERT(static_cast<double>(moved_bytes) <=
                          rate * (duration_ms / 1000.0 + 0.1) + static_cast<double>(largest * all.size()));
            });
        CPPUNIT_ASSERT(ok);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(region_budget_test);

} // namespace balsampost::core
