// Admission of requests to one server, and the pool of connections to it.
#include "server_gate.h"

#include <algorithm>

namespace balsampost::daemon {

using net::awaitable;
using net::now;

namespace {

/// Load of a server whose usable slots are all taken.
constexpr std::uint32_t full_permille = 1000;

core::queue_limits limits_of(const core::service& config) {
    return {config.slots, config.queue_requests, config.queue_bytes};
}

} // namespace

server_gate::server_gate(core::cell_id cell, std::string server, core::endpoint location,
                         const core::service& config, report_function report)
    : m_cell(std::move(cell)), m_server(std::move(server)), m_location(std::move(location)),
      m_slots(config.slots),
      // One of the server's connections is reserved for lease orders.
      m_max_connections(std::max(1U, config.connections - 1)), m_divided_by_key(config.divided_by_key),
      m_report(std::move(report)), m_queue(limits_of(config)) {}

bool server_gate::owns(std::uint32_t slice, const core::epoch& since) const {
    const auto it = m_slice_epochs.find(slice);
    return it != m_slice_epochs.end() && it->second == since;
}

bool server_gate::accepts_slice(std::uint32_t slice) const {
    const auto& draining = m_served.draining;
    const bool stays_owned = std::find(draining.begin(), draining.end(), slice) == draining.end();
    return !m_served.draining_all && (!m_divided_by_key || (m_slice_epochs.count(slice) != 0 && stays_owned));
}

void server_gate::update(const core::home_agent::homed_server& homed_server) {
    const bool lease_was_expired = !leased(now());
    m_served = homed_server;
    m_slice_epochs.clear();
    for (const auto& slice : homed_server.slices) {
        m_slice_epochs[slice.slice] = slice.since;
    }
    if (lease_was_expired && leased(now())) {
        m_queue.begin_slow_start();
    }
    // Requests for a slice that is draining or no longer owned here are refused instead of queued, so that
    // the entry sends them to the new owner sooner.
    refuse(m_queue.extract_if([&](const core::queued_request& r) { return !accepts_slice(r.slice); }),
           core::refusal_reason::not_home);
    report_drained();
    start_ready_requests();
}

void server_gate::close() {
    m_closed = true;
    refuse(m_queue.extract_if([](const auto&) { return true; }), core::refusal_reason::not_home);
    m_idle_connections.clear();
}

void server_gate::report_drained() {
    for (const auto slice : m_served.draining) {
        if (m_queue.running_of(slice) == 0) {
            m_report(slice_drained{m_cell, m_server, slice});
        }
    }
    if (m_served.draining_all && m_queue.running() == 0) {
        m_report(server_drained{m_cell, m_server});
    }
}

void server_gate::refuse(const std::vector<core::queued_request>& requests, core::refusal_reason reason) {
    for (const auto& request : requests) {
        const auto it = m_waiters.find(request.number);
        if (it != m_waiters.end()) {
            it->second->refused = reason;
            it->second->timer.cancel();
        }
    }
}

void server_gate::cancel(core::request_number number) {
    const auto it = m_waiters.find(number);
    if (it != m_waiters.end() && m_queue.remove(number)) {
        it->second->refused = core::refusal_reason::deadline;
        it->second->timer.cancel();
    }
}

void server_gate::expire_waiting(core::time_point t) {
    refuse(m_queue.extract_if([&](const core::queued_request& r) { return r.deadline <= t; }),
           core::refusal_reason::deadline);
    if (!leased(t)) {
        refuse(m_queue.extract_if([](const auto&) { return true; }), core::refusal_reason::not_home);
    }
}

void server_gate::start_ready_requests() {
    if (m_closed || !leased(now())) {
        return;
    }
    while (const auto next = m_queue.start_next(now())) {
        ++m_slice_counts[next->slice];
        const auto it = m_waiters.find(next->number);
        it->second->started = true;
        it->second->timer.cancel();
    }
}

awaitable<std::optional<core::refusal_reason>> server_gate::admit(core::queued_request request,
                                                                  core::epoch since) {
    const bool same_epoch = !m_divided_by_key || owns(request.slice, since);
    if (m_closed || !leased(now()) || !same_epoch || !accepts_slice(request.slice)) {
        co_return core::refusal_reason::not_home;
    }
    const auto refusal = m_queue.enqueue(request, now());
    if (refusal) {
        co_return refusal;
    }
    waiter entry{net::asio::steady_timer(co_await net::asio::this_coro::executor), false, std::nullopt};
    m_waiters.emplace(request.number, &entry);
    start_ready_requests();
    while (!entry.started && !entry.refused) {
        entry.timer.expires_at(request.deadline);
        net::error_code ec;
        co_await entry.timer.async_wait(net::into(ec));
        if (!entry.started && !entry.refused && now() >= request.deadline) {
            m_queue.remove(request.number);
            entry.refused = core::refusal_reason::deadline;
        }
    }
    m_waiters.erase(request.number);
    co_return entry.refused;
}

void server_gate::finish(const core::queued_request& request, core::run_result result,
                         core::duration run_time) {
    m_queue.finished(request, result, run_time, now());
    report_drained();
    start_ready_requests();
}

awaitable<core::result<connection_ptr>> server_gate::acquire_connection(core::time_point deadline) {
    while (!m_idle_connections.empty()) {
        auto connection = std::move(m_idle_connections.back());
        m_idle_connections.pop_back();
        if (net::is_open_and_idle(connection->stream.socket())) {
            co_return connection;
        }
        discard_connection(std::move(connection));
    }
    if (m_open_connections >= m_max_connections) {
        co_return core::fail(core::error_code::unavailable,
                             "all connections to server " + m_server + " are in use");
    }
    ++m_open_connections;
    net::beast::tcp_stream stream(co_await net::asio::this_coro::executor);
    net::error_code ec;
    stream.expires_at(deadline);
    co_await stream.async_connect(net::to_tcp(m_location), net::into(ec));
    if (ec) {
        --m_open_connections;
        co_return core::fail(core::error_code::unavailable,
                             "cannot connect to server " + m_server + ": " + ec.message());
    }
    stream.socket().set_option(net::tcp::no_delay(true), ec);
    co_return std::make_unique<server_connection>(std::move(stream));
}

void server_gate::release_connection(connection_ptr connection) {
    // Bytes after a response belong to no request, and must not be taken for the next response.
    if (m_closed || connection->buffer.size() > 0) {
        discard_connection(std::move(connection));
    } else {
        m_idle_connections.push_back(std::move(connection));
    }
}

void server_gate::discard_connection(connection_ptr connection) {
    if (connection) {
        connection.reset();
        --m_open_connections;
    }
}

std::uint32_t server_gate::load_permille() const {
    const auto occupied = m_queue.running() + static_cast<std::uint32_t>(m_queue.waiting());
    return occupied * full_permille / std::max(1U, std::min(m_slots, m_queue.concurrency_limit()));
}

} // namespace balsampost::daemon
