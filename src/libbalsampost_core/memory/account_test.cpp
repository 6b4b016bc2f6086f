// Tests of the memory account and the closing order. They guard against memory that stays counted after a
// connection has ended, against a sum above the total, and against a crowd that makes ordinary callers lose
// their connections first.
#include "balsampost/core/memory/account.h"
#include "balsampost/core/memory/closing_order.h"
#include "balsampost/core/memory/progress.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <memory>

namespace balsampost::core::memory {

using std::chrono::milliseconds;

class memory_account_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(memory_account_test);
    CPPUNIT_TEST(sums_hold_for_any_sequence_of_changes);
    CPPUNIT_TEST(each_limit_is_named);
    CPPUNIT_TEST(order_of_closing);
    CPPUNIT_TEST(progress_rule_compares_windows);
    CPPUNIT_TEST_SUITE_END();

    /// The model adds up all holdings anew after each step; the account keeps running sums.
    void sums_hold_for_any_sequence_of_changes() {
        CPPUNIT_ASSERT(rc::check("sums of the account", [] {
            const auto up_to = [](std::uint64_t most) { return *rc::gen::inRange<std::uint64_t>(0, most); };
            account a({up_to(1'000), up_to(1'000), up_to(1'000)});
            struct open_holding {
                std::string address; // Empty for a server.
                std::unique_ptr<holding> held;
            };
            std::vector<open_holding> open;
            const int steps = *rc::gen::inRange(1, 200);
            for (int i = 0; i < steps; ++i) {
                const auto action = *rc::gen::inRange(0, 4);
                if (action == 0 || open.empty()) {
                    const auto address = std::string(*rc::gen::element("", "a", "b", "c"));
                    open.push_back({address, address.empty() ? std::make_unique<holding>(a)
                                                             : std::make_unique<holding>(a, address)});
                } else if (action == 1) {
                    open.erase(open.begin() + *rc::gen::inRange<int>(0, static_cast<int>(open.size())));
                } else {
                    auto& h = *open[*rc::gen::inRange<std::size_t>(0, open.size())].held;
                    const auto before = h.bytes();
                    const auto wanted =
                        *rc::gen::element<std::uint64_t>(0, 1, 10, 500, 1'000, UINT64_MAX, up_to(1'100));
                    const auto result = h.set(wanted);
                    RC_ASSERT(h.bytes() == (result == charge_result::granted ? wanted : before));
                    RC_ASSERT(wanted > before || result == charge_result::granted);
                }
                std::uint64_t sum = 0;
                std::map<std::string, std::uint64_t> by_address;
                for (const auto& o : open) {
                    sum += o.held->bytes();
                    RC_ASSERT(o.address.empty() || o.held->bytes() <= a.limits().connection);
                    if (!o.address.empty()) {
                        by_address[o.address] += o.held->bytes();
                    }
                }
                RC_ASSERT(a.used() == sum);
                RC_ASSERT(sum <= a.limits().total);
                RC_ASSERT(a.address_count() == by_address.size());
                for (const auto& [address, bytes] : by_address) {
                    RC_ASSERT(a.used_by(address) == bytes);
                    RC_ASSERT(bytes <= a.limits().address);
                }
            }
            open.clear();
            RC_ASSERT(a.used() == 0U);
            RC_ASSERT(a.address_count() == 0U);
        }));
    }

    void each_limit_is_named() {
        account a({100, 50, 70});
        holding first(a, "a");
        holding second(a, "a");
        holding third(a, "b");
        holding server(a);
        CPPUNIT_ASSERT(first.set(51) == charge_result::connection_full);
        CPPUNIT_ASSERT(first.set(50) == charge_result::granted);
        CPPUNIT_ASSERT(second.set(21) == charge_result::address_full);
        CPPUNIT_ASSERT(second.set(20) == charge_result::granted);
        CPPUNIT_ASSERT(third.set(31) == charge_result::total_full);
        CPPUNIT_ASSERT(server.set(31) == charge_result::total_full);
        CPPUNIT_ASSERT(server.set(30) == charge_result::granted);
        first.close();
        CPPUNIT_ASSERT(first.set(1) == charge_result::granted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, a.used());
    }

    void order_of_closing() {
        const time_point now{std::chrono::hours{1}};
        const auto ago = [&](int ms) { return now - milliseconds{ms}; };
        const std::vector<candidate> all{
            {activity::busy, 500, 0, ago(5'000), ago(5'000)},               // 0: large
            {activity::idle, 1, 0, ago(2'000), ago(2'000)},                 // 1
            {activity::waits_for_caller, 300, 0, ago(3'000), ago(3'000)},   // 2: stalled
            {activity::idle, 1, 0, ago(9'000), ago(9'000)},                 // 3: idle for longest
            {activity::waits_for_caller, 900, 50'000, ago(2'000), ago(10)}, // 4: fast, the largest
            {activity::waits_for_caller, 200, 2, ago(2'000), ago(100)},     // 5: slow
            {activity::idle, 1, 0, ago(10), ago(10)},                       // 6: has just ended a request
            {activity::busy, 10, 0, ago(5'000), ago(5'000)},                // 7: an ordinary caller
            {activity::waits_for_caller, 100, 0, ago(10), ago(10)},         // 8: has just begun
        };
        const auto order = closing_order(all, now, 20);
        const std::vector<std::size_t> expected{3, 1, 2, 5, 4, 0, 8};
        CPPUNIT_ASSERT_EQUAL(expected.size(), order.size());
        for (std::size_t i = 0; i < expected.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(expected[i], order[i].index);
        }
        CPPUNIT_ASSERT(order[1].cause == closing_cause::idle && order[3].cause == closing_cause::slow &&
                       order[4].cause == closing_cause::largest);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, closing_order_without_largest(all, now).size());
    }

    void progress_rule_compares_windows() {
        const progress_rule rule{100, milliseconds{2'000}};
        const time_point start{std::chrono::hours{1}};
        progress_meter m;
        m.start(start);
        m.add(start + milliseconds{500}, 199);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{199}, m.rate(start + milliseconds{500}));
        CPPUNIT_ASSERT(!m.end_window(rule, start + milliseconds{2'000}));
        m.add(start + milliseconds{2'500}, 200);
        CPPUNIT_ASSERT(m.end_window(rule, start + milliseconds{4'000}));
        CPPUNIT_ASSERT(!m.end_window(rule, start + milliseconds{6'000}));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(memory_account_test);

} // namespace balsampost::core::memory
