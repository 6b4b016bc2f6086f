// Accepting of callers' connections and the shutdown steps that affect all of them.
#include "balsampost/entry/caller_listener.h"

#include "balsampost/entry/caller_session.h"
#include "balsampost/entry/event_loop.h"
#include "balsampost/telemetry/log.h"

#include <algorithm>

namespace balsampost::entry {

using net::error_code;
using telemetry::event;

namespace {

constexpr std::uint32_t reserved_descriptors = 400; // For connections to servers, the store and peers.

} // namespace

caller_listener::caller_listener(net::asio::io_context& context, forwarding_context forwarding,
                                 const settings& s)
    : m_context(context), m_forwarding(forwarding), m_settings(s), m_acceptor(context) {}

caller_listener::~caller_listener() = default;

void caller_listener::start() {
    m_acceptor = net::listen_on(m_context, m_settings.listen.callers);
    accept();
}

void caller_listener::accept() {
    m_acceptor.async_accept([this](error_code ec, net::tcp::socket socket) {
        if (ec == net::asio::error::operation_aborted) {
            return;
        }
        if (ec) {
            telemetry::log(event::caller_broke_protocol, {{"reason", "accept: " + ec.message()}});
        } else {
            contained("accepted connection", [&] { add_session(std::move(socket)); });
        }
        accept();
    });
}

void caller_listener::add_session(net::tcp::socket socket) {
    if (m_sessions.size() + reserved_descriptors >= m_settings.resources.descriptors) {
        error_code ec;
        socket.close(ec); // No request was read, so the caller may safely retry at another instance.
        return;
    }
    auto session = std::make_shared<caller_session>(*this, std::move(socket));
    m_sessions.insert(session);
    session->start();
}

void caller_listener::accept_pending() {
    error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec) {
        net::tcp::socket socket(m_context);
        m_acceptor.accept(socket, ec);
        if (!ec) {
            add_session(std::move(socket));
        }
    }
}

void caller_listener::begin_stop() {
    m_stopping = true;
    for (const auto& s : m_sessions) {
        s->begin_stop();
    }
}

void caller_listener::close_idle_connections() {
    accept_pending();
    const auto sessions = m_sessions;
    for (const auto& s : sessions) {
        s->close_if_idle();
    }
}

void caller_listener::fail_in_flight() {
    const auto sessions = m_sessions;
    for (const auto& s : sessions) {
        s->fail_in_flight();
    }
}

void caller_listener::close_all() {
    const auto sessions = m_sessions;
    for (const auto& s : sessions) {
        s->close("the process ends");
    }
    error_code ec;
    m_acceptor.close(ec);
}

std::size_t caller_listener::in_flight() const {
    return static_cast<std::size_t>(
        std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto& s) { return s->in_flight(); }));
}

} // namespace balsampost::entry
