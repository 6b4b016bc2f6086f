// Answers of faulty servers that must not be taken for complete ones: ended by a reset, or with a head that
// is no valid one.
#include "balsampost/entry/http_client.h"

#include "fakes.h"

#include <cppunit/extensions/HelperMacros.h>

namespace balsampost::entry {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t upload_bytes = 16U << 20U; // More than the sockets' buffers hold.

/// Answers the first bytes of each upload with `answer`, and ends the connection when told to.
class early_answering_backend {
public:
    early_answering_backend(net::asio::io_context& context, std::string answer)
        : m_acceptor(net::listen_on(context, {"127.0.0.1", 0})), m_socket(context),
          m_answer(std::move(answer)) {
        m_acceptor.async_accept(m_socket, [this](auto) {
            m_socket.async_read_some(net::asio::buffer(m_buffer), [this](auto, auto) {
                net::error_code ignored;
                net::asio::write(m_socket, net::asio::buffer(m_answer), ignored);
            });
        });
    }
    core::endpoint at() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    void reset() {
        net::error_code ignored;
        m_socket.set_option(net::asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }

private:
    net::tcp::acceptor m_acceptor;
    net::tcp::socket m_socket;
    std::string m_answer;
    std::array<char, 4096> m_buffer{};
};

} // namespace

class response_faults_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(response_faults_test);
    CPPUNIT_TEST(an_answer_cut_by_a_reset_during_the_upload_is_lost);
    CPPUNIT_TEST(an_answer_with_an_invalid_head_is_lost);
    CPPUNIT_TEST(unusual_but_valid_answers_are_taken);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against a part of a body taken for the whole: the pending write takes the error of a reset from
    /// the socket, and the read then sees a normal end.
    void an_answer_cut_by_a_reset_during_the_upload_is_lost() {
        net::asio::io_context context{1};
        timers timer_queue(context);
        http_client client(context, timer_queue, {});
        early_answering_backend server(context, "HTTP/1.1 200 OK\r\nRequest-Id: req-1\r\n\r\nhalf of the");
        exchange_request request;
        request.head = "POST /x HTTP/1.1\r\nContent-Length: " + std::to_string(upload_bytes) + "\r\n\r\n";
        request.body = std::make_shared<const std::string>(upload_bytes, 'u');
        request.deadline = now() + 60'000ms;
        std::optional<exchange_result> ended;
        client.start(server.at(), std::move(request), [&](exchange_result& result) {
            ended = std::move(result);
            return true;
        });
        while (client.body_bytes() == 0) {
            context.run_for(1ms);
        }
        server.reset();
        while (!ended) {
            context.restart();
            context.run_for(1ms);
        }
        CPPUNIT_ASSERT(ended->end == exchange_end::lost);
    }

    /// Returns how the exchange ends whose server sends `answer` and closes the connection.
    static exchange_result result_of(const std::string& answer) {
        net::asio::io_context context{1};
        timers timer_queue(context);
        http_client client(context, timer_queue, {});
        scripted_backend server(context, {answer + "|close"});
        exchange_request request;
        request.head = "GET /x HTTP/1.1\r\n\r\n";
        request.deadline = now() + 60'000ms;
        std::optional<exchange_result> ended;
        client.start(server.at(), std::move(request), [&](exchange_result& result) {
            ended = std::move(result);
            return true;
        });
        while (!ended) {
            context.restart();
            context.run_for(1ms);
        }
        return *ended;
    }

    /// Guards against heads that the parser accepts, or understands in another way than the server.
    void an_answer_with_an_invalid_head_is_lost() {
        using namespace std::string_literals;
        const std::string heads[] = {
            "HTTP/1.1 000 OK\r\n"s,
            "HTTP/1.1 099 OK\r\n"s,
            "HTTP/1.1 600 OK\r\n"s,
            "HTTP/1.1 999 OK\r\n"s,
            "HTTP/1.1 20 OK\r\n"s,
            "HTTP/1.1 2000 OK\r\n"s,
            "HTTP/2.0 200 OK\r\n"s,
            "HTTP/0.9 200 OK\r\n"s,
            "HTTP/1.1 200 OK\r\n X: y\r\n"s,
            "HTTP/1.1 200 OK\r\n\tX: y\r\n"s,
            "HTTP/1.1 200 OK\r\nA: b\r\n X: y\r\n"s,
            "HTTP/1.1 200 OK\r\nA: b\r\n\tX: y\r\n"s,
            "HTTP/1.1 200 OK\r\nA: b\r\n \r\n"s,
            "HTTP/1.1 200 OK\r\nX : y\r\n"s,
            "HTTP/1.1 200 OK\r\nX\t: y\r\n"s,
            "HTTP/1.1 200 OK\r\nX Y: z\r\n"s,
            "HTTP/1.1 200 OK\r\nX\x01Y: z\r\n"s,
            "HTTP/1.1 200 OK\r\nX\x7fY: z\r\n"s,
            "HTTP/1.1 200 OK\r\nX\xe4Y: z\r\n"s,
            "HTTP/1.1 200 OK\r\nX\0Y: z\r\n"s,
            "HTTP/1.1 200 OK\r\n\0: z\r\n"s,
            "HTTP/1.1 200 OK\r\n: z\r\n"s,
            "HTTP/1.1 200 OK\r\nno colon\r\n"s,
            "HTTP/1.1 200 OK\r\nX: y\x01z\r\n"s,
            "HTTP/1.1 200 OK\r\nX: y\0z\r\n"s,
            "HTTP/1.1 200 OK\r\nX: y\rZ: z\r\n"s,
            "HTTP/1.1 200 OK\r\nX: y\nContent-Length: 1\r\n"s,
            "HTTP/1.1 200 O\x01K\r\n"s,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"s,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n"s,
            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"s,
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n"s,
            "HTTP/1.1 200 OK\r\nContent-Length: 2, 1\r\n"s,
            "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n"s,
        };
        std::string taken;
        for (const auto& head : heads) {
            for (const auto* rest : {"Request-Id: req-1\r\n\r\nno", "Content-Length: 2\r\n\r\nno"}) {
                const auto result = result_of(head + rest);
                if (result.end != exchange_end::lost || !result.malformed) {
                    taken += "\n" + head + rest;
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    }

    void unusual_but_valid_answers_are_taken() {
        const std::string heads[] = {
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.0 200 OK\r\n",
            "HTTP/1.1 200 \r\n",
            "HTTP/1.1 599 OK\r\n",
            "HTTP/1.1 200 OK\r\nX:\r\n",
            "HTTP/1.1 200 OK\r\nX:\t y \t\r\n",
            "HTTP/1.1 200 OK\r\nX: y\tz\r\n",
            "HTTP/1.1 200 OK\r\nX: \xc3\xa4\r\n",
            "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: y\r\n",
            "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n",
        };
        for (const auto& head : heads) {
            for (const auto* rest : {"\r\nno", "Content-Length: 2\r\n\r\nno"}) {
                const auto result = result_of(head + rest);
                CPPUNIT_ASSERT_MESSAGE(head + rest + result.reason, result.end == exchange_end::answered);
                CPPUNIT_ASSERT_EQUAL(std::string("no"), result.reply.body);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_faults_test);

} // namespace balsampost::entry
