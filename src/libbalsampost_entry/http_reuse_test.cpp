// Reuse of connections that servers close while they are idle.
#include "balsampost/entry/http_client.h"
#include "fakes.h"

#include <cppunit/extensions/HelperMacros.h>

namespace balsampost::entry {

using namespace std::chrono_literals;

class http_reuse_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_reuse_test);
    CPPUNIT_TEST(connection_that_the_server_has_closed_is_not_reused);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against sending on a connection whose end has arrived and only waits for the event loop.
    void connection_that_the_server_has_closed_is_not_reused() {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        net::asio::io_context context{1};
        timers clock(context);
        http_client client(context, clock, {});
        scripted_backend server(context, {answer + "|close", answer});
        std::vector<exchange_end> ends;
        const auto get = [&] {
            exchange_request request;
            request.head = "GET / HTTP/1.1\r\n\r\n";
            request.deadline = now() + 5s;
            client.start(server.at(), std::move(request), [&](exchange_result& result) {
                ends.push_back(result.end);
                return true;
            });
        };
        const auto run_until_ended = [&](std::size_t count) {
            const auto give_up = now() + 10s;
            while (ends.size() < count && now() < give_up) {
                context.restart();
                context.run_one_for(100ms);
            }
        };
        get();
        run_until_ended(1);
        get();
        run_until_ended(2);
        CPPUNIT_ASSERT(ends == (std::vector{exchange_end::answered, exchange_end::answered}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_reuse_test);

} // namespace balsampost::entry
