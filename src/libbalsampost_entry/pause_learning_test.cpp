// Tests that the time in which this process stood still is not taken for a server's.
#include "balsampost/entry/entry_metrics.h"
#include "balsampost/entry/forwarding.h"
#include "fakes.h"

#include <cppunit/extensions/HelperMacros.h>

namespace balsampost::entry {

namespace {

using namespace std::chrono_literals;

constexpr core::milliseconds pause_length{400};

/// An instance whose event loop is not run, as if the process was frozen, while a server works.
class paused_instance {
public:
    paused_instance() : m_client(m_context, m_timers, {}), m_state(m_config), m_server(m_context) {
        core::manifest m;
        m.version = 1;
        m.services["s"] = {"s", 100, false};
        core::route r;
        r.name = "r";
        r.host = "h";
        r.path_prefix = "/";
        r.semantics = core::execution_semantics::once;
        r.timeout = r.target_latency = 300ms;
        r.max_attempts = 1;
        r.destinations = {{"s", 1}};
        m.routes = {r};
        core::backend b;
        b.self = {"one", 1};
        b.service = "s";
        b.address = m_server.at();
        b.failure_domain = "d";
        b.slots = 4;
        m_state.directory().put(b, now());
        m_state.set_manifest(m);
        m_server.hold();
    }

    /// Sends a request, stands still, and lets the server answer before or after the pause.
    void play(bool answered) {
        beat();
        caller_request request;
        request.method = "POST";
        request.target = "/x";
        request.headers.set("Host", "h");
        request.headers.set("Request-Id", "req-1");
        request.arrived = now();
        bool ended = false;
        auto f = std::make_shared<forwarding>(
            forwarding_context{m_state, m_client, m_timers, m_platform, m_metrics}, std::move(request),
            [&](const caller_answer&) { ended = true; });
        f->start();
        while (m_server.seen().empty()) {
            m_context.restart();
            m_context.run_for(1ms);
            beat();
        }
        if (answered) {
            m_server.answer("/x");
        }
        net::asio::io_context other{1};
        net::asio::steady_timer frozen(other, pause_length);
        frozen.wait();
        while (!ended) {
            m_context.restart();
            m_context.run_for(1ms);
        }
    }

    const core::server_pool& pool() { return m_state.find("s")->pool; }

private:
    void beat() { m_state.pauses().beat(now()); }

    net::asio::io_context m_context{1};
    timers m_timers{m_context};
    settings m_config = [] {
        settings s;
        s.instance = {"i", "r", "d", "127.0.0.1"};
        s.regions = {{"d", "r"}};
        return s;
    }();
    http_client m_client;
    fake_platform m_platform;
    entry_metrics m_metrics;
    traffic_state m_state;
    echo_backend m_server;
};

} // namespace

class pause_learning_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pause_learning_test);
    CPPUNIT_TEST(a_pause_does_not_lengthen_the_service_time);
    CPPUNIT_TEST(a_silence_in_a_pause_says_nothing);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against an entry that froze and then takes all servers for too slow.
    void a_pause_does_not_lengthen_the_service_time() {
        paused_instance i;
        i.play(true);
        CPPUNIT_ASSERT(i.pool().service_time("one") < pause_length / 2);
    }

    void a_silence_in_a_pause_says_nothing() {
        paused_instance i;
        const auto before = i.pool().service_time("one");
        i.play(false);
        CPPUNIT_ASSERT(i.pool().service_time("one") == before);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, i.pool().in_flight("one"));
        CPPUNIT_ASSERT(i.pool().failure_rate("one") == 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pause_learning_test);

} // namespace balsampost::entry
