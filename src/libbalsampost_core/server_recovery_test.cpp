// Tests that nothing a pool has learned keeps it from its servers for good: whatever happened before, sound
// servers get requests again, and none is refused for want of a server.
#include "balsampost/core/server_selection.h"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <deque>
#include <string>

namespace balsampost::core {

using namespace std::chrono_literals;

namespace {

constexpr milliseconds time_limit{1'200};
constexpr milliseconds request_interval{20};
constexpr milliseconds max_recovery{5'000};

/// One event of the history: an attempt at a server that ended in some way, after a time.
struct past_attempt {
    std::size_t server = 0;
    attempt_result result = attempt_result::answered;
    milliseconds took{0};
    milliseconds pause_before{0};
    std::uint32_t waiting = 0;
};

rc::Gen<past_attempt> any_attempt(std::size_t server_count) {
    return rc::gen::build<past_attempt>(
        rc::gen::set(&past_attempt::server, rc::gen::inRange<std::size_t>(0, server_count)),
        rc::gen::set(&past_attempt::result,
                     rc::gen::element(attempt_result::answered, attempt_result::failed,
                                      attempt_result::refused, attempt_result::broken,
                                      attempt_result::unreachable, attempt_result::silent)),
        rc::gen::set(&past_attempt::took,
                     rc::gen::map(rc::gen::inRange(0, 60'000), [](int ms) { return milliseconds{ms}; })),
        rc::gen::set(&past_attempt::pause_before,
                     rc::gen::map(rc::gen::inRange(0, 500), [](int ms) { return milliseconds{ms}; })),
        rc::gen::set(&past_attempt::waiting, rc::gen::inRange<std::uint32_t>(0, 40)));
}

class pool_rig {
public:
    explicit pool_rig(std::size_t server_count) : m_pool({}, "d", {{"d", "r"}}) {
        for (std::size_t i = 0; i < server_count; ++i) {
            backend b;
            b.self = {"s" + std::to_string(i), 1};
            b.service = "s";
            b.failure_domain = "d";
            b.slots = 4;
            m_servers.push_back(b);
        }
        std::vector<const backend*> listed;
        for (const auto& b : m_servers) {
            listed.push_back(&b);
        }
        m_pool.update(listed, 100, 1);
    }

    void play(const past_attempt& a) {
        m_now += a.pause_before;
        const auto& id = m_servers[a.server].self.id;
        const auto attempt = m_pool.attempt_started(id, m_now);
        m_now += a.took;
        m_pool.attempt_ended(id, a.result, a.took, load_report{1, a.waiting, 4}, m_now, attempt);
    }

    /// Sends requests to sound servers for `max_recovery` and half a second. Returns what is still wrong
    /// then. `keyed`: each request has an owner, one after the other; else the pool chooses.
    std::string recover(bool keyed) {
        const auto end = m_now + max_recovery;
        std::vector<bool> attempted(m_servers.size());
        std::size_t next_owner = 0;
        int refused_late = 0;
        for (; m_now < end + 500ms; m_now += request_interval) {
            while (!m_running.empty() && m_running.front().ends_at <= m_now) {
                const auto r = m_running.front();
                m_running.pop_front();
                m_pool.attempt_ended(r.server, attempt_result::answered, service_time, load_report{1, 0, 4},
                                     r.ends_at, r.attempt);
            }
            selection_request request;
            request.time_to_target = 1'000ms;
            request.time_to_deadline = request.full_time = time_limit;
            const auto& owner = m_servers[next_owner++ % m_servers.size()].self.id;
            const auto choice =
                keyed ? m_pool.check(owner, request, m_now) : m_pool.choose(request, m_now, m_random);
            if (choice.server.empty()) {
                refused_late += m_now >= end ? 1 : 0;
                continue;
            }
            m_running.push_back({choice.server, m_now + service_time,
                                 m_pool.attempt_started(choice.server, m_now, {}, choice.is_trial)});
            for (std::size_t i = 0; i < m_servers.size(); ++i) {
                attempted[i] = attempted[i] || m_servers[i].self.id == choice.server;
            }
        }
        if (refused_late > 0) {
            return std::to_string(refused_late) + " requests refused";
        }
        return std::find(attempted.begin(), attempted.end(), false) == attempted.end() || !keyed
                   ? ""
                   : "a server got no request";
    }

    server_pool& pool() { return m_pool; }
    const std::string& id(std::size_t i) const { return m_servers[i].self.id; }
    time_point now() const { return m_now; }

private:
    static constexpr milliseconds service_time{100};
    struct running {
        std::string server;
        time_point ends_at;
        cost::attempt attempt;
    };
    server_pool m_pool;
    std::vector<backend> m_servers;
    std::deque<running> m_running; // In order of their ends.
    std::mt19937_64 m_random{1};
    time_point m_now{100s};
};

} // namespace

class server_recovery_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_recovery_test);
    CPPUNIT_TEST(sound_servers_are_used_again_after_any_history);
    CPPUNIT_TEST(estimates_beyond_the_deadline_do_not_last);
    CPPUNIT_TEST(hopeless_requests_are_refused_at_once);
    CPPUNIT_TEST(trials_of_a_slow_server_are_few);
    CPPUNIT_TEST_SUITE_END();

    void sound_servers_are_used_again_after_any_history() {
        const bool held = rc::check("Sound servers are used again after any history", [] {
            const auto count = *rc::gen::inRange<std::size_t>(1, 6);
            const auto history = *rc::gen::container<std::vector<past_attempt>>(any_attempt(count));
            for (const bool keyed : {false, true}) {
                pool_rig rig(count);
                for (const auto& a : history) {
                    rig.play(a);
                }
                RC_ASSERT(rig.recover(keyed) == "");
            }
        });
        CPPUNIT_ASSERT(held);
    }

    /// Guards against an entry that refuses all requests for good: refused requests make no attempts, and the
    /// estimates decayed only towards their own mean.
    void estimates_beyond_the_deadline_do_not_last() {
        for (const bool keyed : {false, true}) {
            for (const std::size_t slow : {1U, 2U, 4U, 5U}) {
                pool_rig rig(5);
                for (std::size_t i = 0; i < 5; ++i) {
                    rig.play({i, attempt_result::answered, i < slow ? 30'000ms : 100ms, 0ms, 0});
                }
                CPPUNIT_ASSERT_EQUAL(std::string(), rig.recover(keyed));
            }
        }
    }

    void hopeless_requests_are_refused_at_once() {
        pool_rig rig(1);
        rig.play({0, attempt_result::answered, 400ms, 0ms, 0});
        std::mt19937_64 random{1};
        selection_request request;
        request.full_time = time_limit;
        request.time_to_deadline = 300ms; // The rest was used elsewhere.
        const auto later = rig.now() + 10s;
        CPPUNIT_ASSERT(rig.pool().choose(request, later, random).server.empty());
        CPPUNIT_ASSERT(rig.pool().check(rig.id(0), request, later).server.empty());
    }

    void trials_of_a_slow_server_are_few() {
        pool_rig rig(1);
        rig.play({0, attempt_result::answered, 30'000ms, 0ms, 0});
        std::mt19937_64 random{1};
        selection_request request;
        request.time_to_deadline = request.full_time = time_limit;
        int trials = 0;
        auto at = rig.now();
        for (const auto end = at + 30s; at < end; at += 10ms) {
            const auto choice = rig.pool().choose(request, at, random);
            if (choice.server.empty()) {
                continue;
            }
            CPPUNIT_ASSERT(choice.is_trial);
            ++trials;
            const auto attempt = rig.pool().attempt_started(choice.server, at, {}, true);
            at += time_limit;
            rig.pool().attempt_ended(choice.server, attempt_result::silent, time_limit, std::nullopt, at,
                                     attempt);
        }
        CPPUNIT_ASSERT(trials >= 5);
        CPPUNIT_ASSERT(trials <= 18);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_recovery_test);

} // namespace balsampost::core
