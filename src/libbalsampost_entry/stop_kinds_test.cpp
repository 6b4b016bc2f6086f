// Tests of a stop for each kind of request: those that wait for their key's owner, retries, refused attempts
// and uploads, with grace times of all sizes.
#include "caller_rig.h"

#include <cppunit/extensions/HelperMacros.h>

namespace balsampost::entry {

namespace {

using namespace std::chrono_literals;

const std::string ok = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nIntegrity: i\r\nContent-Length: 2\r\n\r\nok";
const std::string misdirected =
    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n";
const std::string not_run =
    "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

constexpr core::milliseconds graces[] = {3s, 4s, 6s, 10s, 30s};
constexpr core::milliseconds time_to_work_end{2'500}; // When a stop begins.
constexpr core::milliseconds held_time{1'000};        // A deadline that the rest of the stop holds.
constexpr core::milliseconds outlasting_time{5'000};
constexpr double max_stop_retry_after = 0.15; // Other refusals of these tests name a longer time.

/// Two servers of `u` and the owner of all keys of `k`, which take their answers from the same script.
struct stop_rig : caller_rig<> {
    explicit stop_rig(std::deque<std::string> script) : caller_rig(std::move(script)) {
        config.bounds.repeat_slack = 100; // Of the services that are new in the manifest.
        core::manifest m;
        m.version = ++version;
        m.services["u"] = {"u", 100, false};
        m.services["k"] = {"k", 100, true};
        for (const auto& [prefix, semantics] : {std::pair{"/safe/", core::execution_semantics::idempotent},
                                                {"/once/", core::execution_semantics::once},
                                                {"/upload/", core::execution_semantics::large_once},
                                                {"/keyed/", core::execution_semantics::once}}) {
            core::route r;
            r.name = prefix;
            r.host = "h";
            r.path_prefix = prefix;
            r.timeout = 60s;
            r.target_latency = 60s;
            r.max_attempts = 3;
            r.semantics = semantics;
            r.destinations = {{r.name == "/keyed/" ? "k" : "u", 1}};
            m.routes.push_back(r);
        }
        for (const auto& [id, service] : {std::pair{"two", "u"}, {"three", "u"}, {"owner", "k"}}) {
            core::backend b;
            b.self = {id, 1};
            b.service = service;
            b.address = server.at();
            b.failure_domain = "d";
            b.slots = 4;
            state.directory().put(b, now());
        }
        state.set_manifest(m);
    }

    void set_owner(std::uint64_t fence) {
        auto table = std::make_shared<core::key_table>();
        table->last_fence = fence;
        table->ranges = {{0, core::key_count - 1, {"owner", 1}, fence, {}}};
        state.set_table("k", table);
    }
    void begin_stop(core::milliseconds grace) {
        const core::stop_window whole(now(), grace);
        const auto work = std::chrono::duration_cast<core::milliseconds>(whole.work_end() - now());
        callers.begin_stop(core::stop_window(now() - (work - time_to_work_end), grace));
    }
    /// Runs single handlers, so that the answer to the request seen last is not read yet.
    bool step_until(const std::function<bool()>& done) {
        const auto give_up = now() + 10s;
        while (!done() && now() < give_up) {
            context.restart();
            context.run_one_for(5ms);
        }
        return done();
    }
    /// The answer, if it comes before the wait for an owner would end; otherwise empty.
    std::string answer_at_once(net::tcp::socket& socket) {
        for (int i = 0; i < 40 && socket.available() == 0; ++i) {
            context.restart();
            context.run_for(5ms);
        }
        return socket.available() == 0 ? std::string() : answer(socket);
    }
    std::shared_ptr<net::tcp::socket> request(const std::string& target, core::milliseconds time,
                                              const std::string& framing = "\r\n") {
        auto socket = connect();
        const bool safe = target.starts_with("/safe/");
        net::asio::write(*socket,
                         net::asio::buffer((safe ? "GET " : "POST ") + target +
                                           " HTTP/1.1\r\nHost: h\r\nRequest-Id: req-1\r\nShard-Key: 7\r\n"
                                           "Deadline-Ms: " +
                                           std::to_string(time.count()) + "\r\n" + framing));
        return socket;
    }
};

void assert_served(const std::string& name, const std::string& text) {
    CPPUNIT_ASSERT_MESSAGE(name + text, text.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_MESSAGE(name + text, text.find("Connection: close") != std::string::npos);
}

/// The refusal names the stop's time to retry: it did not wait for another limit.
void assert_refused_by_stop(const std::string& name, const std::string& text) {
    CPPUNIT_ASSERT_MESSAGE(name + text, text.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT_MESSAGE(name + text, text.find("Connection: close") != std::string::npos);
    const auto at = text.find("Retry-After: ");
    CPPUNIT_ASSERT_MESSAGE(name + text, at != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(name + text, std::atof(text.c_str() + at + 13) < max_stop_retry_after);
}

/// Calls `check` with a name, the grace time, and whether its rest holds the request's deadline.
void for_each_case(const std::function<void(const std::string&, core::milliseconds, bool)>& check) {
    for (const auto grace : graces) {
        for (const bool held : {true, false}) {
            check(std::to_string(grace.count()) + (held ? " held " : " outlasting "), grace, held);
        }
    }
}

core::milliseconds time_if(bool held) {
    return held ? held_time : outlasting_time;
}

} // namespace

class stop_kinds_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stop_kinds_test);
    CPPUNIT_TEST(requests_that_wait_for_an_owner_are_judged);
    CPPUNIT_TEST(retries_of_idempotent_requests_go_on);
    CPPUNIT_TEST(requests_that_may_have_run_are_not_said_to_be_refused);
    CPPUNIT_TEST(refused_attempts_are_judged_again);
    CPPUNIT_TEST(requests_that_their_owner_refused_are_judged_again);
    CPPUNIT_TEST(uploads_are_judged_for_each_grace_time);
    CPPUNIT_TEST_SUITE_END();

    void requests_that_wait_for_an_owner_are_judged() {
        for_each_case([](const std::string& name, core::milliseconds grace, bool held) {
            for (const bool waits_before : {true, false}) {
                stop_rig rig({ok});
                if (!waits_before) {
                    rig.begin_stop(grace);
                }
                const auto socket = rig.request("/keyed/x", time_if(held), "Content-Length: 0\r\n\r\n");
                CPPUNIT_ASSERT(rig.step_until([&] {
                    return rig.callers.in_flight() == 1 || (!waits_before && socket->available() > 0);
                }));
                if (waits_before) {
                    rig.begin_stop(grace);
                }
                if (held) {
                    rig.set_owner(1);
                }
                const auto text = held ? rig.answer(*socket) : rig.answer_at_once(*socket);
                (held ? assert_served : assert_refused_by_stop)(name, text);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, held ? 1 : 0, rig.server.requests());
            }
        });
    }

    /// Guards against a 503 for a request that may have run: its first attempt was lost in the stop.
    void retries_of_idempotent_requests_go_on() {
        for_each_case([](const std::string& name, core::milliseconds grace, bool held) {
            stop_rig rig({"close", ok});
            const auto socket = rig.request("/safe/x", time_if(held));
            CPPUNIT_ASSERT(rig.step_until([&] { return rig.server.requests() == 1; }));
            rig.begin_stop(grace);
            const auto text = rig.answer(*socket);
            assert_served(name, text);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 2, rig.server.requests());
        });
    }

    void requests_that_may_have_run_are_not_said_to_be_refused() {
        for_each_case([](const std::string& name, core::milliseconds grace, bool held) {
            stop_rig rig({"close", ok});
            const auto socket = rig.request("/once/x", time_if(held), "Content-Length: 0\r\n\r\n");
            CPPUNIT_ASSERT(rig.step_until([&] { return rig.server.requests() == 1; }));
            rig.begin_stop(grace);
            const auto text = rig.answer(*socket);
            CPPUNIT_ASSERT_MESSAGE(name + text, text.starts_with("HTTP/1.1 502"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1, rig.server.requests());
        });
    }

    void refused_attempts_are_judged_again() {
        for_each_case([](const std::string& name, core::milliseconds grace, bool held) {
            for (const auto& refusal : {misdirected, not_run}) {
                for (const std::string target : {"/safe/x", "/once/x"}) {
                    stop_rig rig({refusal, ok});
                    const auto socket = rig.request(target, time_if(held), "Content-Length: 0\r\n\r\n");
                    CPPUNIT_ASSERT(rig.step_until([&] { return rig.server.requests() == 1; }));
                    rig.begin_stop(grace);
                    const auto text = held ? rig.answer(*socket) : rig.answer_at_once(*socket);
                    (held ? assert_served : assert_refused_by_stop)(name + target + refusal, text);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, held ? 2 : 1, rig.server.requests());
                }
            }
        });
    }

    /// Guards against a wait for the next owner whose end the stop would not hold.
    void requests_that_their_owner_refused_are_judged_again() {
        for_each_case([](const std::string& name, core::milliseconds grace, bool held) {
            stop_rig rig({misdirected, ok});
            rig.set_owner(1);
            const auto socket = rig.request("/keyed/x", time_if(held), "Content-Length: 0\r\n\r\n");
            CPPUNIT_ASSERT(rig.step_until([&] { return rig.server.requests() == 1; }));
            rig.begin_stop(grace);
            if (held) {
                rig.set_owner(2);
            }
            const auto text = held ? rig.answer(*socket) : rig.answer_at_once(*socket);
            (held ? assert_served : assert_refused_by_stop)(name, text);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, held ? 2 : 1, rig.server.requests());
        });
    }

    void uploads_are_judged_for_each_grace_time() {
        const std::string body(4'000, 'x');
        const std::pair<std::string, std::string> framings[] = {
            {"Content-Length: 4000\r\n\r\n", body},
            {"Transfer-Encoding: chunked\r\n\r\n", "FA0\r\n" + body + "\r\n0\r\n\r\n"},
        };
        for_each_case([&](const std::string& name, core::milliseconds grace, bool held) {
            for (const auto& [header, bytes] : framings) {
                for (const bool arrives_before : {true, false}) {
                    stop_rig rig({ok});
                    if (!arrives_before) {
                        rig.begin_stop(grace);
                    }
                    const auto socket =
                        rig.request("/upload/x", time_if(held), header + bytes.substr(0, 1'000));
                    if (arrives_before) {
                        CPPUNIT_ASSERT(rig.run_until([&] { return rig.callers.body_bytes() > 0; }));
                        rig.begin_stop(grace);
                    }
                    if (held) {
                        net::asio::write(*socket, net::asio::buffer(bytes) + 1'000);
                        assert_served(name + header, rig.answer(*socket));
                    } else { // Refused while the rest of the body is still to be sent.
                        assert_refused_by_stop(name + header, rig.answer_at_once(*socket));
                    }
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name + header, held ? 1 : 0, rig.server.requests());
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name + header, std::uint64_t{0}, rig.callers.body_bytes());
                }
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_kinds_test);

} // namespace balsampost::entry
