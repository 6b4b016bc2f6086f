// The loop of accepting, and its pause after errors.
#include "balsampost/entry/accept_loop.h"

#include "balsampost/entry/event_loop.h"
#include "balsampost/entry/timers.h"
#include "balsampost/telemetry/log.h"

#include <utility>

namespace balsampost::entry {

using net::error_code;
using telemetry::event;

namespace {

constexpr core::milliseconds pause_after_error{50};
// Bounds the lines that are logged while connections are taken and refused by turns.
constexpr core::milliseconds quiet_before_resumed{1'000};

/// Whether the error belongs to the connection, which ended while it waited in the queue.
bool concerns_one_connection(error_code ec) {
    return ec == net::asio::error::connection_aborted || ec == boost::system::errc::protocol_error ||
           ec == net::asio::error::connection_reset;
}

} // namespace

void accept_loop::start(net::asio::io_context& context, const core::endpoint& at,
                        std::function<bool(net::tcp::socket)> accepted, std::function<void()> short_of) {
    m_accepted = std::move(accepted);
    m_short_of = std::move(short_of);
    m_acceptor = net::listen_on(context, at);
    accept();
}

void accept_loop::accept() {
    m_acceptor.async_accept([this](error_code ec, net::tcp::socket socket) {
        if (ec == net::asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (ec && !concerns_one_connection(ec)) {
            pause(ec);
            return;
        }
        if (!ec) {
            take(std::move(socket));
        }
        accept();
    });
}

/// The connection stays in the queue, so that the next call would fail at once with the same error.
void accept_loop::pause(error_code ec) {
    note_refused(ec.message());
    contained("making room for connections", [&] { m_short_of(); });
    m_timer.expires_after(pause_after_error);
    m_timer.async_wait([this](error_code cancelled) {
        if (!cancelled && m_acceptor.is_open()) {
            accept();
        }
    });
}

void accept_loop::take(net::tcp::socket socket) {
    bool accepted = true;
    contained("accepted connection", [&] { accepted = m_accepted(std::move(socket)); });
    if (accepted) {
        note_taken();
    } else {
        note_refused("no descriptor is left for this listener");
    }
}

void accept_loop::note_refused(const std::string& reason) {
    m_last_refused = now();
    if (!std::exchange(m_paused, true)) {
        telemetry::log(event::accept_paused, {{"listener", m_name}, {"reason", reason}});
    }
}

void accept_loop::note_taken() {
    if (m_paused && m_last_refused + quiet_before_resumed <= now()) {
        m_paused = false;
        telemetry::log(event::accept_resumed, {{"listener", m_name}});
    }
}

void accept_loop::accept_queued(net::asio::io_context& context) {
    error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec) {
        net::tcp::socket socket(context);
        m_acceptor.accept(socket, ec);
        if (!ec) {
            take(std::move(socket));
        }
    }
}

void accept_loop::close() {
    error_code ec;
    m_acceptor.close(ec);
    m_timer.cancel();
}

} // namespace balsampost::entry
