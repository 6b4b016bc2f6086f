// Includes Boost.Asio and Boost.Beast for the whole project, so that headers which must precede them are
// included in the right order, and declares small helpers for sockets and coroutines.
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

/// Returns the current time of the monotonic clock, which the core uses for all time points.
inline core::time_point now() {
    return std::chrono::steady_clock::now();
}

/// Returns a completion token for awaited operations that stores the error in `ec` instead of throwing.
inline auto into(error_code& ec) {
    return asio::redirect_error(asio::use_awaitable, ec);
}

/// Converts a validated endpoint to an Asio endpoint.
inline tcp::endpoint to_tcp(const core::endpoint& e) {
    return {asio::ip::make_address(e.address), e.port};
}

/// Suspends the calling coroutine for `delay`.
awaitable<void> wait_for(core::duration delay);

/// Starts `work` as an independent coroutine on `executor`. Coroutines must handle their errors: an exception
/// that leaves `work` violates this invariant and is rethrown out of the event loop.
template <class Executor>
void spawn(Executor&& executor, awaitable<void> work) {
    asio::co_spawn(std::forward<Executor>(executor), std::move(work), [](std::exception_ptr e) {
        if (e) {
            std::rethrow_exception(e);
        }
    });
}

/// Returns whether `socket` is open, the peer has not closed it, and no received data is waiting to be read.
bool is_open_and_idle(tcp::socket& socket);

/// Returns the number of bytes that were written to `socket` and that the peer has not acknowledged; 0 if the
/// system does not tell.
std::size_t queued_bytes(tcp::socket& socket);

/// Binds a socket to `local`, with SO_REUSEADDR. Connections are refused until `listen` is called on it.
/// Throws `boost::system::system_error` if the address is unavailable.
tcp::acceptor bind_to(asio::io_context& context, const core::endpoint& local);

/// Opens a listening socket on `local`, with SO_REUSEADDR. Throws `boost::system::system_error` if the
/// address is unavailable; the programs report this at startup.
tcp::acceptor listen_on(asio::io_context& context, const core::endpoint& local);

} // namespace balsampost::net
