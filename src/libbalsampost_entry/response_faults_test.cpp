// Answers of faulty servers that must not be taken for complete ones.
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_faults_test);

} // namespace balsampost::entry
