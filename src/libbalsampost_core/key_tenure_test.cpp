// Guards against two holders of one tenure: an instance takes it because of a record that is older than the
// revision under which it writes.
#include "balsampost/core/key_coordinator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace balsampost::core {

namespace {

constexpr std::uint64_t released_at = 10;
constexpr std::uint64_t taken_at = 11;
const endpoint some_address{"127.0.0.1", 1};

template <class Action>
bool contains(const std::vector<coordinator_action>& actions) {
    return std::any_of(actions.begin(), actions.end(),
                       [](const auto& a) { return std::holds_alternative<Action>(a); });
}

} // namespace

class key_tenure_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(key_tenure_test);
    CPPUNIT_TEST(a_confirmed_revision_does_not_make_an_old_record_current);
    CPPUNIT_TEST_SUITE_END();

    /// The record read last says that the tenure is free. Then an update of its new holder names a later
    /// revision: a write under that revision would pass the store's condition.
    void a_confirmed_revision_does_not_make_an_old_record_current() {
        time_point now{seconds_since_start};
        key_coordinator c({}, "s", "b@1", some_address, now);
        CPPUNIT_ASSERT(contains<read_tenure>(c.step(now)));
        c.tenure_read(released_at, tenure_record{3, "", some_address, 5}, now);
        c.tenure_confirmed(taken_at, now);
        bool read_again = false;
        for (int i = 0; i < 100 && !read_again; ++i) {
            now += milliseconds{10};
            const auto actions = c.step(now);
            CPPUNIT_ASSERT_MESSAGE("takes a tenure that another instance holds",
                                   !contains<write_tenure>(actions));
            read_again = contains<read_tenure>(actions);
        }
        CPPUNIT_ASSERT(read_again);
        c.tenure_read(taken_at, tenure_record{4, "a@1", some_address, 6}, now);
        for (int i = 0; i < 50; ++i) {
            now += milliseconds{10};
            CPPUNIT_ASSERT(!contains<write_tenure>(c.step(now)));
        }
    }

    static constexpr std::chrono::seconds seconds_since_start{1'000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_tenure_test);

} // namespace balsampost::core
