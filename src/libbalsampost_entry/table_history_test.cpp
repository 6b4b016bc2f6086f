// Tables as they travel from a coordinator over relays: whole, as differences, late and out of order.
#include "balsampost/entry/table_history.h"

#include <cppunit/extensions/HelperMacros.h>

namespace balsampost::entry {

namespace {

/// Owned by `a` but for the keys from `hot` on, which `b` has.
core::key_table table_of(core::shard_key hot, std::uint64_t fence) {
    core::key_table t;
    t.term = 1;
    t.last_fence = fence;
    t.coordinator = "c@1";
    t.coordinator_at = {"10.0.0.1", 7};
    t.ranges = {{0, hot - 1, {"a", 1}, 1, {}}, {hot, core::key_count - 1, {"b", 1}, fence, {}}};
    return t;
}

peer_update update_from(const table_history& sender, const table_version& known) {
    peer_update out;
    sender.describe(out, known);
    return out;
}

} // namespace

class table_history_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(table_history_test);
    CPPUNIT_TEST(differences_and_whole_tables);
    CPPUNIT_TEST(what_cannot_be_used_changes_nothing);
    CPPUNIT_TEST_SUITE_END();

    void differences_and_whole_tables() {
        table_history coordinator;
        table_history relay;
        table_history member;
        for (std::uint64_t n = 1; n <= 40; ++n) {
            CPPUNIT_ASSERT(
                coordinator.put({n, 0}, table_of(static_cast<core::shard_key>(100 * n), n + 1), true));
            if (n % 5 == 0) { // Updates in between are lost.
                CPPUNIT_ASSERT_EQUAL(std::string(),
                                     relay.take(update_from(coordinator, relay.version()), true));
            }
            if (n % 15 == 0) {
                CPPUNIT_ASSERT_EQUAL(std::string(), member.take(update_from(relay, member.version()), false));
                CPPUNIT_ASSERT(*member.table() == *relay.table());
            }
        }
        const auto difference = update_from(coordinator, {39, 0});
        CPPUNIT_ASSERT((difference.base == table_version{39, 0}));
        CPPUNIT_ASSERT_MESSAGE("too old a base: the whole",
                               update_from(coordinator, {2, 0}).base == table_version{});
        CPPUNIT_ASSERT(update_from(coordinator, {40, 0}).table.empty());
    }

    void what_cannot_be_used_changes_nothing() {
        table_history coordinator;
        coordinator.put({1, 0}, table_of(100, 2), true);
        coordinator.put({2, 0}, table_of(200, 3), true);
        const auto difference = update_from(coordinator, {1, 0});
        table_history empty;
        CPPUNIT_ASSERT_EQUAL(std::string(), empty.take(difference, false));
        CPPUNIT_ASSERT(!empty.table());
        auto whole = update_from(coordinator, {});
        CPPUNIT_ASSERT_EQUAL(std::string(), empty.take(whole, false));
        CPPUNIT_ASSERT_MESSAGE("an older one", !empty.put({1, 0}, table_of(100, 2), false));
        whole.version = {9, 0};
        whole.table = "no table";
        CPPUNIT_ASSERT(!empty.take(whole, false).empty());
        CPPUNIT_ASSERT((empty.version() == table_version{2, 0}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_history_test);

} // namespace balsampost::entry
