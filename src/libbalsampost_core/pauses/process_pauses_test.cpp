// Tests of the detection of the process's own pauses.
#include "balsampost/core/pauses/process_pauses.h"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <string>

namespace balsampost::core::pauses {

using namespace std::chrono_literals;

class process_pauses_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(process_pauses_test);
    CPPUNIT_TEST(earliest_occurrence_around_a_pause);
    CPPUNIT_TEST(time_that_the_process_stood_still);
    CPPUNIT_TEST(stood_still_is_a_part_of_the_time);
    CPPUNIT_TEST(old_pauses_are_forgotten);
    CPPUNIT_TEST_SUITE_END();

    static constexpr time_point start{100s};

    /// Beats on time for a second, then one after a pause of four seconds.
    static process_pauses paused() {
        process_pauses p;
        for (auto t = start; t <= start + 1s; t += process_pauses::beat_interval) {
            p.beat(t);
        }
        p.beat(start + 5s);
        return p;
    }

    /// Guards against a stop that counts its grace time from the end of a pause although the signal came
    /// within it.
    void earliest_occurrence_around_a_pause() {
        process_pauses p;
        CPPUNIT_ASSERT(p.earliest_occurrence(start) == start); // No beat yet.
        CPPUNIT_ASSERT(p.stood_still(start - 1s, start) == 0s);
        p.beat(start);
        CPPUNIT_ASSERT(p.earliest_occurrence(start + 60ms) == start + 60ms);
        // Handled before the beat that is late.
        CPPUNIT_ASSERT(p.earliest_occurrence(start + 4s) == start);
        p = paused();
        // Handled after the late beat, with other events that arrived in the pause.
        CPPUNIT_ASSERT(p.earliest_occurrence(start + 5s) == start + 1s);
        p.beat(start + 5s + 50ms);
        CPPUNIT_ASSERT(p.earliest_occurrence(start + 5s + 60ms) == start + 1s);
        for (auto t = start + 5s + 100ms; t <= start + 6s; t += process_pauses::beat_interval) {
            p.beat(t);
        }
        CPPUNIT_ASSERT(p.earliest_occurrence(start + 6s) == start + 6s);
        // Short delays, one after the other, are not one long pause.
        p = process_pauses();
        p.beat(start);
        auto t = start;
        for (int i = 0; i < 100; ++i) {
            t += 100ms;
            p.beat(t);
        }
        CPPUNIT_ASSERT(p.earliest_occurrence(t) >= t - process_pauses::backlog_time - 100ms);
    }

    void time_that_the_process_stood_still() {
        const auto p = paused();
        const auto end = start + 5s;
        CPPUNIT_ASSERT(p.stood_still(start, end) == 4s - process_pauses::beat_interval);
        CPPUNIT_ASSERT(p.stood_still(start + 3s, end) == 2s);
        CPPUNIT_ASSERT(p.stood_still(start, start + 1s) == 0s);
        CPPUNIT_ASSERT(p.stood_still(start + 5s, end + 50ms) == 0s);
        // The pause that has not ended.
        CPPUNIT_ASSERT(p.stood_still(end, end + 3s) == 3s - process_pauses::beat_interval);
    }

    void stood_still_is_a_part_of_the_time() {
        const bool held = rc::check("The time that the process stood still is within the time asked for", [] {
            process_pauses p;
            p.beat(start);
            auto t = start;
            for (const auto ms : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 500))) {
                t += milliseconds{ms};
                p.beat(t);
            }
            const auto now = t + milliseconds{*rc::gen::inRange(0, 500)};
            const auto from = start + milliseconds{*rc::gen::inRange(0, 2000)};
            const auto still = p.stood_still(from, now);
            RC_ASSERT(still >= 0s);
            RC_ASSERT(still <= std::max(duration{0}, now - from));
            RC_ASSERT(p.earliest_occurrence(now) <= now);
            RC_ASSERT(p.earliest_occurrence(now) >= start);
        });
        CPPUNIT_ASSERT(held);
    }

    void old_pauses_are_forgotten() {
        auto p = paused();
        auto t = start + 5s;
        for (; t <= start + 5s + process_pauses::max_age + 1s; t += process_pauses::beat_interval) {
            p.beat(t);
        }
        CPPUNIT_ASSERT(p.stood_still(start, t) == 0s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_pauses_test);

} // namespace balsampost::core::pauses
