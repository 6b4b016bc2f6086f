// Guards against an answer to an earlier order that is taken for the answer to a later one: a server sends a
// second copy late, where the next answer is expected.
#include "balsampost/entry/order_client.h"

#include "fakes.h"

#include <cppunit/extensions/HelperMacros.h>

namespace balsampost::entry {

namespace {

using namespace std::chrono_literals;
using core::order_outcome;

/// A backend server that answers orders. It may echo their ids, and send its previous answer of a connection
/// once more before the next one.
class order_backend {
public:
    order_backend(net::asio::io_context& context, bool echo)
        : m_echo(echo), m_acceptor(net::listen_on(context, {"127.0.0.1", 0})) {
        accept();
    }
    core::endpoint at() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    std::size_t connections() const { return m_connections; }

    bool repeats = false;      ///< Sends the previous answer of the connection first.
    bool withholds = false;    ///< Sends no answer of its own.
    std::string id_of_answers; ///< In place of the order's id.
    std::string status = "200 OK";

private:
    struct session : std::enable_shared_from_this<session> {
        session(order_backend& o, net::tcp::socket s) : owner(o), socket(std::move(s)) {}
        void read() {
            net::asio::async_read_until(socket, net::asio::dynamic_buffer(text), "\r\n\r\n{}",
                                        [self = shared_from_this()](auto ec, std::size_t n) {
                                            if (!ec) {
                                                self->received(n);
                                            }
                                        });
        }
        void received(std::size_t n) {
            const auto head = text.substr(0, n);
            text.erase(0, n);
            const auto id_at = head.find("Request-Id: ") + 12;
            auto id = head.substr(id_at, head.find("\r\n", id_at) - id_at);
            id = owner.id_of_answers.empty() ? id : owner.id_of_answers;
            const bool release = head.starts_with("POST /release");
            const auto answer =
                "HTTP/1.1 " + owner.status + "\r\nContent-Length: 0\r\n" +
                (owner.m_echo ? "Request-Id: " + id + "\r\n" : "") +
                (release ? "Handover: h" + std::to_string(++owner.m_handovers) + "\r\n" : "") + "\r\n";
            net::error_code ignored;
            if (owner.repeats && !previous.empty()) {
                net::asio::write(socket, net::asio::buffer(previous), ignored);
            } else if (!owner.withholds) {
                net::asio::write(socket, net::asio::buffer(answer), ignored);
                previous = answer;
            }
            read();
        }
        order_backend& owner;
        net::tcp::socket socket;
        std::string text;
        std::string previous;
    };
    void accept() {
        m_acceptor.async_accept([this](auto ec, net::tcp::socket s) {
            if (!ec) {
                ++m_connections;
                std::make_shared<session>(*this, std::move(s))->read();
                accept();
            }
        });
    }
    bool m_echo;
    net::tcp::acceptor m_acceptor;
    std::size_t m_connections = 0;
    int m_handovers = 0;
};

struct order_fixture {
    explicit order_fixture(bool echo) : server(context, echo) {}

    order_result send(const std::string& target) {
        std::optional<order_result> out;
        orders.send("one", server.at(), {"POST", target, "text/plain", "{}"}, now() + 200ms,
                    [&](const order_result& r) { out = r; });
        while (!out) {
            context.restart();
            context.run_for(1ms);
        }
        return *out;
    }

    net::asio::io_context context{1};
    timers clock{context};
    http_client client{context, clock, {}};
    fake_platform adapter;
    order_client orders{client, adapter, "p"};
    order_backend server;
};

} // namespace

class order_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(order_client_test);
    CPPUNIT_TEST(a_repeated_answer_is_not_the_answer_to_a_release);
    CPPUNIT_TEST(answers_with_ids_share_a_connection);
    CPPUNIT_TEST(answers_without_ids_get_a_connection_each);
    CPPUNIT_TEST(outcomes);
    CPPUNIT_TEST_SUITE_END();

    void a_repeated_answer_is_not_the_answer_to_a_release() {
        for (const bool echo : {true, false}) {
            order_fixture f(echo);
            CPPUNIT_ASSERT(f.send("/grant").outcome == order_outcome::done);
            f.server.repeats = f.server.withholds = true; // The release waits for the work to end.
            const auto release = f.send("/release");
            CPPUNIT_ASSERT(release.outcome == order_outcome::unknown && release.handover.empty());
            f.server.repeats = f.server.withholds = false;
            const auto again = f.send("/release");
            CPPUNIT_ASSERT(again.outcome == order_outcome::done && !again.handover.empty());
        }
    }

    void answers_with_ids_share_a_connection() {
        order_fixture f(true);
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(f.send("/grant").outcome == order_outcome::done);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.server.connections());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.orders.connections_to(f.server.at()));
        f.server.id_of_answers = "p-1"; // Of the first order.
        CPPUNIT_ASSERT(f.send("/grant").outcome == order_outcome::unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.orders.connections_to(f.server.at()));
    }

    /// One connection stays open, since the end of all shows that the server may have restarted.
    void answers_without_ids_get_a_connection_each() {
        order_fixture f(false);
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(f.send("/grant").outcome == order_outcome::done);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.orders.connections_to(f.server.at()));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, f.server.connections());
    }

    void outcomes() {
        const std::pair<const char*, order_outcome> rows[] = {{"200 OK", order_outcome::done},
                                                              {"409 Conflict", order_outcome::fenced},
                                                              {"421 Misdirected", order_outcome::not_sent},
                                                              {"400 Bad Request", order_outcome::invalid},
                                                              {"503 Unavailable", order_outcome::invalid}};
        for (const auto& [status, outcome] : rows) {
            order_fixture f(true);
            f.server.status = status;
            const auto result = f.send("/release");
            CPPUNIT_ASSERT_MESSAGE(status, result.outcome == outcome && result.handover == "h1");
        }
        order_fixture f(true);
        f.server.withholds = true;
        CPPUNIT_ASSERT(f.send("/grant").outcome == order_outcome::unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_client_test);

} // namespace balsampost::entry
