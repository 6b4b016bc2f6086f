// Tests of a server's queue (order, limits, early refusal, fairness, concurrency limit) and of the retry
// budget.
#include "balsampost/core/retry_budget.h"
#include "balsampost/core/server_queue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace balsampost::core {

namespace {

time_point at(int ms) {
    return time_point(milliseconds(1000 + ms));
}

queued_request request(request_number number, const char* caller, int deadline_ms, std::uint64_t bytes = 0) {
    return {number, caller, 0, bytes, at(deadline_ms)};
}

} // namespace

class server_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_queue_test);
    CPPUNIT_TEST(running_requests_never_exceed_slots);
    CPPUNIT_TEST(requests_are_refused_by_limits_and_deadlines);
    CPPUNIT_TEST(earliest_deadline_starts_first);
    CPPUNIT_TEST(callers_are_served_fairly);
    CPPUNIT_TEST(concurrency_limit_adapts_to_results);
    CPPUNIT_TEST(accepted_requests_leave_the_queue_exactly_once);
    CPPUNIT_TEST(retries_are_earned_by_successes);
    CPPUNIT_TEST_SUITE_END();

    void running_requests_never_exceed_slots() {
        server_queue q({2, 10, 1000});
        for (request_number n = 1; n <= 3; ++n) {
            CPPUNIT_ASSERT(!q.enqueue(request(n, "a", 1000), at(0)));
        }
        const auto first = q.start_next(at(0));
        CPPUNIT_ASSERT(first && q.start_next(at(0)) && !q.start_next(at(0)));
        q.finished(*first, run_result::completed, milliseconds(5), at(5));
        CPPUNIT_ASSERT(q.start_next(at(5)));
    }

    void requests_are_refused_by_limits_and_deadlines() {
        struct row {
            const char* name;
            queue_limits limits;
            int queued;
            queued_request next;
            std::optional<refusal_reason> expected;
        };
        const std::vector<row> rows{
            {"below all limits", {1, 2, 100}, 1, request(9, "b", 1000), std::nullopt},
            {"request limit reached", {1, 2, 100}, 2, request(9, "b", 1000), refusal_reason::queue_full},
            {"byte limit exceeded", {1, 9, 100}, 1, request(9, "b", 1000, 101), refusal_reason::queue_full},
            {"deadline passed", {1, 9, 100}, 0, request(9, "b", 0), refusal_reason::deadline},
            {"deadline cannot be met", {1, 99, 100}, 8, request(9, "a", 30), refusal_reason::deadline},
            {"short deadline, but a free slot", {1, 9, 100}, 0, request(9, "b", 3), std::nullopt},
        };
        for (const auto& r : rows) {
            server_queue q(r.limits);
            for (request_number n = 1; n <= static_cast<request_number>(r.queued); ++n) {
                q.enqueue(request(n, "a", 5000), at(0));
            }
            CPPUNIT_ASSERT_MESSAGE(r.name, q.enqueue(r.next, at(0)) == r.expected);
        }
    }

    void earliest_deadline_starts_first() {
        server_queue q({1, 10, 1000});
        q.enqueue(request(1, "a", 900), at(0));
        q.enqueue(request(2, "b", 500), at(0));
        CPPUNIT_ASSERT_EQUAL(request_number{2}, q.start_next(at(0))->number);
    }

    void callers_are_served_fairly() {
        server_queue q({1, 100, 1000});
        for (request_number n = 1; n <= 40; ++n) {
            q.enqueue(request(n, "greedy", 5000), at(0));
        }
        q.enqueue(request(50, "modest", 6000), at(0));
        int before = 0;
        for (;;) {
            const auto next = q.start_next(at(0));
            if (next->caller == "modest") {
                break;
            }
            ++before;
            q.finished(*next, run_result::completed, milliseconds(1), at(0));
        }
        CPPUNIT_ASSERT(before <= 3); // Not after all forty waiting requests.
    }

    void concurrency_limit_adapts_to_results() {
        server_queue q({8, 100, 1000});
        const auto run = [&](run_result result, int ms) {
            q.enqueue(request(static_cast<request_number>(ms), "a", ms + 5000), at(ms));
            const auto next = q.start_next(at(ms));
            q.finished(*next, result, milliseconds(5), at(ms));
        };
        CPPUNIT_ASSERT_EQUAL(8U, q.concurrency_limit());
        for (int i = 1; i <= 20; ++i) {
            run(run_result::shed, i * 100);
        }
        CPPUNIT_ASSERT_EQUAL(1U, q.concurrency_limit());
        for (int i = 1; i <= 60; ++i) {
            run(run_result::completed, 3000 + i);
        }
        CPPUNIT_ASSERT_EQUAL(8U, q.concurrency_limit());
        q.begin_slow_start();
        CPPUNIT_ASSERT_EQUAL(2U, q.concurrency_limit());
    }

    void accepted_requests_leave_the_queue_exactly_once() {
        const bool ok = rc::check("each accepted request leaves the queue exactly once", [] {
            server_queue q({3, 20, 500});
            std::map<request_number, int> ends;
            std::vector<queued_request> running;
            std::size_t accepted = 0;
            const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
            int ms = 0;
            for (const auto step : steps) {
                ++ms;
                if (step < 50) {
                    const auto r =
                        request(static_cast<request_number>(ms), step % 2 == 0 ? "a" : "b", ms + step, 10);
                    accepted += q.enqueue(r, at(ms)) ? 0 : 1;
                } else if (step < 75) {
                    if (const auto next = q.start_next(at(ms))) {
                        running.push_back(*next);
                    }
                } else if (step < 90 && !running.empty()) {
                    q.finished(running.back(), run_result::completed, milliseconds(1), at(ms));
                    ++ends[running.back().number];
                    running.pop_back();
                } else {
                    for (const auto& r : q.extract_if([&](const auto& w) { return w.deadline <= at(ms); })) {
                        ++ends[r.number];
                    }
                }
                RC_ASSERT(q.running() == running.size() && q.running() <= 3);
                RC_ASSERT(q.waiting_bytes() == q.waiting() * 10);
                RC_ASSERT(accepted == q.waiting() + running.size() + ends.size());
            }
            for (const auto& [number, count] : ends) {
                RC_ASSERT(count == 1);
            }
        });
        CPPUNIT_ASSERT(ok);
    }

    void retries_are_earned_by_successes() {
        retry_budget budget({0.1, 2, milliseconds(10), milliseconds(200)});
        CPPUNIT_ASSERT(budget.take() && budget.take() && !budget.take());
        for (int i = 0; i < 11; ++i) {
            budget.record_success();
        }
        CPPUNIT_ASSERT(budget.take() && !budget.take());
        CPPUNIT_ASSERT(budget.backoff(1, 0) == milliseconds(5));
        CPPUNIT_ASSERT(budget.backoff(60, ~0ULL) <= milliseconds(200));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_queue_test);

} // namespace balsampost::core
