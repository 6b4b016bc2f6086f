// Tests of the time division of a stop and of the requests that it takes.
#include "balsampost/core/stop_window.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace balsampost::core {

using namespace std::chrono_literals;

class stop_window_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stop_window_test);
    CPPUNIT_TEST(every_request_is_taken_without_a_stop);
    CPPUNIT_TEST(division_of_the_grace_time);
    CPPUNIT_TEST(taken_requests_end_within_the_grace_time);
    CPPUNIT_TEST(a_signal_of_unknown_age);
    CPPUNIT_TEST_SUITE_END();

    void every_request_is_taken_without_a_stop() {
        const stop_window none;
        CPPUNIT_ASSERT(!none.stopping());
        CPPUNIT_ASSERT(none.holds(time_point{24h}));
    }

    void division_of_the_grace_time() {
        struct row {
            milliseconds grace;
            milliseconds listen_end;
            milliseconds work_end;
        };
        const row rows[] = {
            {3s, 2'900ms, 2'900ms},  {4s, 3'200ms, 3'867ms},   {6s, 3'200ms, 5'800ms},
            {10s, 3'200ms, 9'700ms}, {30s, 3'200ms, 29'700ms},
        };
        const time_point signalled{100s};
        for (const auto& r : rows) {
            const auto name = std::to_string(r.grace.count());
            const stop_window w(signalled, r.grace);
            CPPUNIT_ASSERT_MESSAGE(name, w.stopping());
            CPPUNIT_ASSERT_MESSAGE(name, w.listen_end() == signalled + r.listen_end);
            CPPUNIT_ASSERT_MESSAGE(name, w.work_end() == signalled + r.work_end);
            CPPUNIT_ASSERT_MESSAGE(name, w.process_end() > w.work_end());
            CPPUNIT_ASSERT_MESSAGE(name, w.process_end() < signalled + r.grace);
            // A request that its server still runs in the last sixth of the grace time may be cut.
            CPPUNIT_ASSERT_MESSAGE(name, w.work_end() > signalled + r.grace * 5 / 6);
        }
        CPPUNIT_ASSERT(stop_window(signalled, 50ms).work_end() == signalled);
    }

    /// Guards against requests that are taken late in the grace time and cut at its end.
    void taken_requests_end_within_the_grace_time() {
        const time_point signalled{100s};
        for (const milliseconds grace : {3s, 4s, 6s, 10s, 30s}) {
            const stop_window w(signalled, grace);
            const auto work = std::chrono::duration_cast<milliseconds>(w.work_end() - signalled);
            for (milliseconds sent{0}; sent <= grace; sent += 50ms) {
                for (const milliseconds time : {50ms, 500ms, 1'000ms, 3'000ms, 9'000ms, 60'000ms}) {
                    const auto name = std::to_string(grace.count()) + " " + std::to_string(sent.count()) +
                                      " " + std::to_string(time.count());
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, sent + time <= work, w.holds(signalled + sent + time));
                }
            }
        }
    }

    /// Guards against requests that are taken after a pause of the process and cut by a kill whose time
    /// counts from a signal within the pause.
    void a_signal_of_unknown_age() {
        const time_point handled{100s};
        for (const milliseconds pause : {0ms, 500ms, 4'000ms, 6'000ms, 60'000ms}) {
            const auto name = std::to_string(pause.count());
            const stop_window w(handled - pause, handled, 6s);
            const auto earliest_kill = handled - pause + 6s;
            for (milliseconds sent{0}; sent <= 6s; sent += 50ms) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, handled + sent <= earliest_kill - 200ms,
                                             w.holds(handled + sent));
            }
            // What was taken before the signal was handled may still end in time.
            const stop_window latest(handled, 6s);
            CPPUNIT_ASSERT_MESSAGE(name, w.work_end() == latest.work_end());
            CPPUNIT_ASSERT_MESSAGE(name, w.listen_end() == latest.listen_end());
            CPPUNIT_ASSERT_MESSAGE(name, w.process_end() == latest.process_end());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_window_test);

} // namespace balsampost::core
