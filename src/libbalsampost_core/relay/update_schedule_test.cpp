// Updates of a relay in a burst of changes, in virtual time: every receiver keeps hearing of changes although
// the updates of all of them exceed what the link takes at once.
#include "balsampost/core/relay/update_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

namespace balsampost::core::relay {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t update_bytes = 28U << 10U; // Two segments of changes and a part of a key table.
constexpr auto push_interval = 300ms;
constexpr auto tick = 1ms;

/// A socket buffer that the link empties; a datagram that does not fit is not taken.
class slow_link {
public:
    slow_link(std::size_t capacity, double bytes_per_s) : m_capacity(capacity), m_rate(bytes_per_s) {}

    bool take(std::size_t bytes, time_point now) {
        m_queued = std::max(0.0, m_queued - std::chrono::duration<double>(now - m_at).count() * m_rate);
        m_at = now;
        if (m_queued + static_cast<double>(bytes) > static_cast<double>(m_capacity)) {
            return false;
        }
        m_queued += static_cast<double>(bytes);
        return true;
    }

private:
    std::size_t m_capacity;
    double m_rate;
    double m_queued = 0;
    time_point m_at{};
};

using receivers = std::vector<update_receiver>;

receivers members(std::size_t count) {
    receivers out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back({"s", "member-" + std::to_string(i)});
    }
    return out;
}

/// Longest time for which some receiver got nothing, over `length`. `step` is called each millisecond and
/// reports each update that the link took.
duration longest_silence(
    const receivers& all, duration length,
    const std::function<void(time_point, const std::function<void(const update_receiver&)>&)>& step) {
    std::map<update_receiver, time_point> heard;
    for (const auto& r : all) {
        heard[r] = time_point{};
    }
    duration longest{0};
    for (time_point now{}; now < time_point{} + length; now += tick) {
        step(now, [&](const update_receiver& r) { heard[r] = now; });
        for (const auto& [r, at] : heard) {
            longest = std::max<duration>(longest, now - at);
        }
    }
    return longest;
}

bool pushes_at(time_point now) {
    return now.time_since_epoch() % push_interval == duration{0};
}

} // namespace

class update_schedule_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(update_schedule_test);
    CPPUNIT_TEST(all_receivers_hear_of_a_burst_of_changes);
    CPPUNIT_TEST(a_receiver_that_waits_keeps_its_place);
    CPPUNIT_TEST(small_updates_are_sent_at_once);
    CPPUNIT_TEST(the_rate_holds_over_time);
    CPPUNIT_TEST_SUITE_END();

    /// On a fleet of 295 instances half of each relay's members heard nothing for 1.8 s, and a request
    /// reached a server that had left for longer than the bound: the socket did not take the updates at the
    /// end of the list.
    void all_receivers_hear_of_a_burst_of_changes() {
        const auto all = members(16);
        constexpr std::size_t socket_bytes = 208U << 10U;
        constexpr double link_bytes_per_s = 2.5e6;
        slow_link in_order(socket_bytes, link_bytes_per_s);
        const auto by_list = longest_silence(all, 3s, [&](time_point now, const auto& taken) {
            for (const auto& r : pushes_at(now) ? all : receivers()) {
                if (in_order.take(update_bytes, now)) {
                    taken(r);
                }
            }
        });
        CPPUNIT_ASSERT_MESSAGE("the load that this test answers", by_list > 2'900ms);

        slow_link paced(socket_bytes, link_bytes_per_s);
        update_schedule schedule({link_bytes_per_s / 2, 128U << 10U, 4ms});
        const auto by_turn = longest_silence(all, 3s, [&](time_point now, const auto& taken) {
            for (const auto& r : pushes_at(now) ? all : receivers()) {
                schedule.request(r);
            }
            while (const auto r = schedule.next(now)) {
                if (!paced.take(update_bytes, now)) {
                    schedule.blocked(*r, now);
                    break;
                }
                schedule.sent(update_bytes, now);
                taken(*r);
            }
        });
        // An instance gives its relay up after 1.2 s.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(std::chrono::duration<double>(by_turn).count()),
                               by_turn < 1'200ms);
    }

    void a_receiver_that_waits_keeps_its_place() {
        update_schedule schedule({1e6, 1'000, 4ms});
        const auto all = members(3);
        const time_point at{};
        for (const auto& r : all) {
            schedule.request(r);
        }
        CPPUNIT_ASSERT(schedule.next(at) == all[0]);
        schedule.sent(2'000, at);
        CPPUNIT_ASSERT_MESSAGE("the rate is used up", !schedule.next(at));
        schedule.request(all[0]);
        schedule.request(all[1]);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, schedule.waiting());
        const auto due = schedule.next_due(at);
        CPPUNIT_ASSERT(due > at);
        CPPUNIT_ASSERT(schedule.next(due) == all[1]);
        schedule.blocked(all[1], due);
        CPPUNIT_ASSERT(!schedule.next(due));
        CPPUNIT_ASSERT(schedule.next(due + 4ms) == all[1]);
        CPPUNIT_ASSERT(schedule.next(due + 4ms) == all[2]);
        CPPUNIT_ASSERT(schedule.next(due + 4ms) == all[0]);
        CPPUNIT_ASSERT(schedule.next_due(due) == time_point::max());
    }

    void small_updates_are_sent_at_once() {
        update_schedule schedule;
        const auto all = members(18);
        for (const auto& r : all) {
            schedule.request(r);
        }
        std::size_t count = 0;
        while (schedule.next(time_point{})) {
            schedule.sent(2'000, time_point{});
            ++count;
        }
        CPPUNIT_ASSERT_EQUAL(all.size(), count);
    }

    void the_rate_holds_over_time() {
        constexpr double rate = 1e6;
        update_schedule schedule({rate, 50'000, 4ms});
        const auto all = members(40);
        std::size_t bytes = 0;
        for (time_point now{}; now < time_point{} + 5s; now += tick) {
            for (const auto& r : all) {
                schedule.request(r);
            }
            while (schedule.next(now)) {
                schedule.sent(update_bytes, now);
                bytes += update_bytes;
            }
        }
        CPPUNIT_ASSERT(bytes <= 5 * rate + 50'000 + update_bytes);
        CPPUNIT_ASSERT(bytes >= 5 * rate - update_bytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(update_schedule_test);

} // namespace balsampost::core::relay
