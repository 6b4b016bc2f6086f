// Tests that the HTTP client of little traffic ends calls to servers that send bytes without end.
#include "balsampost/net/http.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace balsampost::net {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t end_of_endless = 128U
                                         << 20U; // Keeps a client that fails the test from taking all memory.

/// Answers one connection with `begin` and then `more`, again and again until the other side closes.
awaitable<void> send_endlessly(tcp::acceptor& acceptor, std::string begin, std::string more,
                               std::uint64_t& sent) {
    tcp::socket socket(co_await asio::this_coro::executor);
    error_code ec;
    co_await acceptor.async_accept(socket, into(ec));
    std::array<char, 4096> request{};
    co_await socket.async_read_some(asio::buffer(request), into(ec));
    co_await asio::async_write(socket, asio::buffer(begin), into(ec));
    while (!ec && sent < end_of_endless) {
        sent += co_await asio::async_write(socket, asio::buffer(more), into(ec));
    }
    co_await socket.async_read_some(asio::buffer(request), into(ec));
}

} // namespace

class http_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_test);
    CPPUNIT_TEST(endless_answers_are_cut_off);
    CPPUNIT_TEST(bytes_after_an_answer_belong_to_no_request);
    CPPUNIT_TEST(heads_are_checked_and_interim_answers_passed_over);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against a faulty server whose bytes take all memory until the deadline of the call.
    void endless_answers_are_cut_off() {
        struct row {
            const char* name;
            std::string begin;
            std::string more;
        };
        const std::string head = "HTTP/1.1 200 OK\r\n";
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        const std::string block(64U << 10U, 'x');
        const row rows[] = {
            {"no line end", "HTTP/1.1 ", block},
            {"a header without end", head + "X: ", block},
            {"headers without end", head, "X: y\r\n"},
            {"a body up to the close", head + "\r\n", block},
            {"a chunk's extension without end", chunked + "4;a=", block},
            {"trailers without end", chunked + "0\r\nX: ", block},
        };
        constexpr std::uint64_t max_body_bytes = 1U << 20U;
        constexpr std::uint64_t max_sent = 32U << 20U; // Much of it waits in the sockets' buffers.
        for (const auto& r : rows) {
            asio::io_context context(1);
            auto acceptor = listen_on(context, {"127.0.0.1", 0});
            http_client client({"127.0.0.1", acceptor.local_endpoint().port()}, max_body_bytes);
            std::uint64_t sent = 0;
            bool failed = false;
            bool in_time = false;
            spawn(context, send_endlessly(acceptor, r.begin, r.more, sent));
            const auto call = [&]() -> awaitable<void> {
                const auto deadline = now() + 2s;
                http_request request{"GET", "/", "", {}};
                const auto answer = co_await client.request(std::move(request), deadline);
                failed = !answer;
                in_time = now() < deadline;
            };
            spawn(context, call());
            context.run();
            CPPUNIT_ASSERT_MESSAGE(r.name, failed);
            CPPUNIT_ASSERT_MESSAGE(r.name, in_time);
            CPPUNIT_ASSERT_MESSAGE(std::string(r.name) + ": " + std::to_string(sent), sent <= max_sent);
        }
    }

    /// Guards against heads that the parser accepts though they are invalid, and interim answers taken for
    /// the final one.
    void heads_are_checked_and_interim_answers_passed_over() {
        struct row {
            const char* name;
            std::string answer;
            std::string body; ///< Empty: the call fails.
        };
        const std::string rest = "Content-Length: 2\r\n\r\nok";
        const row rows[] = {
            {"valid", "HTTP/1.1 200 OK\r\n" + rest, "ok"},
            {"an interim answer", "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, "ok"},
            {"without a length", "HTTP/1.1 200 OK\r\n\r\nok", "ok"},
            {"status 000", "HTTP/1.1 000 OK\r\n" + rest, ""},
            {"status 999", "HTTP/1.1 999 OK\r\n" + rest, ""},
            {"a folded line", "HTTP/1.1 200 OK\r\nA: b\r\n X: y\r\n" + rest, ""},
            {"a blank in a name", "HTTP/1.1 200 OK\r\nA b: c\r\n" + rest, ""},
            {"an unknown encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok", ""},
            {"an interim answer alone", "HTTP/1.1 103 Early\r\n\r\n", ""},
        };
        for (const auto& r : rows) {
            asio::io_context context(1);
            auto acceptor = listen_on(context, {"127.0.0.1", 0});
            http_client client({"127.0.0.1", acceptor.local_endpoint().port()});
            const auto serve = [&]() -> awaitable<void> {
                tcp::socket socket(co_await asio::this_coro::executor);
                error_code ec;
                co_await acceptor.async_accept(socket, into(ec));
                std::array<char, 4096> request{};
                co_await socket.async_read_some(asio::buffer(request), into(ec));
                co_await asio::async_write(socket, asio::buffer(r.answer), into(ec));
            };
            std::string body;
            const auto call = [&]() -> awaitable<void> {
                http_request request{"GET", "/", "", {}};
                const auto reply = co_await client.request(std::move(request), now() + 2s);
                body = reply ? reply->body : "";
                client.close();
            };
            spawn(context, serve());
            spawn(context, call());
            context.run();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(r.name, r.body, body);
        }
    }

    /// Guards against bytes behind an answer that are taken for the answer to the next request.
    void bytes_after_an_answer_belong_to_no_request() {
        asio::io_context context(1);
        auto acceptor = listen_on(context, {"127.0.0.1", 0});
        http_client client({"127.0.0.1", acceptor.local_endpoint().port()});
        const auto answer = [](const std::string& body) {
            return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        };
        const std::string first = answer("first") + answer("of no request");
        const std::string second = answer("second");
        const auto serve = [&]() -> awaitable<void> {
            for (const auto* bytes : {&first, &second}) {
                tcp::socket socket(co_await asio::this_coro::executor);
                error_code ec;
                co_await acceptor.async_accept(socket, into(ec));
                std::array<char, 4096> request{};
                co_await socket.async_read_some(asio::buffer(request), into(ec));
                co_await asio::async_write(socket, asio::buffer(*bytes), into(ec));
                co_await socket.async_read_some(asio::buffer(request),
                                                into(ec)); // The end of the connection.
            }
        };
        std::vector<std::string> bodies;
        const auto call = [&]() -> awaitable<void> {
            for (int i = 0; i < 2; ++i) {
                http_request request{"GET", "/", "", {}};
                const auto reply = co_await client.request(std::move(request), now() + 2s);
                bodies.push_back(reply ? reply->body : "none");
            }
            client.close();
        };
        spawn(context, serve());
        spawn(context, call());
        context.run_for(5s);
        CPPUNIT_ASSERT_EQUAL(std::string("first"), bodies.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("second"), bodies.at(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_test);

} // namespace balsampost::net
