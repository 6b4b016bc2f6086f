// Tables sent from a coordinator through relays: complete, as differences, late and out of order.
#include "balsampost/entry/table_history.h"

#include <cppunit/extensions/HelperMacros.h>

namespace balsampost::entry {

namespace {

/// A table in which `b` owns the keys from `first_of_b` on, and `a` all others.
core::key_table table_of(core::shard_key first_of_b, std::uint64_t fence) {
    core::key_table t;
    t.term = 1;
    t.last_fence = fence;
    t.coordinator = "c@1";
    t.coordinator_at = {"10.0.0.1", 7};
    t.ranges = {{0, first_of_b - 1, {"a", 1}, 1, {}}, {first_of_b, core::key_count - 1, {"b", 1}, fence, {}}};
    return t;
}

peer_update update_from(const table_history& sender, const table_version& known) {
    peer_update out;
    sender.fill(out, known);
    return out;
}

} // namespace

class table_history_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(table_history_test);
    CPPUNIT_TEST(differences_and_complete_tables);
    CPPUNIT_TEST(unusable_updates_change_nothing);
    CPPUNIT_TEST_SUITE_END();

    void differences_and_complete_tables() {
        table_history coordinator;
        table_history relay;
        table_history member;
        for (std::uint64_t n = 1; n <= 40; ++n) {
            CPPUNIT_ASSERT(
                coordinator.put({n, 0}, table_of(static_cast<core::shard_key>(100 * n), n + 1), true));
            if (n % 5 == 0) { // Updates in between are lost.
                CPPUNIT_ASSERT_EQUAL(std::string(),
                                     relay.apply(update_from(coordinator, relay.version()), true));
            }
            if (n % 15 == 0) {
                CPPUNIT_ASSERT_EQUAL(std::string(),
                                     member.apply(update_from(relay, member.version()), false));
                CPPUNIT_ASSERT(*member.table() == *relay.table());
            }
        }
        const auto difference = update_from(coordinator, {39, 0});
        CPPUNIT_ASSERT((difference.base == table_version{39, 0}));
        CPPUNIT_ASSERT_MESSAGE("a base that is no longer kept: the complete table",
                               update_from(coordinator, {2, 0}).base == table_version{});
        CPPUNIT_ASSERT(update_from(coordinator, {40, 0}).table.empty());
    }

    void unusable_updates_change_nothing() {
        table_history coordinator;
        coordinator.put({1, 0}, table_of(100, 2), true);
        coordinator.put({2, 0}, table_of(200, 3), true);
        const auto difference = update_from(coordinator, {1, 0});
        table_history empty;
        CPPUNIT_ASSERT_EQUAL(std::string(), empty.apply(difference, false));
        CPPUNIT_ASSERT(!empty.table());
        auto complete = update_from(coordinator, {});
        CPPUNIT_ASSERT_EQUAL(std::string(), empty.apply(complete, false));
        CPPUNIT_ASSERT_MESSAGE("an older version", !empty.put({1, 0}, table_of(100, 2), false));
        complete.version = {9, 0};
        complete.table = "no table";
        CPPUNIT_ASSERT(!empty.apply(complete, false).empty());
        CPPUNIT_ASSERT((empty.version() == table_version{2, 0}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_history_test);

} // namespace balsampost::entry
