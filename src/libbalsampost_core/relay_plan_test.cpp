// Tests of relay plans for fleets of many sizes: members per relay, choice of relays, and the effect of
// losing one. Also tests the merging of reports at a relay.
#include "balsampost/core/key_load.h"
#include "balsampost/core/relay_plan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace balsampost::core {

namespace {

/// Every tenth instance of a domain has ample capacity, the others none.
std::vector<direct_reporter> fleet_of(std::size_t size, std::size_t domains) {
    std::vector<direct_reporter> out;
    for (std::size_t i = 0; i < size; ++i) {
        out.push_back(
            {"i" + std::to_string(i), "d" + std::to_string(i % domains), i / domains % 10 == 0 ? 0.0 : 1.0});
    }
    return out;
}

/// The direct reporters after `plan` has been applied.
std::vector<direct_reporter> apply_plan(const std::vector<direct_reporter>& fleet,
                                        const std::map<std::string, std::string>& plan) {
    std::vector<direct_reporter> out;
    for (auto r : fleet) {
        if (!plan.contains(r.name)) {
            r.members += static_cast<std::uint32_t>(
                std::count_if(plan.begin(), plan.end(), [&](const auto& p) { return p.second == r.name; }));
            out.push_back(r);
        }
    }
    return out;
}

} // namespace

class relay_plan_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_plan_test);
    CPPUNIT_TEST(small_fleets_have_no_relays);
    CPPUNIT_TEST(load_is_about_the_square_root_of_the_fleet);
    CPPUNIT_TEST(relays_have_capacity_and_share_the_domain);
    CPPUNIT_TEST(losing_a_relay_moves_only_its_members);
    CPPUNIT_TEST(merged_reports_hold_all_values);
    CPPUNIT_TEST_SUITE_END();

    void small_fleets_have_no_relays() {
        CPPUNIT_ASSERT(plan_relays({}).empty());
        CPPUNIT_ASSERT(plan_relays(fleet_of(11, 6)).empty());
        CPPUNIT_ASSERT(plan_relays(fleet_of(max_reporters_without_relays, 6)).empty());
    }

    void load_is_about_the_square_root_of_the_fleet() {
        for (const std::size_t size : {70, 89, 294, 1'000, 3'100}) {
            const auto plan = plan_relays(fleet_of(size, 9));
            const auto direct = apply_plan(fleet_of(size, 9), plan);
            const auto root = std::sqrt(static_cast<double>(size));
            CPPUNIT_ASSERT(direct.size() <= 2 * root + 9);
            for (const auto& r : direct) {
                CPPUNIT_ASSERT(r.members <= 2 * root + 1);
            }
            CPPUNIT_ASSERT_EQUAL(size, plan.size() + direct.size());
        }
    }

    void relays_have_capacity_and_share_the_domain() {
        const auto fleet = fleet_of(294, 9);
        std::map<std::string, direct_reporter> by_name;
        for (const auto& r : fleet) {
            by_name[r.name] = r;
        }
        for (const auto& [member, relay] : plan_relays(fleet)) {
            CPPUNIT_ASSERT_EQUAL(by_name[member].failure_domain, by_name[relay].failure_domain);
            CPPUNIT_ASSERT_EQUAL(0.0, by_name[relay].capacity_shortage);
        }
    }

    void losing_a_relay_moves_only_its_members() {
        const auto fleet = fleet_of(294, 9);
        auto direct = apply_plan(fleet, plan_relays(fleet));
        CPPUNIT_ASSERT_MESSAGE("a plan that was applied is stable", plan_relays(direct).empty());
        // When a relay is lost, its members report directly and all others keep their relay.
        const auto lost = direct.back();
        direct.pop_back();
        for (std::uint32_t i = 0; i < lost.members; ++i) {
            direct.push_back({"orphan" + std::to_string(i), lost.failure_domain, 1.0, 0, true});
        }
        CPPUNIT_ASSERT_MESSAGE("members of a lost relay report directly for a while",
                               plan_relays(direct).empty());
        for (auto& r : direct) {
            r.lost_relay_recently = false;
        }
        const auto new_plan = plan_relays(direct);
        CPPUNIT_ASSERT(new_plan.size() >= lost.members - 1);
        for (const auto& [member, relay] : new_plan) {
            CPPUNIT_ASSERT(member.starts_with("orphan"));
        }
    }

    void merged_reports_hold_all_values() {
        report_merger merger;
        for (std::uint32_t member = 0; member < 20; ++member) {
            key_report r;
            r.keys = {{7, 10}, {100 + member, 1}};
            r.unlisted = 2;
            r.service_ms = {{"a", 2, 100}, {"s" + std::to_string(member), 1, 50}};
            r.unreachable = {"u"};
            merger.add(r);
        }
        key_report own;
        own.service = "beds";
        own.keys = {{7, 5}};
        merger.take(own, 11);
        CPPUNIT_ASSERT_EQUAL(std::string("beds"), own.service);
        CPPUNIT_ASSERT(own.keys.size() == 11 && own.keys.front() == std::pair(shard_key{7}, 205U));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{40 + 10}, own.unlisted);
        CPPUNIT_ASSERT((own.service_ms.front() == std::tuple(std::string("a"), 40U, 2000U)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{21}, own.service_ms.size());
        CPPUNIT_ASSERT((own.unreachable == std::vector<std::string>{"u"}));
        key_report next;
        merger.take(next, 11);
        CPPUNIT_ASSERT(next.keys.empty() && next.service_ms.empty() && next.unlisted == 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_plan_test);

} // namespace balsampost::core
