// Timer and socket helpers based on Boost.Asio.
#include "balsampost/net/asio.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace balsampost::net {

awaitable<void> wait_for(core::duration delay) {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(delay);
    error_code ec;
    co_await timer.async_wait(into(ec));
}

bool is_open_and_idle(tcp::socket& socket) {
    error_code ec;
    char byte = 0;
    if (!socket.is_open()) {
        return false;
    }
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
}

std::size_t queued_bytes(tcp::socket& socket) {
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
}

tcp::acceptor bind_to(asio::io_context& context, const core::endpoint& local) {
    tcp::acceptor acceptor(context);
    const auto address = to_tcp(local);
    acceptor.open(address.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(address);
    return acceptor;
}

tcp::acceptor listen_on(asio::io_context& context, const core::endpoint& local) {
    auto acceptor = bind_to(context, local);
    acceptor.listen();
    return acceptor;
}

} // namespace balsampost::net
