// Detection of connections that the peer has closed.
#include "balsampost/net/signal.h"

namespace balsampost::net {

struct close_watch::state {
    tcp::socket* socket = nullptr; // Null after the watch is destroyed.
    std::function<void()> on_close;
    bool waiting = true; // True until the asynchronous wait has completed.
};

close_watch::close_watch(tcp::socket& socket, std::function<void()> on_close)
    : m_state(std::make_shared<state>()) {
    m_state->socket = &socket;
    m_state->on_close = std::move(on_close);
    socket.async_wait(tcp::socket::wait_read, [s = m_state](error_code ec) {
        s->waiting = false;
        if (ec || s->socket == nullptr || !s->socket->is_open()) {
            return;
        }
        char byte = 0;
        s->socket->non_blocking(true, ec);
        // End of stream shows as a successful read of zero bytes or as an error.
        const auto received = s->socket->receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
        if (ec != asio::error::would_block && (ec || received == 0)) {
            s->on_close();
        }
    });
}

close_watch::~close_watch() {
    if (m_state->waiting && m_state->socket->is_open()) {
        error_code ec;
        m_state->socket->cancel(ec);
    }
    m_state->socket = nullptr;
}

} // namespace balsampost::net
