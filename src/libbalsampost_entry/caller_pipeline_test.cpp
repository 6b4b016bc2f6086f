// Tests of pipelined requests: split at any byte, answered by servers in any order, with errors, disconnects
// and shutdown in between.
#include "balsampost/entry/caller_listener.h"

#include "balsampost/entry/entry_metrics.h"
#include "fakes.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace balsampost::entry {

namespace {

using namespace std::chrono_literals;

settings pipeline_settings() {
    settings s;
    s.instance.failure_domain = "d";
    s.listen.callers = {"127.0.0.1", 0};
    return s;
}

/// A listener in front of one server; `/safe/` is idempotent, `/once/` is not.
struct pipelining_instance {
    pipelining_instance()
        : config(pipeline_settings()), timer_queue(context), client(context, timer_queue, {}),
          server(context), state(config),
          callers(context, {state, client, timer_queue, adapter, metrics}, config) {
        core::manifest m;
        m.version = 1;
        m.services["s"] = {"s", 10'000, false};
        for (const auto& [prefix, semantics] : {std::pair{"/safe/", core::execution_semantics::idempotent},
                                                {"/once/", core::execution_semantics::once}}) {
            core::route r;
            r.name = prefix;
            r.host = "h";
            r.path_prefix = prefix;
            r.timeout = 60s;
            r.target_latency = 60s;
            r.max_attempts = 1;
            r.semantics = semantics;
            r.destinations = {{"s", 1}};
            m.routes.push_back(r);
        }
        core::backend b;
        b.self = {"one", 1};
        b.service = "s";
        b.address = server.at();
        b.failure_domain = "d";
        b.slots = 32;
        state.directory().put(b, now());
        state.set_manifest(m);
        callers.start();
    }
    ~pipelining_instance() { callers.close_all(); }

    void run_until(const std::function<bool()>& done) {
        while (!done()) {
            context.restart();
            context.run_for(1ms);
        }
    }
    /// Runs all handlers that are ready.
    void settle() {
        for (int i = 0; i < 20; ++i) {
            context.restart();
            context.poll();
        }
        context.restart();
        context.run_for(2ms);
    }

    settings config;
    net::asio::io_context context{1};
    timers timer_queue;
    http_client client;
    echo_backend server;
    fake_platform adapter;
    entry_metrics metrics;
    traffic_state state;
    caller_listener callers;
};

/// A caller's connection that collects everything it receives.
struct pipelining_caller {
    explicit pipelining_caller(pipelining_instance& i) : instance(i), socket(i.context) {
        socket.connect({net::asio::ip::make_address("127.0.0.1"), i.callers.port()});
        socket.set_option(net::tcp::no_delay(true));
        read();
    }
    ~pipelining_caller() {
        net::error_code ignored;
        socket.close(ignored);
        instance.settle();
    }
    void read() {
        socket.async_read_some(net::asio::buffer(buffer), [this](auto ec, std::size_t n) {
            text.append(buffer.data(), n);
            if (ec) {
                closed = closed || ec != net::asio::error::operation_aborted;
            } else {
                read();
            }
        });
    }
    void send(const std::string& bytes) { net::asio::write(socket, net::asio::buffer(bytes)); }
    /// Bodies of the answers, or their status if it is not 200.
    std::vector<std::string> answers() const {
        std::vector<std::string> out;
        for (std::size_t at = 0; (at = text.find("HTTP/1.1 ", at)) != std::string::npos;) {
            const auto status = text.substr(at + 9, 3);
            const auto end = text.find("\r\n\r\n", at);
            if (end == std::string::npos) {
                break;
            }
            const auto next = std::min(text.find("HTTP/1.1 ", end), text.size());
            out.push_back(status == "200" ? text.substr(end + 4, next - end - 4) : status);
            at = next;
        }
        return out;
    }

    pipelining_instance& instance;
    net::tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string text;
    bool closed = false;
};

std::string get(const std::string& target, const std::string& more = "") {
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: id" + target + "\r\n" + more + "\r\n";
}

using targets = std::vector<std::string>;

} // namespace

class caller_pipeline_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_pipeline_test);
    CPPUNIT_TEST(three_requests_split_at_every_byte);
    CPPUNIT_TEST(third_request_arrives_before_the_first_answer);
    CPPUNIT_TEST(idempotent_requests_run_in_parallel_and_are_answered_in_order);
    CPPUNIT_TEST(non_idempotent_request_blocks_later_requests);
    CPPUNIT_TEST(errors_and_close_requests_end_a_pipeline);
    CPPUNIT_TEST(disconnect_starts_no_further_requests);
    CPPUNIT_TEST(shutdown_answers_every_request_that_was_read);
    CPPUNIT_TEST(end_of_a_shutdown_answers_waiting_requests);
    CPPUNIT_TEST(end_of_a_shutdown_answers_an_upload_behind_a_request);
    CPPUNIT_TEST(request_arriving_while_idle_connections_close_is_answered);
    CPPUNIT_TEST(random_streams_splits_and_answer_orders);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against the bytes of one request being overwritten by those of the next.
    void three_requests_split_at_every_byte() {
        pipelining_instance i;
        const targets expected{"/safe/a", "/safe/bb", "/safe/c"};
        std::string stream;
        for (const auto& t : expected) {
            stream += get(t);
        }
        for (std::size_t cut = 1; cut < stream.size(); ++cut) {
            pipelining_caller c(i);
            c.send(stream.substr(0, cut));
            i.settle();
            c.send(stream.substr(cut));
            i.run_until([&] { return c.answers().size() == 3 && c.answers().back() == expected.back(); });
            CPPUNIT_ASSERT_MESSAGE(c.text, c.answers() == expected);
        }
    }

    void third_request_arrives_before_the_first_answer() {
        pipelining_instance i;
        i.server.hold();
        pipelining_caller c(i);
        c.send(get("/once/a") + get("/once/b"));
        i.run_until([&] { return i.server.seen().size() == 1; });
        c.send(get("/once/c"));
        i.settle();
        for (const auto* t : {"/once/a", "/once/b", "/once/c"}) {
            i.run_until([&] { return i.server.seen().back() == t; });
            i.server.answer(t);
        }
        i.run_until([&] { return c.answers().size() == 3 && c.answers().back() == "/once/c"; });
        CPPUNIT_ASSERT((c.answers() == targets{"/once/a", "/once/b", "/once/c"}));
    }

    void idempotent_requests_run_in_parallel_and_are_answered_in_order() {
        pipelining_instance i;
        i.server.hold();
        pipelining_caller c(i);
        c.send(get("/safe/a") + get("/safe/b") + get("/safe/c"));
        i.run_until([&] { return i.server.seen().size() == 3; });
        i.server.answer("/safe/c");
        i.server.answer("/safe/b");
        i.settle();
        CPPUNIT_ASSERT_EQUAL(std::string(), c.text);
        i.server.answer("/safe/a");
        i.run_until([&] { return c.answers().size() == 3 && c.answers().back() == "/safe/c"; });
        CPPUNIT_ASSERT((c.answers() == targets{"/safe/a", "/safe/b", "/safe/c"}));
    }

    void non_idempotent_request_blocks_later_requests() {
        pipelining_instance i;
        i.server.hold();
        pipelining_caller c(i);
        c.send(get("/safe/a") + get("/once/b") + get("/safe/c"));
        i.run_until([&] { return i.server.seen().size() == 1; });
        i.settle();
        CPPUNIT_ASSERT((i.server.seen() == targets{"/safe/a"}));
        i.server.answer("/safe/a");
        i.run_until([&] { return i.server.seen().size() == 2; });
        i.settle();
        CPPUNIT_ASSERT((i.server.seen() == targets{"/safe/a", "/once/b"}));
        i.server.answer("/once/b");
        i.run_until([&] { return i.server.seen().size() == 3; });
        i.server.answer("/safe/c");
        i.run_until([&] { return c.answers().size() == 3; });
    }

    void errors_and_close_requests_end_a_pipeline() {
        struct row {
            const char* what;
            std::string stream;
            targets answers;
            targets seen;
        };
        const std::vector<row> rows{
            {"the caller asks to close",
             get("/safe/a", "Connection: close\r\n") + get("/safe/b"),
             {"/safe/a"},
             {"/safe/a"}},
            {"bytes that are no request",
             get("/safe/a") + "no request\r\n\r\n" + get("/safe/b"),
             {"/safe/a", "400"},
             {"/safe/a"}},
            {"a body that is too large",
             get("/safe/a") + "POST /once/b HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n",
             {"/safe/a", "413"},
             {"/safe/a"}},
            {"a header that is too large",
             get("/safe/a") + get("/safe/b", "X: " + std::string(40'000, 'x')),
             {"/safe/a", "431"},
             {"/safe/a"}},
            {"two lengths",
             get("/safe/a") + get("/safe/b", "Content-Length: 0\r\nContent-Length: 1\r\n"),
             {"/safe/a", "400"},
             {"/safe/a"}},
        };
        for (const auto& r : rows) {
            pipelining_instance i;
            pipelining_caller c(i);
            c.send(r.stream);
            i.run_until([&] { return c.closed; });
            CPPUNIT_ASSERT_MESSAGE(std::string(r.what) + ": " + c.text, c.answers() == r.answers);
            CPPUNIT_ASSERT_MESSAGE(r.what, i.server.seen() == r.seen);
            CPPUNIT_ASSERT_MESSAGE(r.what, c.text.find("Connection: close") != std::string::npos);
        }
        // A request without a route is answered and does not end the pipeline.
        pipelining_instance i;
        pipelining_caller c(i);
        c.send(get("/none") + get("/safe/a"));
        i.run_until([&] { return c.answers().size() == 2 && c.answers().back() == "/safe/a"; });
        CPPUNIT_ASSERT((c.answers() == targets{"404", "/safe/a"}));
    }

    void disconnect_starts_no_further_requests() {
        pipelining_instance i;
        i.server.hold();
        {
            pipelining_caller c(i);
            c.send(get("/safe/a") + get("/safe/b") + get("/once/c"));
            i.run_until([&] { return i.server.seen().size() == 2; });
        }
        i.run_until([&] { return i.callers.connection_count() == 0; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, i.server.seen().size());
    }

    /// Guards against requests that are read during a stop and lost with the connection.
    void shutdown_answers_every_request_that_was_read() {
        struct row {
            const char* what;
            core::milliseconds grace;
            targets answers;
            targets seen;
        };
        const targets all{"/safe/a", "/safe/b", "/once/c", "/safe/d", "/safe/e"};
        const std::vector<row> rows{
            {"the grace time holds all requests", 90s, all, all},
            {"it holds none that has not started",
             30s,
             {"/safe/a", "/safe/b", "503", "503", "503"},
             {"/safe/a", "/safe/b"}},
        };
        for (const auto& r : rows) {
            pipelining_instance i;
            i.server.hold();
            pipelining_caller c(i);
            c.send(get("/safe/a") + get("/safe/b") + get("/once/c") + get("/safe/d"));
            i.run_until([&] { return i.server.seen().size() == 2; });
            i.callers.begin_stop(core::stop_window(now(), r.grace));
            c.send(get("/safe/e"));
            i.settle();
            i.server.answer("/safe/b");
            i.server.answer("/safe/a");
            for (int rounds = 0; !c.closed && rounds < 1'000; ++rounds) {
                i.settle();
                for (const auto& t : all) {
                    i.server.answer(t);
                }
            }
            CPPUNIT_ASSERT_MESSAGE(r.what, c.closed);
            CPPUNIT_ASSERT_MESSAGE(std::string(r.what) + c.text, c.answers() == r.answers);
            CPPUNIT_ASSERT_MESSAGE(r.what, i.server.seen() == r.seen);
            // Only the last answer closes the connection.
            const auto close_at = c.text.find("Connection: close");
            CPPUNIT_ASSERT_MESSAGE(r.what, close_at != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(r.what, close_at > c.text.rfind("HTTP/1.1 "));
        }
    }

    /// Guards against requests that wait behind one that the end of a stop cuts, and get no answer.
    void end_of_a_shutdown_answers_waiting_requests() {
        pipelining_instance i;
        i.server.hold();
        pipelining_caller c(i);
        targets expected{"504"};
        std::string stream = get("/once/0");
        for (int n = 1; n < 40; ++n) { // More than a connection's unfinished requests.
            stream += get((n % 2 == 0 ? "/safe/" : "/once/") + std::to_string(n));
            expected.emplace_back("503");
        }
        c.send(stream + "GET /safe/unfinished HTTP/1.1\r\nHo");
        i.run_until([&] { return i.server.seen().size() == 1; });
        i.settle();
        i.callers.begin_stop(core::stop_window(now() - 6s, 6s));
        i.callers.fail_in_flight();
        i.run_until([&] { return c.closed; });
        CPPUNIT_ASSERT_MESSAGE(c.text, c.answers() == expected);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, i.server.seen().size());
    }

    /// Guards against an upload without an answer behind a request that the end of a stop cuts.
    void end_of_a_shutdown_answers_an_upload_behind_a_request() {
        pipelining_instance i;
        i.server.hold();
        pipelining_caller c(i);
        c.send(get("/once/a") + "POST /once/b HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx");
        i.run_until([&] { return i.server.seen().size() == 1; });
        i.settle();
        i.callers.begin_stop(core::stop_window(now(), 90s));
        i.callers.fail_in_flight();
        i.run_until([&] { return c.closed; });
        CPPUNIT_ASSERT_MESSAGE(c.text, (c.answers() == targets{"504", "503"}));
    }

    /// Guards against losing a request that arrives just when a shutdown closes connections it considers
    /// idle.
    void request_arriving_while_idle_connections_close_is_answered() {
        pipelining_instance i;
        pipelining_caller existing(i);
        existing.send(get("/safe/a"));
        i.run_until([&] { return existing.answers().size() == 1; });
        i.callers.begin_stop(core::stop_window(now(), 90s));
        existing.send(get("/safe/b"));
        pipelining_caller fresh(i); // Waits in the listening socket's queue.
        fresh.send(get("/safe/c"));
        i.callers.close_idle_connections();
        CPPUNIT_ASSERT(i.callers.in_flight() > 0);
        i.run_until([&] { return existing.closed && fresh.closed; });
        CPPUNIT_ASSERT_MESSAGE(existing.text, (existing.answers() == targets{"/safe/a", "/safe/b"}));
        CPPUNIT_ASSERT_MESSAGE(fresh.text, fresh.answers() == targets{"/safe/c"});
    }

    void random_streams_splits_and_answer_orders() {
        pipelining_instance i;
        CPPUNIT_ASSERT(rc::check("streams", [&] {
            const auto kinds = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
            i.server.hold();
            const auto before = i.server.seen().size();
            targets expected;
            std::string stream;
            for (std::size_t k = 0; k < std::min<std::size_t>(kinds.size(), 12); ++k) {
                expected.push_back((kinds[k] ? "/safe/" : "/once/") + std::to_string(k));
                stream += get(expected.back());
            }
            const auto cuts = *rc::gen::container<std::vector<std::size_t>>(
                4, rc::gen::inRange<std::size_t>(0, stream.size() + 1));
            auto sorted = cuts;
            sorted.push_back(stream.size());
            std::sort(sorted.begin(), sorted.end());
            const auto order = *rc::gen::container<std::vector<std::size_t>>(64, rc::gen::inRange(0, 12));
            pipelining_caller c(i);
            std::size_t sent = 0;
            std::size_t next = 0;
            const auto answer_one = [&] {
                if (!expected.empty()) {
                    i.server.answer(expected[order[next++ % order.size()] % expected.size()]);
                }
            };
            for (const auto cut : sorted) {
                c.send(stream.substr(sent, cut - sent));
                sent = cut;
                i.settle();
                answer_one();
            }
            for (int rounds = 0; c.answers().size() < expected.size() && rounds < 5'000; ++rounds) {
                for (const auto& t : expected) {
                    i.server.answer(t);
                }
                i.settle();
            }
            i.settle();
            RC_ASSERT(c.answers() == expected);
            RC_ASSERT(i.server.seen().size() - before == expected.size());
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_pipeline_test);

} // namespace balsampost::entry
