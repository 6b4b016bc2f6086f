// Accepting of callers' connections and the shutdown steps that affect all of them.
#include "balsampost/entry/caller_listener.h"

#include "balsampost/entry/caller_session.h"

#include <algorithm>

namespace balsampost::entry {

using net::error_code;

namespace {

// A connection that had a request less than this time ago is likely to get another.
constexpr core::milliseconds min_idle_time{1'000};
constexpr core::milliseconds idle_search_interval{50}; // Bounds the searches while callers are refused.

} // namespace

caller_listener::caller_listener(net::asio::io_context& context, forwarding_context forwarding,
                                 const settings& s, descriptor_room* room)
    : m_context(context), m_forwarding(forwarding), m_settings(s), m_room(room),
      m_accepts(context, "callers") {
    if (m_room != nullptr) {
        m_room->count(core::descriptor_use::callers, [this] { return m_sessions.size(); });
    }
    m_forwarding.stop = &m_stop;
}

caller_listener::~caller_listener() = default;

void caller_listener::start() {
    m_accepts.start(
        m_context, m_settings.listen.callers,
        [this](net::tcp::socket socket) { return add_session(std::move(socket)); },
        [this] { close_longest_idle(); });
}

bool caller_listener::add_session(net::tcp::socket socket) {
    if (m_room != nullptr && !m_room->has_room(core::descriptor_use::callers) && !close_longest_idle()) {
        error_code ec;
        socket.close(ec); // No request was read, so the caller may safely retry at another instance.
        return false;
    }
    auto session = std::make_shared<caller_session>(*this, std::move(socket));
    m_sessions.insert(session);
    session->start();
    return true;
}

bool caller_listener::close_longest_idle() {
    const auto at = now();
    if (at < m_none_idle_until) {
        return false;
    }
    std::shared_ptr<caller_session> longest;
    for (const auto& s : m_sessions) {
        if (s->idle() && (!longest || s->idle_since() < longest->idle_since())) {
            longest = s;
        }
    }
    if (!longest || longest->idle_since() + min_idle_time > at) {
        m_none_idle_until = at + idle_search_interval;
        return false;
    }
    const auto before = m_sessions.size();
    longest->close_if_idle(); // A request that has just arrived keeps it open.
    return m_sessions.size() < before;
}

void caller_listener::begin_stop(const core::stop_window& window) {
    m_stop = window;
    const auto sessions = m_sessions; // Some end.
    for (const auto& s : sessions) {
        s->begin_stop();
    }
}

void caller_listener::close_idle_connections() {
    m_accepts.accept_queued(m_context);
    const auto sessions = m_sessions;
    for (const auto& s : sessions) {
        s->close_if_idle();
    }
}

caller_listener::unanswered_counts caller_listener::fail_in_flight() {
    m_accepts.accept_queued(m_context);
    m_accepts.close(); // Callers that connect from now on are refused at once and go elsewhere.
    unanswered_counts counts;
    const auto sessions = m_sessions;
    for (const auto& s : sessions) {
        s->fail_in_flight(counts);
    }
    return counts;
}

void caller_listener::close_all() {
    const auto sessions = m_sessions;
    for (const auto& s : sessions) {
        s->close("the process ends");
    }
    m_accepts.close();
}

std::size_t caller_listener::in_flight() const {
    return static_cast<std::size_t>(
        std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto& s) { return s->in_flight(); }));
}

} // namespace balsampost::entry
