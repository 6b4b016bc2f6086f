// Tables of admission to overloaded owners: admitted fractions, returns of refused callers, and late reports.
#include "balsampost/core/admission.h"

#include <cppunit/extensions/HelperMacros.h>

namespace balsampost::core {

namespace {

constexpr time_point begin{std::chrono::seconds{100}};

} // namespace

class admission_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(admission_test);
    CPPUNIT_TEST(only_measured_load_limits_an_owner);
    CPPUNIT_TEST(refused_callers_return_by_overload_and_time_left);
    CPPUNIT_TEST(reports_count_for_no_more_than_the_time_passed);
    CPPUNIT_TEST_SUITE_END();

    void only_measured_load_limits_an_owner() {
        const std::vector<key_server> servers{{{"hot", 1}, 20}, {{"cold", 1}, 20}, {{"no keys", 1}, 20}};
        key_table table;
        table.ranges = {{0, 99, {"hot", 1}, 1, {}}, {100, key_count - 1, {"cold", 1}, 1, {}}};
        key_rates rates;
        CPPUNIT_ASSERT(admitted_fractions(table, servers, rates).empty());
        for (int i = 1; i <= 20; ++i) {
            rates.add({"beds", {{50, 25}, {5'000, 2}}, 0, {}, {}, 250}, begin + i * milliseconds{250});
        }
        rates.advance(begin + milliseconds{5'000});
        const auto admitted = admitted_fractions(table, servers, rates);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, admitted.size());
        // About 100 requests per second come, and a server with a capacity of 20 gets a little more than
        // that.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.26, admitted.at({"hot", 1}), 0.06);
    }

    void refused_callers_return_by_overload_and_time_left() {
        struct row {
            const char* name;
            double admitted;
            milliseconds to_target;
            milliseconds to_deadline;
            milliseconds expected;
        };
        constexpr row rows[] = {
            {"can still be answered in target", 0.1, milliseconds{800}, milliseconds{5'000},
             milliseconds{350}},
            {"slight overload", 0.9, milliseconds{400}, milliseconds{2'500}, milliseconds{388}},
            {"half is admitted", 0.5, milliseconds{400}, milliseconds{2'500}, milliseconds{700}},
            {"two more chances", 0.1, milliseconds{400}, milliseconds{2'500}, milliseconds{833}},
            {"little time left", 0.1, milliseconds{0}, milliseconds{600}, milliseconds{350}},
            {"nothing is admitted", 0, milliseconds{0}, milliseconds{2'400}, milliseconds{800}},
        };
        for (const auto& r : rows) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                r.name, static_cast<long>(r.expected.count()),
                static_cast<long>(overload_retry_after(r.admitted, r.to_target, r.to_deadline).count()));
        }
    }

    void reports_count_for_no_more_than_the_time_passed() {
        key_report report;
        report.covered_ms = 250;
        report_credit credit;
        auto now = begin;
        int accepted = 0;
        for (int i = 0; i < 8; ++i) { // In time, by turns a little early and late.
            now += milliseconds{i % 2 == 0 ? 150 : 350};
            accepted += credit.accept(report, now) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(8, accepted);
        now += milliseconds{10'000};
        accepted = 0;
        for (int i = 0; i < 40; ++i) { // Held up for ten seconds.
            accepted += credit.accept(report, now) ? 1 : 0;
        }
        CPPUNIT_ASSERT(accepted <= 2);
        now += milliseconds{250};
        CPPUNIT_ASSERT(credit.accept(report, now));
        report.covered_ms = 0; // From a version that does not say.
        CPPUNIT_ASSERT(credit.accept(report, now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

} // namespace balsampost::core
