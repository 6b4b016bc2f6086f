// The one place that includes Boost.Asio and Beast, so that what must come before them does.
#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "balsampost/core/ini.h"
#include "balsampost/core/time.h"

namespace balsampost::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::awaitable;
using tcp = asio::ip::tcp;
using boost::system::error_code;

/// Now, by the monotonic clock that all times of the core are read from.
inline core::time_point now() {
    return std::chrono::steady_clock::now();
}

/// Completion token that returns the error in `ec` in place of throwing.
inline auto into(error_code& ec) {
    return asio::redirect_error(asio::use_awaitable, ec);
}

/// The Asio form of a checked endpoint.
inline tcp::endpoint to_tcp(const core::endpoint& e) {
    return {asio::ip::make_address(e.address), e.port};
}

/// Suspends the calling coroutine for `length`.
awaitable<void> wait_for(core::duration length);

/// Runs `work` on `context` as a coroutine of its own. An exception out of it is a broken invariant.
template <class Executor>
void spawn(Executor&& executor, awaitable<void> work) {
    asio::co_spawn(std::forward<Executor>(executor), std::move(work), [](std::exception_ptr e) {
        if (e) {
            std::rethrow_exception(e);
        }
    });
}

/// Whether nothing is to be read from `socket` and the other side has not closed it.
bool is_quiet(tcp::socket& socket);

/// Binds a socket to `at` that refuses connections until `listen` is called on it.
tcp::acceptor bind_to(asio::io_context& context, const core::endpoint& at);

/// Opens a listening socket on `at`, with SO_REUSEADDR. Throws `boost::system::system_error` if the address
/// is not to be had; the programs report that at start.
tcp::acceptor listen_on(asio::io_context& context, const core::endpoint& at);

} // namespace balsampost::net
