// Memory and progress of callers' connections. Guards against memory that callers can hold without limit or
// after their connection's end, and against limits that ordinary requests meet.
#include "caller_rig.h"

#include <cppunit/extensions/HelperMacros.h>

namespace balsampost::entry {

using namespace std::chrono_literals;

namespace {

const std::string empty_answer =
    "HTTP/1.1 200 OK\r\nIntegrity: i\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n";

/// A header section of about `bytes` bytes in fields of four, without its last line.
std::string short_fields(std::size_t bytes) {
    std::string out = "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: req-1\r\n";
    while (out.size() + 6 <= bytes) {
        out += "a:\r\n";
    }
    return out;
}

settings small_account() {
    auto s = rig_settings();
    s.resources.memory_mb = 32;
    s.limits.memory_percent = s.limits.address_percent = s.limits.connection_percent = 5;
    return s;
}

void write(net::tcp::socket& to, const std::string& text) {
    net::error_code ec;
    net::asio::write(to, net::asio::buffer(text), ec);
}

} // namespace

class caller_memory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_memory_test);
    CPPUNIT_TEST(nothing_stays_counted_after_connections_end);
    CPPUNIT_TEST(ordinary_request_is_served_while_a_crowd_fills_the_account);
    CPPUNIT_TEST(request_at_the_header_limit_is_served);
    CPPUNIT_TEST(body_without_progress_ends_its_connection);
    CPPUNIT_TEST(chunk_header_without_end_is_refused);
    CPPUNIT_TEST(limits_that_contradict_each_other_are_reported);
    CPPUNIT_TEST_SUITE_END();

    void nothing_stays_counted_after_connections_end() {
        caller_rig<> rig({empty_answer, "silence", "silence"});
        const std::string texts[] = {
            "",
            "GET /x HTTP/1.1\r\nHo",
            short_fields(10'000),
            "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + std::string(50'000, 'b'),
            "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\n12345\r\n0\r\na: "
            "b\r\n",
            "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: req-1\r\n\r\n" + short_fields(5'000),
            "GET /x HTTP/1.1\r\nHost: none\r\n\r\n",
            "malformed\r\n\r\n",
        };
        std::vector<std::shared_ptr<net::tcp::socket>> sockets;
        for (const auto& text : texts) {
            sockets.push_back(rig.connect());
            write(*sockets.back(), text);
        }
        const auto& account = rig.callers.memory();
        CPPUNIT_ASSERT(rig.run_until([&] { return account.used() > 100'000; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, account.address_count());
        sockets.clear();
        CPPUNIT_ASSERT(rig.run_until([&] { return rig.callers.connection_count() == 0; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, account.used());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, account.address_count());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, rig.callers.body_bytes());
    }

    void ordinary_request_is_served_while_a_crowd_fills_the_account() {
        caller_rig<> rig({empty_answer}, small_account());
        const auto& account = rig.callers.memory();
        std::vector<std::shared_ptr<net::tcp::socket>> crowd;
        for (int i = 0; i < 30; ++i) { // Each would hold about 300 KB, of 1.6 MB in all.
            crowd.push_back(rig.connect());
            write(*crowd.back(), short_fields(15'000));
        }
        const auto until = now() + 300ms;
        CPPUNIT_ASSERT(rig.run_until([&] {
            CPPUNIT_ASSERT(account.used() <= account.limits().total);
            return now() > until;
        }));
        const auto caller = rig.connect();
        caller_rig<>::send(*caller);
        const auto text = rig.answer(*caller);
        CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT(account.used() <= account.limits().total);
        const auto page = rig.metrics.serialize();
        CPPUNIT_ASSERT_MESSAGE(page, page.find("callers_limited_total{cause=\"address_memory\"}") !=
                                         std::string::npos);
    }

    void request_at_the_header_limit_is_served() {
        // The server reads the header section in two parts.
        caller_rig<> rig({"silence", empty_answer}, small_account());
        const auto caller = rig.connect();
        write(*caller, short_fields(12'000) + "\r\n");
        const auto text = rig.answer(*caller);
        CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("HTTP/1.1 200"));
    }

    void body_without_progress_ends_its_connection() {
        auto s = rig_settings();
        s.limits.rate_window = 100ms;
        caller_rig<> rig({}, s);
        const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n";
        const auto stalled = rig.connect();
        const auto slow = rig.connect();
        write(*stalled, head + std::string(500, 'b'));
        write(*slow, head);
        std::function<void()> go_on = [&] { // 5 KB a second, above the 256 B that the rule asks for.
            write(*slow, std::string(100, 'b'));
            rig.timer_queue.at(now() + 20ms, go_on);
        };
        go_on();
        CPPUNIT_ASSERT(rig.run_until([&] { return rig.callers.connection_count() == 2; }));
        CPPUNIT_ASSERT(rig.run_until([&] { return rig.callers.connection_count() == 1; }));
        const auto later = now() + 500ms;
        CPPUNIT_ASSERT(rig.run_until([&] { return now() > later; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rig.callers.connection_count());
    }

    void chunk_header_without_end_is_refused() {
        caller_rig<> rig({});
        core::caller_limits limits;
        limits.header_bytes = 16'384;
        rig.set_limits(limits);
        const auto caller = rig.connect();
        write(*caller, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;" +
                           std::string(40'000, 'x'));
        const auto text = rig.answer(*caller);
        CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("HTTP/1.1 431"));
    }

    void limits_that_contradict_each_other_are_reported() {
        const std::string valid = "[instance]\nname = i\nregion = r\nfailure_domain = d\naddress = "
                                  "10.0.0.1\n[listen]\ncallers = 10.0.0.1:1\nreadiness = 10.0.0.1:2\n"
                                  "peers = 10.0.0.1:3\n[store]\naddress = 10.0.0.2:1\n[limits]\n";
        const auto accepted = parse_settings(valid + "requests_ahead = 4\n", "f");
        CPPUNIT_ASSERT_MESSAGE(accepted ? "" : core::to_string(accepted.error()[0]), accepted.has_value());
        const std::pair<const char*, const char*> rows[] = {
            {"connection_percent = 46\n", "f: [limits] connection_percent"},
            {"address_percent = 51\n", "f: [limits] address_percent"},
            {"memory_percent = 90\n", "f: [limits] memory_percent"},
            {"rate_window_ms = 10\n", "f: [limits] rate_window_ms"},
        };
        for (const auto& [added, expected] : rows) {
            const auto parsed = parse_settings(valid + added, "f");
            CPPUNIT_ASSERT_MESSAGE(added, !parsed && parsed.error().size() == 1);
            const auto text = core::to_string(parsed.error()[0]);
            CPPUNIT_ASSERT_MESSAGE(text, text.starts_with(expected));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_memory_test);

} // namespace balsampost::entry
