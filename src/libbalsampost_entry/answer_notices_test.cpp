// Guards against a server's own word in an answer that is not followed: requests at a server that says that
// it leaves or that it wants none, while the platform's list still has it as ready.
#include "balsampost/entry/answer_notices.h"

#include "balsampost/entry/entry_metrics.h"
#include "balsampost/entry/forwarding.h"
#include "fakes.h"

#include <cppunit/extensions/HelperMacros.h>

namespace balsampost::entry {

namespace {

using namespace std::chrono_literals;

http_reply reply_of(unsigned status, std::vector<std::pair<std::string, std::string>> headers) {
    http_reply out;
    out.status = status;
    for (const auto& [name, value] : headers) {
        out.headers.insert(name, value);
    }
    return out;
}

const std::string ok = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nIntegrity: x\r\nContent-Length: 2\r\n";
const std::string turned_away = "HTTP/1.1 503 X\r\nRequest-Id: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n";

/// One instance in front of servers `one` and `two`, each with a script of its own.
struct notice_fixture {
    notice_fixture(std::deque<std::string> script_of_one, std::deque<std::string> script_of_two)
        : one(context, std::move(script_of_one)), two(context, std::move(script_of_two)), state(config) {
        core::manifest m;
        m.version = 1;
        m.services["s"] = {"s", 100, false};
        core::route r;
        r.name = "r";
        r.host = "h";
        r.path_prefix = "/";
        r.timeout = 60s;
        r.target_latency = 60s;
        r.max_attempts = 2;
        r.destinations = {{"s", 1}};
        m.routes = {r};
        state.set_manifest(m);
        list("one", one.at());
        list("two", two.at());
    }
    void list(const std::string& id, const core::endpoint& at, std::int64_t life = 1) {
        core::backend b;
        b.self = {id, life};
        b.service = "s";
        b.address = at;
        b.failure_domain = "d";
        b.slots = 4;
        state.directory().put(b, now());
        state.directory_changed();
    }
    caller_answer request() {
        caller_request r;
        r.method = "GET";
        r.target = "/x";
        r.headers.set("Host", "h");
        r.headers.set("Request-Id", "req-1");
        r.arrived = now();
        std::optional<caller_answer> out;
        std::make_shared<forwarding>(forwarding_context{state, client, clock, adapter, metrics}, std::move(r),
                                     [&](caller_answer a) { out = std::move(a); })
            ->start();
        while (!out) {
            context.restart();
            context.run_for(1ms);
        }
        return *out;
    }

    net::asio::io_context context{1};
    timers clock{context};
    http_client client{context, clock, {}};
    scripted_backend one;
    scripted_backend two;
    fake_platform adapter;
    entry_metrics metrics;
    settings config = [] {
        settings s;
        s.instance.failure_domain = "d";
        s.regions = {{"d", "r"}};
        s.bounds.repeat_slack = 1'000;
        return s;
    }();
    traffic_state state;
};

std::deque<std::string> repeated(const std::string& answer) {
    return std::deque<std::string>(100, answer);
}

} // namespace

class answer_notices_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(answer_notices_test);
    CPPUNIT_TEST(which_answers_say_something);
    CPPUNIT_TEST(a_server_that_says_it_leaves_gets_no_more_requests);
    CPPUNIT_TEST(a_server_that_asks_for_a_pause_gets_no_more_requests);
    CPPUNIT_TEST(callers_are_rejected_at_once_if_all_servers_pause);
    CPPUNIT_TEST(answers_to_other_requests_say_nothing);
    CPPUNIT_TEST_SUITE_END();

    void which_answers_say_something() {
        const fake_platform adapter;
        struct row {
            const char* name;
            http_reply reply;
            bool leaving;
            std::optional<core::milliseconds> pause;
        };
        const row rows[] = {
            {"neither", reply_of(200, {}), false, std::nullopt},
            {"leaving", reply_of(200, {{"Leaving", "1"}}), true, std::nullopt},
            {"leaving, with a failure", reply_of(500, {{"Leaving", "1"}}), true, std::nullopt},
            {"leaving, another value", reply_of(200, {{"Leaving", "0"}}), false, std::nullopt},
            {"leaving, repeated", reply_of(200, {{"Leaving", "no"}, {"Leaving", "1"}}), true, std::nullopt},
            {"a pause", reply_of(503, {{"Pause-Ms", "700"}}), false, 700ms},
            {"a pause, repeated", reply_of(503, {{"Pause-Ms", "700"}, {"Pause-Ms", "900"}}), false, 900ms},
            {"both", reply_of(503, {{"Pause-Ms", "700"}, {"Leaving", "1"}}), true, 700ms},
            {"a pause with 200", reply_of(200, {{"Pause-Ms", "700"}}), false, std::nullopt},
            {"a pause with 429", reply_of(429, {{"Pause-Ms", "700"}}), false, std::nullopt},
            {"another server at the address", reply_of(421, {{"Leaving", "1"}}), false, std::nullopt},
        };
        for (const auto& r : rows) {
            const auto notice = notices_in(r.reply, adapter);
            CPPUNIT_ASSERT_MESSAGE(r.name, notice.leaving == r.leaving && notice.pause == r.pause);
        }
    }

    void a_server_that_says_it_leaves_gets_no_more_requests() {
        notice_fixture f(repeated(ok + "Leaving: 1\r\n\r\nok"), repeated(ok + "\r\nok"));
        std::size_t seen_by_callers = 0;
        for (int i = 0; i < 40; ++i) {
            const auto answer = f.request();
            CPPUNIT_ASSERT_EQUAL(200U, answer.status);
            seen_by_callers += answer.headers.count("Leaving");
        }
        CPPUNIT_ASSERT_EQUAL(1, f.one.requests());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("callers get the server's answer as it is", std::size_t{1},
                                     seen_by_callers);
        f.list("one", f.one.at()); // The list says ready, again and again.
        f.request();
        CPPUNIT_ASSERT_EQUAL(1, f.one.requests());
        f.list("one", f.one.at(), 2); // A new life.
        for (int i = 0; i < 40; ++i) {
            f.request();
        }
        CPPUNIT_ASSERT(f.one.requests() > 1);
    }

    void a_server_that_asks_for_a_pause_gets_no_more_requests() {
        notice_fixture f(repeated(turned_away + "Pause-Ms: 60000\r\n\r\n"), repeated(ok + "\r\nok"));
        for (int i = 0; i < 40; ++i) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE("turned elsewhere", 200U, f.request().status);
        }
        CPPUNIT_ASSERT_EQUAL(1, f.one.requests());
    }

    void callers_are_rejected_at_once_if_all_servers_pause() {
        notice_fixture f(repeated(turned_away + "Pause-Ms: 60000\r\n\r\n"),
                         repeated(turned_away + "Pause-Ms: 30000\r\n\r\n"));
        for (int i = 0; i < 5; ++i) {
            f.request();
        }
        const auto begun = now();
        const auto rejected = f.request();
        CPPUNIT_ASSERT(now() - begun < 5s);
        CPPUNIT_ASSERT_EQUAL(503U, rejected.status);
        CPPUNIT_ASSERT_MESSAGE("until the earliest end",
                               rejected.retry_after > 20s && rejected.retry_after < 33s * 1.4);
        CPPUNIT_ASSERT(f.one.requests() == 1 && f.two.requests() == 1);
        CPPUNIT_ASSERT(f.metrics.serialize().find("balsampost_refused_for_pause_total 0") ==
                       std::string::npos);
    }

    void answers_to_other_requests_say_nothing() {
        const std::string late = "HTTP/1.1 503 X\r\nRequest-Id: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
                                 "Leaving: 1\r\nPause-Ms: 60000\r\n\r\n";
        notice_fixture f(repeated(late), repeated(late));
        f.request();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.state.notices().size());
        const std::string spoilt =
            "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 2\r\nLeaving: 1\r\n\r\nok";
        notice_fixture g(repeated(spoilt), repeated(spoilt));
        g.request();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, g.state.notices().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_notices_test);

} // namespace balsampost::entry
