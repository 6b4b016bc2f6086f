// Requests that arrive while an answer is still being written to a caller that reads it slowly.
#include "caller_rig.h"

#include <malloc.h>

#include <cppunit/extensions/HelperMacros.h>

namespace balsampost::entry {

using namespace std::chrono_literals;

namespace {

/// Answers every request with a body that is larger than the socket buffers.
class large_answer_server {
public:
    static constexpr std::size_t body_bytes = 3'900'000;

    explicit large_answer_server(net::asio::io_context& context)
        : m_acceptor(net::listen_on(context, {"127.0.0.1", 0})) {
        accept();
    }
    core::endpoint at() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    int requests() const { return m_requests; }

private:
    struct session : std::enable_shared_from_this<session> {
        session(large_answer_server& o, net::tcp::socket s) : owner(o), socket(std::move(s)) {}
        void read() {
            socket.async_read_some(net::asio::buffer(buffer),
                                   [self = shared_from_this()](auto ec, std::size_t) {
                                       if (!ec) {
                                           ++self->owner.m_requests;
                                           self->answer();
                                       }
                                   });
        }
        void answer() {
            text = "HTTP/1.1 200 OK\r\nIntegrity: i\r\nRequest-Id: req-1\r\nContent-Length: " +
                   std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x');
            net::asio::async_write(socket, net::asio::buffer(text),
                                   [self = shared_from_this()](auto ec, std::size_t) {
                                       std::string().swap(self->text);
                                       if (!ec) {
                                           self->read();
                                       }
                                   });
        }
        large_answer_server& owner;
        net::tcp::socket socket;
        std::array<char, 8192> buffer{};
        std::string text;
    };
    void accept() {
        m_acceptor.async_accept([this](auto ec, net::tcp::socket s) {
            if (!ec) {
                std::make_shared<session>(*this, std::move(s))->read();
                accept();
            }
        });
    }

    net::tcp::acceptor m_acceptor;
    int m_requests = 0;
};

std::size_t count_of(const std::string& text, const std::string& what) {
    std::size_t n = 0;
    for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) {
        ++n;
    }
    return n;
}

} // namespace

class stop_write_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stop_write_test);
    CPPUNIT_TEST(request_read_behind_an_answer_that_closes_is_answered_or_left_unsent);
    CPPUNIT_TEST(caller_that_reads_slowly_and_steadily_gets_its_whole_answer);
    CPPUNIT_TEST(idle_connections_hold_no_memory_of_their_last_answers);
    CPPUNIT_TEST_SUITE_END();

    static std::shared_ptr<net::tcp::socket> connect(caller_rig<>& rig, int receive_bytes = 4096) {
        auto socket = std::make_shared<net::tcp::socket>(rig.context);
        socket->open(net::tcp::v4());
        socket->set_option(net::asio::socket_base::receive_buffer_size(receive_bytes));
        socket->connect({net::asio::ip::make_address("127.0.0.1"), rig.callers.port()});
        return socket;
    }
    static void use(caller_rig<>& rig, const core::endpoint& at) {
        core::backend b;
        b.self = {"one", 2};
        b.service = "s";
        b.address = at;
        b.failure_domain = "d";
        b.slots = 4;
        rig.state.directory().put(b, now());
        rig.set_limits({});
    }

    /// Guards against a request that goes to a server while the connection is already bound to close.
    void request_read_behind_an_answer_that_closes_is_answered_or_left_unsent() {
        caller_rig<> rig({});
        large_answer_server server(rig.context);
        use(rig, server.at());
        const auto caller = connect(rig);
        CPPUNIT_ASSERT(rig.run_until([&] { return rig.callers.connection_count() == 1; }));
        rig.callers.begin_stop(core::stop_window(now(), 600s));
        caller_rig<>::send(*caller);
        std::string text;
        std::array<char, 65536> buffer{};
        bool closed = false;
        std::function<void()> read = [&] {
            caller->async_read_some(net::asio::buffer(buffer), [&](auto ec, std::size_t n) {
                text.append(buffer.data(), n);
                if (ec) {
                    closed = true;
                } else {
                    read();
                }
            });
        };
        // Its head is there, and the rest cannot be: the answer is being written.
        caller->async_read_some(net::asio::buffer(buffer),
                                [&](auto, std::size_t n) { text.append(buffer.data(), n); });
        CPPUNIT_ASSERT(rig.run_until([&] { return text.find("\r\n\r\n") != std::string::npos; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of(text, "Connection: close"));
        caller_rig<>::send(*caller);
        const auto later = now() + 100ms;
        rig.run_until([&] { return now() > later; });
        read();
        CPPUNIT_ASSERT(rig.run_until([&] { return closed; }));
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(server.requests()), count_of(text, "HTTP/1.1 200"));
    }

    static std::size_t allocated_bytes() {
        const auto info = ::mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    /// Guards against kept connections that outgrow the memory while nothing is in flight.
    void idle_connections_hold_no_memory_of_their_last_answers() {
        constexpr int connections = 4;
        caller_rig<> rig({});
        large_answer_server server(rig.context);
        use(rig, server.at());
        const auto before = allocated_bytes();
        std::vector<std::shared_ptr<net::tcp::socket>> callers;
        for (int i = 0; i < connections; ++i) {
            callers.push_back(connect(rig, 1 << 20));
            caller_rig<>::send(*callers.back());
            std::size_t received = 0;
            std::array<char, 65536> buffer{};
            std::function<void()> read = [&] {
                callers.back()->async_read_some(net::asio::buffer(buffer), [&](auto ec, std::size_t n) {
                    received += n;
                    if (!ec && received < large_answer_server::body_bytes) {
                        read();
                    }
                });
            };
            read();
            CPPUNIT_ASSERT(rig.run_until([&] { return received >= large_answer_server::body_bytes; }));
        }
        CPPUNIT_ASSERT(rig.run_until([&] { return rig.callers.in_flight() == 0; }));
        const auto held = allocated_bytes() - before;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(held), held < large_answer_server::body_bytes);
    }

    /// Guards against cutting an answer for a caller that takes bytes all the time.
    void caller_that_reads_slowly_and_steadily_gets_its_whole_answer() {
        caller_rig<> rig({});
        large_answer_server server(rig.context);
        use(rig, server.at());
        core::caller_limits limits;
        limits.idle_timeout = 300ms;
        rig.set_limits(limits);
        const auto caller = connect(rig, 32'768);
        caller_rig<>::send(*caller);
        std::size_t received = 0;
        bool closed = false;
        std::array<char, 32'768> buffer{};
        std::function<void()> read = [&] {
            caller->async_read_some(net::asio::buffer(buffer), [&](auto ec, std::size_t n) {
                received += n;
                if (ec) {
                    closed = true;
                    return;
                }
                rig.timer_queue.at(now() + 20ms, read); // Never a pause near the idle timeout.
            });
        };
        read();
        rig.run_until([&] { return closed || received >= large_answer_server::body_bytes; });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(received) + " bytes",
                               received >= large_answer_server::body_bytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_write_test);

} // namespace balsampost::entry
