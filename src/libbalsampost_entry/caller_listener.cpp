// Accepting of callers' connections and the shutdown steps that affect all of them.
#include "balsampost/entry/caller_listener.h"

#include "balsampost/entry/caller_session.h"

#include <algorithm>
#include <limits>

namespace balsampost::entry {

using net::error_code;

namespace {

constexpr std::uint64_t body_memory_divisor = 3;       // Bodies may use a third of the memory.
constexpr core::milliseconds idle_search_interval{50}; // Bounds the searches while callers are refused.

} // namespace

caller_listener::caller_listener(net::asio::io_context& context, forwarding_context forwarding,
                                 const settings& s, descriptor_room* room,
                                 std::shared_ptr<core::memory::account> memory)
    : m_context(context), m_forwarding(forwarding), m_settings(s), m_room(room),
      m_accepts(context, "callers"),
      m_memory(memory ? std::move(memory) : std::make_shared<core::memory::account>(memory_limits_of(s))),
      m_closings(forwarding.metrics), m_progress_rule(progress_rule_of(s)) {
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
        [this] { close_quietest(); });
}

bool caller_listener::add_session(net::tcp::socket socket) {
    if (m_room != nullptr && !m_room->has_room(core::descriptor_use::callers) && !close_quietest()) {
        error_code ec;
        socket.close(ec); // No request was read, so the caller may safely retry at another instance.
        return false;
    }
    auto session = std::make_shared<caller_session>(*this, std::move(socket));
    m_sessions.insert(session);
    session->start();
    return true;
}

bool caller_listener::close_quietest() {
    const auto at = now();
    if (at < m_none_idle_until) {
        return false;
    }
    const auto before = m_sessions.size();
    if (!close_in_order(nullptr, std::numeric_limits<std::uint64_t>::max(),
                        [&] { return m_sessions.size() < before; })) {
        m_none_idle_until = at + idle_search_interval;
        return false;
    }
    return true;
}

bool caller_listener::close_in_order(const caller_session* requester, std::uint64_t larger_than,
                                     const std::function<bool()>& enough) {
    if (m_making_room) { // A connection that is about to be closed reads what has arrived.
        return enough();
    }
    m_making_room = true;
    const auto at = now();
    std::vector<std::shared_ptr<caller_session>> sessions;
    std::vector<core::memory::candidate> candidates;
    for (const auto& s : m_sessions) {
        if (s.get() != requester) {
            sessions.push_back(s);
            candidates.push_back(s->as_candidate(at));
        }
    }
    for (const auto& choice : core::memory::closing_order(candidates, at, larger_than)) {
        if (enough()) {
            break;
        }
        const auto& s = sessions[choice.index];
        if (choice.cause == core::memory::closing_cause::idle) {
            const auto before = m_sessions.size();
            s->close_if_idle(); // A request that has just arrived keeps it open.
            if (m_sessions.size() < before) {
                m_closings.note(caller_limit::idle);
            }
        } else {
            s->close_for(limit_of(choice.cause));
        }
    }
    m_making_room = false;
    return enough();
}

bool caller_listener::make_room(std::uint64_t bytes, std::uint64_t larger_than,
                                const caller_session* requester) {
    return close_in_order(requester, larger_than,
                          [&] { return bytes <= m_memory->limits().total - m_memory->used(); });
}

bool caller_listener::make_room_for(const caller_session& session, core::memory::holding& held,
                                    std::uint64_t bytes) {
    auto result = held.set(bytes);
    if (result == core::memory::charge_result::total_full &&
        make_room(bytes - held.bytes(), bytes, &session)) {
        result = held.set(bytes);
    }
    if (result != core::memory::charge_result::granted) {
        m_closings.note(limit_of(result));
    }
    return result == core::memory::charge_result::granted;
}

std::uint64_t caller_listener::max_body_bytes() const {
    return (static_cast<std::uint64_t>(m_settings.resources.memory_mb) << 20U) / body_memory_divisor;
}

bool caller_listener::make_room_for_body(const caller_session& session, std::uint64_t bytes) {
    const auto most = max_body_bytes();
    const auto fits = [&] { return m_body_bytes + bytes <= most; };
    // A body that never fits closes no other connection.
    return fits() ||
           (bytes <= most && close_in_order(&session, std::numeric_limits<std::uint64_t>::max(), fits));
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
