// Tests of the speed of servers on shared machines, alone and in the selection of a server.
#include "balsampost/core/load/speed_estimate.h"
#include "balsampost/core/server_selection.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>

namespace balsampost::core::load {

namespace {

using std::chrono::seconds;
constexpr time_point begin{seconds{100}};
const selection_request request{milliseconds{400}, milliseconds{1'000}, 0, {}};

backend make_backend(const std::string& id) {
    backend b;
    b.self = {id, 1};
    b.failure_domain = "a";
    b.slots = 4;
    return b;
}

/// Two servers that have each answered 20 requests in 100 ms, with `slowdown` reported.
server_pool pool_of_two(const backend& one, const backend& two, std::optional<double> slowdown) {
    server_pool pool({}, "a", {});
    pool.update({&one, &two}, 1'000, 1);
    for (int i = 0; i < 20; ++i) {
        for (const auto& id : {one.self.id, two.self.id}) {
            pool.attempt_started(id, begin);
            pool.attempt_ended(id, attempt_result::answered, milliseconds{100},
                               load_report{1, 0, 4, slowdown}, begin + milliseconds{50 * i});
        }
    }
    return pool;
}
constexpr time_point learned = begin + milliseconds{950}; // When the last of these answers arrived.

} // namespace

class speed_estimate_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(speed_estimate_test);
    CPPUNIT_TEST(nothing_stated_changes_nothing);
    CPPUNIT_TEST(a_statement_decays_within_a_second);
    CPPUNIT_TEST(work_and_elapsed_time_are_opposites);
    CPPUNIT_TEST(the_long_term_speed_is_the_mean_of_the_speeds);
    CPPUNIT_TEST(a_single_slow_answer_does_not_empty_a_server);
    CPPUNIT_TEST(service_times_are_net_of_the_speed);
    CPPUNIT_TEST(reports_without_a_speed_select_as_before);
    CPPUNIT_TEST(the_other_figures_of_the_report_count);
    CPPUNIT_TEST_SUITE_END();

    void nothing_stated_changes_nothing() {
        const speed_estimate e;
        CPPUNIT_ASSERT(!e.known());
        CPPUNIT_ASSERT_EQUAL(123.0, e.elapsed_ms(123, begin));
        CPPUNIT_ASSERT_EQUAL(123.0, e.work_ms(milliseconds{123}, begin));
        CPPUNIT_ASSERT_EQUAL(1.0, e.ratio(begin));
    }

    /// Guards against a statement that is held for true long after the spell has ended.
    void a_statement_decays_within_a_second() {
        speed_estimate e;
        e.stated(3, begin);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, e.ratio(begin), 0.01);
        CPPUNIT_ASSERT(e.ratio(begin + milliseconds{200}) < 1.6);
        CPPUNIT_ASSERT(e.ratio(begin + milliseconds{1'000}) < 1.03);
        const double at_once = e.elapsed_ms(100, begin);
        CPPUNIT_ASSERT(at_once > 150 && at_once < 300);
        // The slow spell costs a bounded time, however long the work is.
        CPPUNIT_ASSERT(e.elapsed_ms(5'000, begin) < 5'250);
        CPPUNIT_ASSERT(e.elapsed_ms(100, begin + milliseconds{1'000}) < 103);
    }

    void work_and_elapsed_time_are_opposites() {
        CPPUNIT_ASSERT(rc::check("finite, positive, and the same amount of work both ways", [] {
            speed_estimate e;
            auto now = begin;
            const auto count = *rc::gen::inRange(1, 20);
            for (int i = 0; i < count; ++i) {
                now += milliseconds{*rc::gen::inRange(0, 3'000)};
                // Far outside of what a server can mean, too.
                e.stated(*rc::gen::inRange(1, 2'000'000) / 1'000.0, now);
            }
            const double work = *rc::gen::inRange(1, 100'000);
            const double elapsed = e.elapsed_ms(work, now);
            RC_ASSERT(std::isfinite(elapsed) && elapsed > 0);
            RC_ASSERT(elapsed >= work / 41 && elapsed <= work * 41);
            // Time that lies as far ahead of the statement as the request's time lies behind it.
            const milliseconds took{static_cast<std::int64_t>(elapsed)};
            speed_estimate only;
            only.stated(e.ratio(now), now);
            const double done = only.work_ms(took, now);
            RC_ASSERT(std::isfinite(done) && done >= 0);
        }));
        for (const double slowdown : {0.5, 1.0, 3.0}) {
            speed_estimate e;
            e.stated(slowdown, begin);
            for (const double work : {20.0, 100.0, 400.0}) {
                const milliseconds took{std::llround(e.elapsed_ms(work, begin))};
                CPPUNIT_ASSERT_DOUBLES_EQUAL(work, e.work_ms(took, begin), 0.04 * work);
            }
        }
    }

    /// Guards against a server that is always slow and would count as one of normal speed, and against a
    /// single spell that changes the long-term figure.
    void the_long_term_speed_is_the_mean_of_the_speeds() {
        speed_estimate e;
        for (int ms = 0; ms < 100'000; ms += 50) {
            e.stated(ms % 2'000 < 400 ? 3 : 1, begin + milliseconds{ms});
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1 / (0.8 + 0.2 / 3), e.long_term_slowdown(), 0.05);
        speed_estimate once;
        for (int ms = 0; ms <= 400; ms += 50) {
            once.stated(3, begin + milliseconds{ms});
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, once.long_term_slowdown(), 0.02);
    }

    /// Guards against one server that loses all requests, and the others that get them all at once, because
    /// of a slowdown that has passed before the requests arrive.
    void a_single_slow_answer_does_not_empty_a_server() {
        const auto one = make_backend("one");
        const auto two = make_backend("two");
        auto pool = pool_of_two(one, two, 1.0);
        pool.attempt_started("one", learned);
        pool.attempt_ended("one", attempt_result::answered, milliseconds{100}, load_report{1, 0, 4, 3.0},
                           learned);
        std::mt19937_64 random(1);
        const auto share_of_one = [&](time_point at) {
            int chosen = 0;
            for (int i = 0; i < 1'000; ++i) {
                chosen += pool.choose(request, at, random).server == "one" ? 1 : 0;
            }
            return chosen / 1'000.0;
        };
        CPPUNIT_ASSERT(share_of_one(learned) > 0);
        CPPUNIT_ASSERT(share_of_one(learned) < 0.3);
        CPPUNIT_ASSERT(share_of_one(learned + milliseconds{1'500}) > 0.3);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), pool.check("one", request, learned).server);
        for (int i = 0; i < 16; ++i) { // As many as run or wait at both servers in a busy time.
            pool.attempt_started(pool.choose(request, learned, random).server, learned);
        }
        CPPUNIT_ASSERT(pool.in_flight("one") >= 3 && pool.in_flight("one") < pool.in_flight("two"));
    }

    /// Guards against keys that move since a spell made their owner look slow.
    void service_times_are_net_of_the_speed() {
        const auto one = make_backend("one");
        const auto two = make_backend("two");
        auto pool = pool_of_two(one, two, 1.0);
        pool.take_samples();
        for (int ms = 0; ms <= 700; ms += 50) {
            pool.attempt_started("one", learned);
            // The spell begins with the first statement; requests that end before 300 ms ran partly before
            // it.
            pool.attempt_ended("one", ms < 300 ? attempt_result::refused : attempt_result::answered,
                               milliseconds{300}, load_report{1, 0, 4, 3.0}, learned + milliseconds{ms});
        }
        const auto samples = pool.take_samples();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, samples.size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, samples[0].total_ms / samples[0].answers, 20);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, static_cast<double>(pool.service_time("one").count()), 20);
    }

    /// Guards against a change for deployments whose servers do not report a speed.
    void reports_without_a_speed_select_as_before() {
        const auto one = make_backend("one");
        const auto two = make_backend("two");
        auto pool = pool_of_two(one, two, std::nullopt);
        std::mt19937_64 random(7);
        std::mt19937_64 expected(7);
        pool.choose(request, learned, random);
        std::uniform_real_distribution<double> jitter(0.95, 1.05);
        jitter(expected);
        jitter(expected);
        CPPUNIT_ASSERT_MESSAGE("two servers, two random numbers", random == expected);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{100},
                             std::int64_t{pool.check("one", request, learned).expected_latency.count()});
        CPPUNIT_ASSERT(!pool.reports_slowdown("one"));
    }

    /// Guards against a report with a speed whose other figures are passed over.
    void the_other_figures_of_the_report_count() {
        const auto one = make_backend("one");
        const auto two = make_backend("two");
        auto pool = pool_of_two(one, two, 1.0);
        pool.attempt_started("one", learned);
        pool.attempt_ended("one", attempt_result::answered, milliseconds{100}, load_report{4, 5, 4, 1.0},
                           learned);
        CPPUNIT_ASSERT(pool.check("one", request, learned).expected_latency > milliseconds{200});
        CPPUNIT_ASSERT(pool.reports_slowdown("one"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(speed_estimate_test);

} // namespace balsampost::core::load
