// What a caller's connection holds, and its end when there is no memory for it.
#include "balsampost/entry/caller_session.h"

#include "balsampost/entry/entry_metrics.h"

#include <algorithm>

namespace balsampost::entry {

namespace {

// The session, its socket's record in the event loop, and the parser; measured with 700 idle connections.
constexpr std::uint64_t connection_bytes = 3U << 10U;
constexpr std::uint64_t request_bytes = sizeof(forwarding) + 512; // With its handlers and timers.
constexpr unsigned status_unavailable = 503;

} // namespace

std::uint64_t caller_session::memory_of(const net::beast::http::fields& headers) {
    std::uint64_t fields = 0;
    std::uint64_t bytes = 0;
    for (const auto& field : headers) {
        ++fields;
        bytes += field.name_string().size() + field.value().size() + 4;
    }
    return header_memory(fields, bytes);
}

void caller_session::hold_request(exchange& e) {
    const auto body = e.request.body ? e.request.body->capacity() : 0;
    // The text of the header section is held twice: once more as it is sent to a server.
    set_held(e, request_bytes + 2 * m_head_memory + body);
}

void caller_session::hold_answer(exchange& e) {
    set_held(e, sizeof(exchange) + memory_of(e.answer.headers) + e.answer.body.capacity());
}

void caller_session::set_held(exchange& e, std::uint64_t bytes) {
    m_queue_memory += bytes - std::exchange(e.held_bytes, bytes);
}

std::uint64_t caller_session::held_bytes() const {
    auto held = connection_bytes + m_unparsed.capacity() + m_queue_memory;
    if (m_parser) {
        held += m_head_memory + m_parser->get().body().capacity();
    }
    if (m_writing) {
        held += m_head.capacity() + m_body.capacity();
    }
    return held;
}

bool caller_session::charge() {
    const auto bytes = held_bytes();
    const auto result = m_holding.set(bytes);
    return result == core::memory::charge_result::granted || m_owner.make_room_for(*this, m_holding, bytes);
}

void caller_session::settle() {
    if (m_closed || charge()) {
        return;
    }
    if (partly_read() && !m_lingering) { // What was read of it did not run.
        refuse_for_memory();
        start_requests();
        write_next();
        if (m_closed || charge()) {
            return;
        }
    }
    close_for(caller_limit::total_memory);
}

void caller_session::refuse_for_memory() {
    m_parser.reset(); // Frees what was read.
    m_head_memory = 0;
    release_bytes(m_reserved_bytes);
    m_owner.m_forwarding.metrics.refused();
    answer_and_close(status_unavailable, memory_full_retry_after);
}

void caller_session::close_for(caller_limit cause) {
    if (m_closed) {
        return;
    }
    m_owner.m_closings.note(cause, m_exchanges.size() + (m_writing ? 1 : 0));
    close_without_lines();
}

core::memory::candidate caller_session::as_candidate(core::time_point at) {
    using core::memory::activity;
    core::memory::candidate out;
    out.bytes = m_holding.bytes();
    out.last_progress = m_idle_since;
    if (idle()) {
        out.what = activity::idle;
        return out;
    }
    const auto* meter = &m_read_progress;
    if (m_write_timer) {
        note_taken_bytes(at);
        meter = &m_write_progress;
    } else if (in_flight()) {
        return out;
    }
    out.what = activity::waits_for_caller;
    out.rate = meter->rate(at);
    out.rate_since = meter->window_start();
    out.last_progress = meter->last_progress();
    return out;
}

void caller_session::note_taken_bytes(core::time_point at) {
    const auto queued = net::queued_bytes(m_socket);
    if (queued < m_queued_bytes) {
        m_write_progress.add(at, m_queued_bytes - queued);
    }
    m_queued_bytes = queued;
}

} // namespace balsampost::entry
