// Tests of the start order of pipelined requests, including a property test with any mix of idempotent and
// other requests and any order of completion.
#include "balsampost/core/request_pipeline.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <utility>

namespace balsampost::core {

class request_pipeline_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_pipeline_test);
    CPPUNIT_TEST(startable_requests);
    CPPUNIT_TEST(order_holds_for_any_sequence_of_events);
    CPPUNIT_TEST_SUITE_END();

    void startable_requests() {
        struct row {
            const char* name;
            std::vector<bool> idempotent;
            std::size_t starts;
        };
        const std::vector<row> rows{
            {"single request", {false}, 1},
            {"idempotent requests start together", {true, true, true}, 3},
            {"nothing starts after a non-idempotent request", {false, true, true}, 1},
            {"a non-idempotent request waits for earlier ones", {true, true, false, true}, 2},
        };
        for (const auto& r : rows) {
            request_pipeline p(8);
            for (const bool idempotent : r.idempotent) {
                p.add(idempotent);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(r.name, r.starts, p.take_startable().size());
            CPPUNIT_ASSERT_MESSAGE(r.name, p.take_startable().empty());
        }
    }

    void order_holds_for_any_sequence_of_events() {
        CPPUNIT_ASSERT(rc::check("requests start and are answered in the permitted order", [] {
            constexpr std::size_t capacity = 4;
            request_pipeline p(capacity);
            std::map<request_pipeline::ticket, bool> kinds;
            std::vector<request_pipeline::ticket> running;
            std::vector<request_pipeline::ticket> written;
            const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
            for (const int e : events) {
                if (e % 4 == 0 && !p.full()) {
                    const bool idempotent = e % 3 != 0;
                    const auto t = p.add(idempotent);
                    RC_ASSERT(t == kinds.size() + 1);
                    kinds[t] = idempotent;
                } else if (e % 4 == 1 && !running.empty()) {
                    const auto at = running.begin() + e % static_cast<int>(running.size());
                    p.answered(*at);
                    running.erase(at);
                } else if (e % 4 == 2 && p.can_write()) {
                    written.push_back(p.first());
                    p.pop();
                }
                for (const auto t : p.take_startable()) {
                    const bool first = t == written.size() + 1;
                    RC_ASSERT(first || kinds.at(t));
                    for (auto earlier = written.size() + 1; earlier < t; ++earlier) {
                        RC_ASSERT(kinds.at(earlier));
                    }
                    running.push_back(t);
                }
                RC_ASSERT(p.size() <= capacity);
            }
            // All remaining requests can be finished, in order.
            while (!p.empty()) {
                for (const auto t : p.take_startable()) {
                    running.push_back(t);
                }
                for (const auto t : std::exchange(running, {})) {
                    p.answered(t);
                }
                RC_ASSERT(p.can_write());
                written.push_back(p.first());
                p.pop();
            }
            RC_ASSERT(written.size() == kinds.size());
            RC_ASSERT(std::is_sorted(written.begin(), written.end()));
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_pipeline_test);

} // namespace balsampost::core
