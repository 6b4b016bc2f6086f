// Listeners and clients that are short of descriptors: nobody waits without an answer, nothing spins, no
// server is blamed.
#include "balsampost/entry/caller_listener.h"
#include "balsampost/entry/entry_metrics.h"
#include "balsampost/entry/page_server.h"
#include "fakes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>

#include <sys/resource.h>

namespace balsampost::entry {

namespace {

using namespace std::chrono_literals;
using core::descriptor_use;

constexpr std::uint64_t few_descriptors = 64;
const std::string request_text = "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: req-1\r\n\r\n";

/// Allows the process as many descriptors as are open now.
class no_more_descriptors {
public:
    no_more_descriptors() {
        ::getrlimit(RLIMIT_NOFILE, &m_before);
        auto limit = m_before;
        limit.rlim_cur = 0;
        for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
            limit.rlim_cur = std::max<rlim_t>(limit.rlim_cur, std::stoul(entry.path().filename()) + 1);
        }
        ::setrlimit(RLIMIT_NOFILE, &limit);
        while (m_fillers.size() < limit.rlim_cur) { // Numbers below the highest that are free.
            const int filler = ::dup(0);
            if (filler < 0) {
                break;
            }
            m_fillers.push_back(filler);
        }
    }
    ~no_more_descriptors() {
        for (const int filler : m_fillers) {
            ::close(filler);
        }
        ::setrlimit(RLIMIT_NOFILE, &m_before);
    }

private:
    rlimit m_before{};
    std::vector<int> m_fillers;
};

struct small_instance {
    small_instance() {
        config.listen.callers = {"127.0.0.1", 0};
        callers.start();
        pages.start(context, {"127.0.0.1", 0});
    }
    ~small_instance() {
        callers.close_all();
        pages.stop();
    }
    /// Returns whether `done` became true within `limit`.
    bool run_until(const std::function<bool()>& done, core::milliseconds limit = 10s) {
        const auto give_up = now() + limit;
        while (!done() && now() < give_up) {
            context.restart();
            context.run_for(5ms);
        }
        return done();
    }
    net::tcp::socket connection(std::uint16_t port) {
        net::tcp::socket socket(context);
        socket.connect({net::asio::ip::make_address("127.0.0.1"), port});
        return socket;
    }
    /// Sends a request and returns what was answered until the connection closed.
    std::string answer(std::uint16_t port, const std::string& text) {
        auto socket = connection(port);
        net::error_code ignored;
        net::asio::write(socket, net::asio::buffer(text), ignored);
        std::string answer;
        bool ended = false;
        net::asio::async_read(socket, net::asio::dynamic_buffer(answer),
                              [&](net::error_code, std::size_t) { ended = true; });
        CPPUNIT_ASSERT(run_until([&] { return ended; }));
        return answer;
    }

    settings config;
    net::asio::io_context context{1};
    timers timer_queue{context};
    descriptor_room room{few_descriptors};
    http_client client{context, timer_queue, {}};
    fake_platform adapter;
    entry_metrics metrics;
    traffic_state state{config};
    caller_listener callers{context, {state, client, timer_queue, adapter, metrics}, config, &room};
    page_server pages{context, room, descriptor_use::readiness, "readiness", [] {
                          return page{200, "text/plain", "ready"};
                      }};
};

const std::string last_request = "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

} // namespace

class accept_limit_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(accept_limit_test);
    CPPUNIT_TEST(callers_beyond_the_share_are_closed_at_once);
    CPPUNIT_TEST(idle_connections_make_room_for_new_callers);
    CPPUNIT_TEST(readiness_is_answered_among_many_silent_connections);
    CPPUNIT_TEST(accepting_without_descriptors_does_not_spin);
    CPPUNIT_TEST(connections_without_room_blame_no_server);
    CPPUNIT_TEST(many_pipelined_requests_do_not_exhaust_the_stack);
    CPPUNIT_TEST_SUITE_END();

    void callers_beyond_the_share_are_closed_at_once() {
        small_instance i;
        const auto share = core::max_sockets(i.room.split(), descriptor_use::callers);
        std::vector<net::tcp::socket> busy;
        while (busy.size() < share) {
            busy.push_back(i.connection(i.callers.port()));
            net::asio::write(busy.back(), net::asio::buffer(std::string("GET")));
        }
        CPPUNIT_ASSERT(i.run_until([&] { return i.callers.connection_count() == share; }));
        CPPUNIT_ASSERT_EQUAL(std::string(), i.answer(i.callers.port(), last_request));
        CPPUNIT_ASSERT_EQUAL(std::size_t{share}, i.callers.connection_count());
        busy.pop_back();
        CPPUNIT_ASSERT(i.run_until([&] { return i.callers.connection_count() < share; }));
        CPPUNIT_ASSERT(i.answer(i.callers.port(), last_request).starts_with("HTTP/1.1 503"));
    }

    void idle_connections_make_room_for_new_callers() {
        small_instance i;
        const auto share = core::max_sockets(i.room.split(), descriptor_use::callers);
        std::vector<net::tcp::socket> idle;
        while (idle.size() < share) {
            idle.push_back(i.connection(i.callers.port()));
        }
        CPPUNIT_ASSERT(i.run_until([&] { return i.callers.connection_count() == share; }));
        CPPUNIT_ASSERT(i.run_until(
            [&] { return i.answer(i.callers.port(), last_request).starts_with("HTTP/1.1 503"); }));
    }

    void readiness_is_answered_among_many_silent_connections() {
        small_instance i;
        std::vector<net::tcp::socket> silent;
        while (silent.size() < 400) {
            silent.push_back(i.connection(i.pages.port()));
        }
        const auto answer = i.answer(i.pages.port(), last_request);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("ready"));
        CPPUNIT_ASSERT(i.pages.connection_count() <=
                       i.room.split().reserved[core::index_of(descriptor_use::readiness)]);
    }

    void accepting_without_descriptors_does_not_spin() {
        small_instance i;
        const auto waiting = i.connection(i.callers.port());
        {
            const no_more_descriptors none;
            i.context.restart();
            const auto handlers = i.context.run_for(500ms);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(handlers), handlers < 100);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, i.callers.connection_count());
        }
        CPPUNIT_ASSERT(i.run_until([&] { return i.callers.connection_count() == 1; }));
    }

    /// Guards against taking a server for lost when this process could not open a socket.
    void connections_without_room_blame_no_server() {
        small_instance i;
        scripted_backend one(i.context, {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "silence"});
        scripted_backend other(i.context, {"silence"});
        i.client.limit_connections([&] { return i.client.connection_count() < 1; });
        std::vector<exchange_result> results;
        const auto send = [&](const scripted_backend& to) {
            i.client.start(to.at(), {request_text, nullptr, false, false, false, now() + 60s},
                           [&](exchange_result& r) {
                               results.push_back(r);
                               return true;
                           });
        };
        send(one);
        CPPUNIT_ASSERT(i.run_until([&] { return results.size() == 1; }));
        CPPUNIT_ASSERT(results[0].end == exchange_end::answered);
        send(other); // Takes the place of the idle connection.
        CPPUNIT_ASSERT(i.run_until([&] { return other.requests() == 1; }));
        send(one);
        CPPUNIT_ASSERT(i.run_until([&] { return results.size() == 2; }));
        CPPUNIT_ASSERT(results[1].end == exchange_end::not_sent && results[1].no_room);
        CPPUNIT_ASSERT(!results[1].refused);
    }

    /// Requests that are refused as soon as they are read were handled one inside the other.
    void many_pipelined_requests_do_not_exhaust_the_stack() {
        small_instance i;
        constexpr int count = 20'000;
        std::string text;
        for (int n = 1; n < count; ++n) {
            text += "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
        }
        text += last_request;
        auto socket = i.connection(i.callers.port());
        std::string answers;
        bool ended = false;
        net::asio::async_write(socket, net::asio::buffer(text), [](auto, auto) {});
        net::asio::async_read(socket, net::asio::dynamic_buffer(answers), [&](auto, auto) { ended = true; });
        CPPUNIT_ASSERT(i.run_until([&] { return ended; }, 60s));
        int answered = 0;
        for (auto at = answers.find("HTTP/1.1 503"); at != std::string::npos;
             at = answers.find("HTTP/1.1 503", at + 1)) {
            ++answered;
        }
        CPPUNIT_ASSERT_EQUAL(count, answered);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(accept_limit_test);

} // namespace balsampost::entry
