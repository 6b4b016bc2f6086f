// Callers' connections as a real kernel shows them: requests that cross a close, and closes with a reason.
#include "caller_rig.h"

#include <cppunit/extensions/HelperMacros.h>

namespace balsampost::entry {

using namespace std::chrono_literals;

namespace {

const std::string empty_answer =
    "HTTP/1.1 200 OK\r\nIntegrity: i\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n";

} // namespace

class caller_kernel_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_kernel_test);
    CPPUNIT_TEST(request_that_arrives_at_the_idle_timeout_is_answered);
    CPPUNIT_TEST(idle_connection_outlives_a_timeout_that_was_raised);
    CPPUNIT_TEST(caller_that_stops_reading_is_closed);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against a reset of a request that reached the socket before the idle timer's action ran.
    void request_that_arrives_at_the_idle_timeout_is_answered() {
        caller_rig<> rig({empty_answer});
        core::caller_limits limits;
        limits.idle_timeout = 100ms;
        rig.set_limits(limits);
        const auto caller = rig.connect();
        CPPUNIT_ASSERT(rig.run_until([&] { return rig.callers.connection_count() == 1; }));
        rig.timer_queue.at(now() + 1ms, [&] {
            const auto idle_timer_due = now() + 150ms;
            while (now() < idle_timer_due) { // The timer becomes due while this handler runs.
            }
            rig.timer_queue.at(idle_timer_due - 200ms, [&] { caller_rig<>::send(*caller); });
        });
        const auto text = rig.answer(*caller);
        CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("HTTP/1.1 200"));
    }

    /// Guards against closing connections that callers still reuse by the timeout in force.
    void idle_connection_outlives_a_timeout_that_was_raised() {
        caller_rig<> rig({empty_answer});
        core::caller_limits limits;
        limits.idle_timeout = 50ms;
        rig.set_limits(limits);
        const auto caller = rig.connect();
        CPPUNIT_ASSERT(rig.run_until([&] { return rig.callers.connection_count() == 1; }));
        limits.idle_timeout = 60s;
        rig.set_limits(limits);
        const auto later = now() + 200ms;
        CPPUNIT_ASSERT(rig.run_until([&] { return now() > later; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rig.callers.connection_count());
        caller_rig<>::send(*caller);
        CPPUNIT_ASSERT(rig.answer(*caller).starts_with("HTTP/1.1 200"));
    }

    /// Guards against answers that stay in memory, and hold up the stop, for a caller that never reads them.
    void caller_that_stops_reading_is_closed() {
        const std::string body(100'000, 'x');
        const std::string head =
            "HTTP/1.1 200 OK\r\nIntegrity: i\r\nRequest-Id: ID\r\nContent-Length: 100000\r\n\r\n";
        constexpr int requests = 120; // More bytes than the socket buffers hold.
        caller_rig<> rig(std::deque<std::string>(requests, head + body));
        core::caller_limits limits;
        limits.idle_timeout = 300ms;
        rig.set_limits(limits);
        const auto caller = rig.connect();
        for (int i = 0; i < requests; ++i) {
            caller_rig<>::send(*caller);
        }
        CPPUNIT_ASSERT(rig.run_until([&] { return rig.server.requests() > 16; }));
        CPPUNIT_ASSERT(rig.run_until([&] { return rig.callers.connection_count() == 0; }));
        CPPUNIT_ASSERT(rig.server.requests() < requests); // It was closed while it had answers to read.
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_kernel_test);

} // namespace balsampost::entry
