// Tests that the client ends exchanges with servers that send endless headers, bodies or interim responses,
// fast or slowly, and that the memory it uses for them is bounded.
#include "balsampost/entry/http_client.h"

#include "fakes.h"

#include <cppunit/extensions/HelperMacros.h>

namespace balsampost::entry {

namespace {

using namespace std::chrono_literals;

/// Sends `begin` to each request and then `more` until the other side closes, `pause` apart.
class endless_backend {
public:
    endless_backend(net::asio::io_context& context, std::string begin, std::string more,
                    core::milliseconds pause)
        : m_acceptor(net::listen_on(context, {"127.0.0.1", 0})), m_begin(std::move(begin)),
          m_more(std::move(more)), m_pause(pause) {
        accept();
    }
    core::endpoint at() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    std::size_t closed() const { return m_closed; }
    std::uint64_t sent() const { return m_sent; }

private:
    struct session : std::enable_shared_from_this<session> {
        session(endless_backend& o, net::tcp::socket s)
            : owner(o), socket(std::move(s)), timer(socket.get_executor()) {}
        void start() {
            socket.async_read_some(net::asio::buffer(buffer), [self = shared_from_this()](auto ec, auto) {
                if (!ec) {
                    self->write(self->owner.m_begin);
                }
            });
        }
        void write(const std::string& bytes) {
            net::asio::async_write(
                socket, net::asio::buffer(bytes), [self = shared_from_this()](auto ec, std::size_t n) {
                    self->owner.m_sent += n;
                    if (ec) {
                        ++self->owner.m_closed;
                        return;
                    }
                    self->timer.expires_after(self->owner.m_pause);
                    self->timer.async_wait([self](auto) { self->write(self->owner.m_more); });
                });
        }
        endless_backend& owner;
        net::tcp::socket socket;
        net::asio::steady_timer timer;
        std::array<char, 4096> buffer{};
    };
    void accept() {
        m_acceptor.async_accept([this](auto ec, net::tcp::socket s) {
            if (!ec) {
                std::make_shared<session>(*this, std::move(s))->start();
                accept();
            }
        });
    }
    net::tcp::acceptor m_acceptor;
    std::string m_begin;
    std::string m_more;
    core::milliseconds m_pause;
    std::size_t m_closed = 0;
    std::uint64_t m_sent = 0;
};

constexpr std::uint64_t max_body_bytes = 256U << 10U;
constexpr std::uint64_t max_total_body_bytes = 1U << 20U;

} // namespace

class http_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_client_test);
    CPPUNIT_TEST(endless_responses_are_cut_off);
    CPPUNIT_TEST(responses_share_a_memory_limit);
    CPPUNIT_TEST(default_limits_suit_a_small_instance);
    CPPUNIT_TEST(a_request_that_is_withdrawn_while_connecting_is_not_sent);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against a request that reaches a server whose time to leave passed while the connection was
    /// made.
    void a_request_that_is_withdrawn_while_connecting_is_not_sent() {
        for (const bool allowed : {true, false}) {
            net::asio::io_context context{1};
            timers timer_queue(context);
            http_client client(context, timer_queue, {});
            echo_backend server(context);
            bool may_send = true;
            exchange_request request;
            request.head = "GET /x HTTP/1.1\r\nRequest-Id: req-1\r\n\r\n";
            request.deadline = now() + 60'000ms;
            request.may_send = [&] { return may_send; };
            std::optional<exchange_result> ended;
            client.start(server.at(), std::move(request), [&](exchange_result& result) {
                ended = std::move(result);
                return true;
            });
            may_send = allowed;
            while (!ended) {
                context.restart();
                context.run_for(1ms);
            }
            CPPUNIT_ASSERT_EQUAL(!allowed, ended->withdrawn);
            CPPUNIT_ASSERT(ended->end == (allowed ? exchange_end::answered : exchange_end::not_sent));
            CPPUNIT_ASSERT_EQUAL(std::size_t{allowed ? 1U : 0U}, server.seen().size());
        }
    }

    void endless_responses_are_cut_off() {
        struct row {
            const char* name;
            std::string begin;
            std::string more;
            core::milliseconds pause;
            bool ends_by_deadline; ///< Only the deadline ends the exchange.
        };
        const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: req-1\r\nIntegrity: i\r\n";
        const std::string block(8192, 'x');
        const row rows[] = {
            {"no line end", "HTTP/1.1 ", block, 0ms, false},
            {"a header without end", head + "X: ", block, 0ms, false},
            {"headers without end", head, "X: y\r\n", 0ms, false},
            {"a body up to the close", head + "\r\n", block, 0ms, false},
            {"a body of a length too large", head + "Content-Length: 999999999999\r\n\r\n", block, 0ms,
             false},
            {"chunks without end", head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", 0ms, false},
            {"a chunk without end", head + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", block, 0ms,
             false},
            {"a chunk's extension without end", head + "Transfer-Encoding: chunked\r\n\r\n4;a=", block, 0ms,
             false},
            {"trailers without end", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", 0ms,
             false},
            {"interim answers without end", "HTTP/1.1 102 Processing\r\n\r\n",
             "HTTP/1.1 102 Processing\r\n\r\n", 0ms, false},
            {"a head, slowly", head, "X: y\r\n", 20ms, true},
            {"a body, slowly", head + "\r\n", "x", 20ms, true},
        };
        for (const auto& r : rows) {
            net::asio::io_context context{1};
            timers timer_queue(context);
            client_limits limits;
            limits.body_bytes = max_body_bytes;
            limits.all_body_bytes = max_total_body_bytes;
            http_client client(context, timer_queue, limits);
            endless_backend server(context, r.begin, r.more, r.pause);
            exchange_request request;
            request.head = "GET /x HTTP/1.1\r\n\r\n";
            request.deadline = now() + (r.ends_by_deadline ? 300ms : 60'000ms);
            std::optional<exchange_result> ended;
            client.start(server.at(), std::move(request), [&](exchange_result& result) {
                ended = std::move(result);
                return true;
            });
            while (!ended || server.closed() == 0) {
                context.restart();
                context.run_for(5ms);
            }
            CPPUNIT_ASSERT_MESSAGE(r.name, ended->end == exchange_end::lost);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(r.name, r.ends_by_deadline, ended->timed_out);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(r.name, std::size_t{0}, client.connections_to(server.at()));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(r.name, std::uint64_t{0}, client.body_bytes());
        }
    }

    /// Guards against answers to orders, which have no body worth reading, that take more memory than the
    /// machine has: bytes without end from several servers at once.
    void default_limits_suit_a_small_instance() {
        net::asio::io_context context{1};
        timers timer_queue(context);
        http_client client(context, timer_queue, {});
        endless_backend server(context, "HTTP/1.1 200 OK\r\n\r\n", std::string(1U << 20U, 'x'), 0ms);
        std::size_t lost = 0;
        std::uint64_t most = 0;
        for (int i = 0; i < 8; ++i) {
            exchange_request request;
            request.head = "POST /x HTTP/1.1\r\n\r\n";
            request.new_connection = true;
            request.deadline = now() + 60'000ms;
            client.start(server.at(), std::move(request), [&](exchange_result& result) {
                lost += result.end == exchange_end::lost && result.malformed ? 1 : 0;
                return true;
            });
        }
        while (lost < 8) {
            context.restart();
            context.run_for(1ms);
            most = std::max(most, client.body_bytes());
        }
        CPPUNIT_ASSERT(most <= 17U << 20U);
    }

    /// Each body is within its own limit, but together they would exceed the memory limit.
    void responses_share_a_memory_limit() {
        net::asio::io_context context{1};
        timers timer_queue(context);
        client_limits limits;
        limits.body_bytes = max_body_bytes;
        limits.all_body_bytes = max_body_bytes / 2;
        http_client client(context, timer_queue, limits);
        // Bodies that stop growing just below their bound.
        endless_backend server(
            context, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + std::string(90'000, 'x'), "", 5ms);
        std::size_t lost = 0;
        std::vector<http_client::handle> handles;
        for (int i = 0; i < 4; ++i) {
            exchange_request request;
            request.head = "GET /x HTTP/1.1\r\n\r\n";
            request.new_connection = true;
            request.deadline = now() + 60'000ms;
            handles.push_back(client.start(server.at(), std::move(request), [&](exchange_result& result) {
                lost += result.end == exchange_end::lost && !result.timed_out ? 1 : 0;
                return true;
            }));
        }
        while (lost < 3) {
            context.restart();
            context.run_for(5ms);
        }
        CPPUNIT_ASSERT(client.body_bytes() <= limits.all_body_bytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, client.connections_to(server.at()));
        for (const auto& h : handles) {
            http_client::abort(h);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, client.body_bytes());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);

} // namespace balsampost::entry
