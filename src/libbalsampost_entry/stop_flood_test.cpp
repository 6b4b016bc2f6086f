// One caller with many pipelined requests beside the timers of a stop.
#include "caller_rig.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <ctime>
#include <iostream>

namespace balsampost::entry {

using namespace std::chrono_literals;

class stop_flood_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stop_flood_test);
    CPPUNIT_TEST(many_pipelined_requests_do_not_hold_up_the_timers_of_a_stop);
    CPPUNIT_TEST_SUITE_END();

    /// Time that the event loop worked, without the time that other processes had the processor.
    static core::duration work_time() {
        timespec t{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
        return std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec);
    }

    /// Returns the longest work between two runs of a timer.
    static core::milliseconds longest_gap(bool stopping) {
        caller_rig<> rig({});
        net::tcp::socket caller(rig.context);
        caller.connect({net::asio::ip::make_address("127.0.0.1"), rig.callers.port()});
        CPPUNIT_ASSERT(rig.run_until([&] { return rig.callers.connection_count() == 1; }));
        if (stopping) {
            rig.callers.begin_stop(core::stop_window(now(), 600s));
        }
        std::string bytes;
        for (int i = 0; i < 200'000; ++i) {
            bytes += "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        }
        caller.non_blocking(true);
        net::error_code ec;
        std::size_t sent = 0;
        while (!ec && sent < bytes.size()) {
            sent += caller.write_some(net::asio::buffer(bytes.data() + sent, bytes.size() - sent), ec);
        }
        auto last = work_time();
        core::duration longest{0};
        std::function<void()> tick = [&] {
            const auto at = work_time();
            longest = std::max(longest, at - last);
            last = at;
            rig.timer_queue.at(now() + 1ms, tick);
        };
        tick();
        const auto end = now() + 1s;
        rig.run_until([&] { return now() > end; });
        longest = std::max(longest, work_time() - last); // It may still be held up.
        const auto out = std::chrono::duration_cast<core::milliseconds>(longest);
        std::cout << (stopping ? " in a stop: " : " at work: ") << sent << " bytes, longest gap "
                  << out.count() << " ms\n";
        return out;
    }

    /// Guards against a stop that misses its end since one caller keeps the event loop.
    void many_pipelined_requests_do_not_hold_up_the_timers_of_a_stop() {
        const auto at_work = longest_gap(false);
        const auto in_a_stop = longest_gap(true);
        // The least margin between the end of work and the kill.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(at_work.count()) + " ms at work, " +
                                   std::to_string(in_a_stop.count()) + " ms in a stop",
                               in_a_stop < 100ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_flood_test);

} // namespace balsampost::entry
