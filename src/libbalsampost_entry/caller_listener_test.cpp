// Tests of callers' connections during shutdown: requests in flight are answered, late requests are refused.
#include "balsampost/entry/caller_listener.h"

#include "balsampost/entry/entry_metrics.h"
#include "fakes.h"

#include <cppunit/extensions/HelperMacros.h>

namespace balsampost::entry {

namespace {

using namespace std::chrono_literals;

const std::string ok = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nIntegrity: i\r\nContent-Length: 2\r\n\r\nok";

settings listener_settings() {
    settings s;
    s.instance.failure_domain = "d";
    s.listen.callers = {"127.0.0.1", 0};
    return s;
}

/// A listener in front of one server that answers by `script`.
struct stopping_instance {
    explicit stopping_instance(std::deque<std::string> script)
        : config(listener_settings()), timer_queue(context), client(context, timer_queue, {}),
          server(context, std::move(script)), state(config),
          callers(context, {state, client, timer_queue, adapter, metrics}, config) {
        core::manifest m;
        m.version = 1;
        m.services["s"] = {"s", 100, false};
        core::route r;
        r.name = "r";
        r.host = "h";
        r.path_prefix = "/";
        r.timeout = 60s;
        r.target_latency = 60s;
        r.max_attempts = 1;
        r.destinations = {{"s", 1}};
        m.routes = {r};
        core::backend b;
        b.self = {"one", 1};
        b.service = "s";
        b.address = server.at();
        b.failure_domain = "d";
        b.slots = 4;
        state.directory().put(b, now());
        state.set_manifest(m);
        callers.start();
    }
    ~stopping_instance() { callers.close_all(); }

    void run_until(const std::function<bool()>& done) {
        while (!done()) {
            context.restart();
            context.run_for(5ms);
        }
    }
    std::shared_ptr<net::tcp::socket> connect() {
        auto socket = std::make_shared<net::tcp::socket>(context);
        socket->connect({net::asio::ip::make_address("127.0.0.1"), callers.port()});
        return socket;
    }
    /// Sends a request that the caller gives `time`.
    static void send(net::tcp::socket& socket, core::milliseconds time) {
        net::asio::write(socket, net::asio::buffer("GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: req-1\r\n"
                                                   "Deadline-Ms: " +
                                                   std::to_string(time.count()) + "\r\n\r\n"));
    }
    std::shared_ptr<net::tcp::socket> request(core::milliseconds time = 60s) {
        auto socket = connect();
        send(*socket, time);
        return socket;
    }
    /// Reads until the connection is closed.
    std::string answer(const std::shared_ptr<net::tcp::socket>& socket) {
        std::string text;
        bool ended = false;
        net::asio::async_read(*socket, net::asio::dynamic_buffer(text),
                              [&](net::error_code, std::size_t) { ended = true; });
        run_until([&] { return ended; });
        return text;
    }

    settings config;
    net::asio::io_context context{1};
    timers timer_queue;
    http_client client;
    scripted_backend server;
    fake_platform adapter;
    entry_metrics metrics;
    traffic_state state;
    caller_listener callers;
};

} // namespace

class caller_listener_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_listener_test);
    CPPUNIT_TEST(requests_in_flight_at_shutdown_are_answered);
    CPPUNIT_TEST(requests_that_outlast_the_grace_time_are_refused);
    CPPUNIT_TEST(uploads_are_judged_when_their_header_or_the_stop_arrives);
    CPPUNIT_TEST(upload_arriving_at_the_end_of_a_stop_is_answered);
    CPPUNIT_TEST(unsent_request_is_refused_at_the_end_of_a_stop);
    CPPUNIT_TEST(late_requests_during_shutdown_are_refused);
    CPPUNIT_TEST(request_of_a_disconnected_caller_is_not_forwarded);
    CPPUNIT_TEST(bodies_in_chunks_count_by_their_size);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against closing a caller's connection without an answer at shutdown when a full server never
    /// answers.
    void requests_in_flight_at_shutdown_are_answered() {
        stopping_instance i({"silence"});
        const auto socket = i.request();
        i.run_until([&] { return i.server.requests() == 1; });
        i.callers.begin_stop(core::stop_window(now(), 6s));
        const auto unanswered = i.callers.fail_in_flight();
        CPPUNIT_ASSERT(unanswered.sent == 1 && unanswered.unsent == 0);
        const auto text = i.answer(socket);
        CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("HTTP/1.1 504"));
        CPPUNIT_ASSERT(text.ends_with("\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, i.callers.in_flight());
    }

    /// An instance short of CPU time may read a request only after its caller has disconnected; it must not
    /// forward it.
    void request_of_a_disconnected_caller_is_not_forwarded() {
        stopping_instance i({"silence", "silence"});
        i.request()->close();
        const auto stays = i.request();
        i.run_until([&] { return i.server.requests() >= 1; });
        i.run_until([&] { return i.callers.connection_count() == 1; });
        CPPUNIT_ASSERT_EQUAL(1, i.server.requests());
    }

    /// Guards against uploads in chunks that take more memory than the machine has: nothing tells their
    /// length before they have arrived.
    void bodies_in_chunks_count_by_their_size() {
        stopping_instance i({"silence"});
        i.config.resources.memory_mb = 32; // Bodies may take a third of it.
        constexpr std::uint64_t max_bytes = (32U << 20U) / 3;
        constexpr std::size_t upload_bytes = 7U << 20U;
        const std::string head =
            "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: req-1\r\nTransfer-Encoding: chunked\r\n\r\n";
        const auto unfinished = head + "700000\r\n" + std::string(upload_bytes, 'x');
        int written = 0; // Uploads whose bytes have all been sent.
        const auto upload = [&] {
            auto socket = std::make_shared<net::tcp::socket>(i.context);
            socket->connect({net::asio::ip::make_address("127.0.0.1"), i.callers.port()});
            net::asio::async_write(*socket, net::asio::buffer(unfinished),
                                   [socket, &written](auto ec, auto) { written += ec ? 0 : 1; });
            return socket;
        };
        const auto first = upload();
        i.run_until([&] { return written == 1 && i.callers.body_bytes() >= upload_bytes; });
        const auto second = upload();
        std::string text;
        bool ended = false;
        net::asio::async_read(*second, net::asio::dynamic_buffer(text), [&](auto, auto) { ended = true; });
        const auto give_up = now() + 10s;
        i.run_until([&] { return ended || now() > give_up; });
        second->close(); // Ends the read, which uses local variables.
        i.run_until([&] { return ended; });
        CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(text.find("Retry-After: ") != std::string::npos);
        CPPUNIT_ASSERT(i.callers.body_bytes() >= upload_bytes && i.callers.body_bytes() <= max_bytes);
        net::asio::write(*first, net::asio::buffer(std::string("\r\n0\r\n\r\n")));
        i.run_until([&] { return i.server.requests() > 0; }); // The first upload is complete and sent on.
    }

    /// Guards against requests that a stop takes on new and kept connections and cuts at its end.
    void requests_that_outlast_the_grace_time_are_refused() {
        struct row {
            core::milliseconds stopping_for; // Of the time until work ends.
            core::milliseconds time;         // That the caller gives.
            bool taken;
        };
        for (const core::milliseconds grace : {3s, 4s, 6s, 10s, 30s}) {
            const core::stop_window whole(now(), grace);
            const auto work = std::chrono::duration_cast<core::milliseconds>(whole.work_end() - now()) + 1ms;
            const row rows[] = {
                {0ms, work - 700ms, true}, {0ms, work + 100ms, false}, {work - 2s, 1s, true},
                {work - 2s, 3s, false},    {work - 1s, 800ms, true},   {work - 1s, 1'500ms, false},
                {work + 20ms, 1s, false},  {work - 1s, 60s, false},
            };
            for (const auto& r : rows) {
                for (const bool kept : {false, true}) {
                    const auto name = std::to_string(grace.count()) + " " +
                                      std::to_string(r.stopping_for.count()) + " " +
                                      std::to_string(r.time.count()) + (kept ? " kept" : " new");
                    stopping_instance i({ok, ok});
                    std::shared_ptr<net::tcp::socket> socket;
                    if (kept) {
                        socket = i.request();
                        i.run_until([&] { return socket->available() > 0; });
                    }
                    i.callers.begin_stop(core::stop_window(now() - r.stopping_for, grace));
                    if (kept) {
                        i.send(*socket, r.time);
                    } else {
                        socket = i.request(r.time);
                    }
                    auto text = i.answer(socket);
                    if (kept) {
                        text = text.substr(text.find("HTTP/1.1", 1));
                    }
                    CPPUNIT_ASSERT_MESSAGE(name + text,
                                           text.starts_with(r.taken ? "HTTP/1.1 200" : "HTTP/1.1 503"));
                    CPPUNIT_ASSERT_MESSAGE(name, text.find("Connection: close") != std::string::npos);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, r.taken,
                                                 text.find("Retry-After: ") == std::string::npos);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, (kept ? 1 : 0) + (r.taken ? 1 : 0),
                                                 i.server.requests());
                }
            }
        }
    }

    /// Guards against uploads that a stop reads to their end, passes on and cuts, or refuses with a reset.
    void uploads_are_judged_when_their_header_or_the_stop_arrives() {
        const std::string length = "Content-Length: ";
        const std::string chunks = "Transfer-Encoding: chunked\r\n";
        const std::string expect = "Expect: 100-continue\r\n" + length;
        for (const auto& framing : {length, chunks, expect}) {
            for (const bool arriving : {false, true}) { // When the stop begins.
                for (const bool held : {false, true}) {
                    const auto name = framing + (arriving ? "arriving " : "later ") + (held ? "held" : "");
                    // The server reads a small body at once; a large one fills the sockets' buffers.
                    const std::string body(held ? 6'000 : 20'000'000, 'x');
                    const auto whole = framing == chunks
                                           ? (held ? "1770\r\n" : "1312D00\r\n") + body + "\r\n0\r\n\r\n"
                                           : body;
                    const auto header =
                        framing == chunks ? framing : framing + std::to_string(body.size()) + "\r\n";
                    stopping_instance i({ok});
                    const auto socket = i.connect();
                    const auto give_up = now() + 10s;
                    const auto begin_stop = [&] { i.callers.begin_stop(core::stop_window(now() - 2s, 30s)); };
                    if (!arriving) {
                        begin_stop();
                    }
                    net::asio::write(*socket,
                                     net::asio::buffer("POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: req-1\r\n"
                                                       "Deadline-Ms: " +
                                                       std::string(held ? "20000" : "40000") + "\r\n" +
                                                       header + "\r\n" + whole.substr(0, 1'000)));
                    if (arriving) {
                        i.run_until([&] { return i.callers.body_bytes() > 0; });
                        begin_stop();
                    }
                    if (!held) {
                        i.run_until(
                            [&] { return socket->available() > 0 || now() > give_up; }); // Refused early.
                    }
                    bool written = false;
                    const auto rest = net::asio::buffer(whole) + 1'000;
                    net::asio::async_write(*socket, rest, [&](net::error_code ec, std::size_t) {
                        CPPUNIT_ASSERT_MESSAGE(name, !ec);
                        written = true;
                    });
                    i.run_until([&] { return written || now() > give_up; });
                    CPPUNIT_ASSERT_MESSAGE(name, written);
                    const auto text = i.answer(socket);
                    const auto expected = held ? "HTTP/1.1 200" : "HTTP/1.1 503";
                    CPPUNIT_ASSERT_MESSAGE(name + text, text.find(expected) != std::string::npos);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, held || (arriving && framing == expect),
                                                 text.find("503") == std::string::npos ||
                                                     text.starts_with("HTTP/1.1 100"));
                    CPPUNIT_ASSERT_MESSAGE(name, text.find("Request-Id: req-1") != std::string::npos);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, held, i.server.requests() > 0);
                    i.callers.close_all();
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::uint64_t{0}, i.callers.body_bytes());
                }
            }
        }
    }

    /// Guards against an upload whose connection ends without an answer at the end of a stop.
    void upload_arriving_at_the_end_of_a_stop_is_answered() {
        stopping_instance i({});
        const auto socket = i.connect();
        net::asio::write(*socket, net::asio::buffer(std::string(
                                      "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: req-1\r\nDeadline-Ms: 9\r\n"
                                      "Content-Length: 100\r\n\r\nx")));
        i.run_until([&] { return i.callers.body_bytes() > 0; });
        i.callers.begin_stop(core::stop_window(now(), 6s));
        const auto unanswered = i.callers.fail_in_flight();
        CPPUNIT_ASSERT(unanswered.sent == 0 && unanswered.unsent == 1);
        const auto text = i.answer(socket);
        CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(text.find("Connection: close") != std::string::npos);
    }

    /// Guards against telling callers that a request may have run which the stop ended before it was sent.
    void unsent_request_is_refused_at_the_end_of_a_stop() {
        stopping_instance i({"silence"});
        const auto socket = i.request();
        while (i.callers.in_flight() == 0) { // Until the request waits for its connection to the server.
            i.context.restart();
            i.context.run_one_for(5ms);
        }
        i.callers.begin_stop(core::stop_window(now() - 6s, 6s));
        const auto unanswered = i.callers.fail_in_flight();
        CPPUNIT_ASSERT(unanswered.sent == 0 && unanswered.unsent == 1);
        const auto text = i.answer(socket);
        CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("HTTP/1.1 503"));
        i.run_until([&] { return i.callers.connection_count() == 0; });
        CPPUNIT_ASSERT_EQUAL(0, i.server.requests());
    }

    void late_requests_during_shutdown_are_refused() {
        stopping_instance i({"silence"});
        i.callers.begin_stop(core::stop_window(now() - 3'200ms, 6s));
        const auto text = i.answer(i.request());
        CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(text.find("Retry-After: ") != std::string::npos);
        CPPUNIT_ASSERT(text.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, i.server.requests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_listener_test);

} // namespace balsampost::entry
