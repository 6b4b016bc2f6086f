// Admission of requests to one server.
#include "server_gate.h"

#include <algorithm>

namespace balsampost::daemon {

using net::awaitable;
using net::now;

namespace {

constexpr std::uint32_t full_permille = 1000;

core::queue_limits limits_of(const core::service& config) {
    return {config.slots, config.queue_requests, config.queue_bytes};
}

} // namespace

server_gate::server_gate(core::cell_id cell, std::string server, core::endpoint location,
                         const core::service& config, report_function report)
    : m_cell(std::move(cell)), m_server(std::move(server)), m_location(std::move(location)),
      m_slots(config.slots),
      // One connection is left to the lease orders.
      m_most_connections(std::max(1U, config.connections - 1)), m_keyed(config.divided_by_key),
      m_report(std::move(report)), m_queue(limits_of(config)) {}

bool server_gate::owns(std::uint32_t slice, const core::epoch& since) const {
    const auto at = m_owned.find(slice);
    return at != m_owned.end() && at->second == since;
}

bool server_gate::admits(std::uint32_t slice) const {
    const auto& draining = m_served.draining;
    const bool stays = std::find(draining.begin(), draining.end(), slice) == draining.end();
    return !m_served.draining_all && (!m_keyed || (m_owned.count(slice) != 0 && stays));
}

void server_gate::update(const core::home_agent::served& served) {
    const bool was_away = !leased(now());
    m_served = served;
    m_owned.clear();
    for (const auto& slice : served.slices) {
        m_owned[slice.slice] = slice.since;
    }
    if (was_away && leased(now())) {
        m_queue.restart_cold();
    }
    // What waits for a slice that is leaving or gone finds its new owner sooner by way of the entry.
    refuse(m_queue.take_if([&](const core::queued_request& r) { return !admits(r.slice); }),
           core::refusal_reason::not_home);
    report_drained();
    pump();
}

void server_gate::close() {
    m_closed = true;
    refuse(m_queue.take_if([](const auto&) { return true; }), core::refusal_reason::not_home);
    m_idle.clear();
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
        const auto at = m_waiters.find(request.number);
        if (at != m_waiters.end()) {
            at->second->refused = reason;
            at->second->timer.cancel();
        }
    }
}

void server_gate::cancel(core::request_number number) {
    const auto at = m_waiters.find(number);
    if (at != m_waiters.end() && m_queue.remove(number)) {
        at->second->refused = core::refusal_reason::deadline;
        at->second->timer.cancel();
    }
}

void server_gate::expire(core::time_point t) {
    refuse(m_queue.take_if([&](const core::queued_request& r) { return r.deadline <= t; }),
           core::refusal_reason::deadline);
    if (!leased(t)) {
        refuse(m_queue.take_if([](const auto&) { return true; }), core::refusal_reason::not_home);
    }
}

void server_gate::pump() {
    if (m_closed || !leased(now())) {
        return;
    }
    while (const auto next = m_queue.start_next(now())) {
        ++m_slice_counts[next->slice];
        const auto at = m_waiters.find(next->number);
        at->second->started = true;
        at->second->timer.cancel();
    }
}

awaitable<std::optional<core::refusal_reason>> server_gate::admit(core::queued_request request,
                                                                  core::epoch since) {
    const bool same_epoch = !m_keyed || owns(request.slice, since);
    if (m_closed || !leased(now()) || !same_epoch || !admits(request.slice)) {
        co_return core::refusal_reason::not_home;
    }
    const auto refusal = m_queue.enqueue(request, now());
    if (refusal) {
        co_return refusal;
    }
    waiter w{net::asio::steady_timer(co_await net::asio::this_coro::executor), false, std::nullopt};
    m_waiters.emplace(request.number, &w);
    pump();
    while (!w.started && !w.refused) {
        w.timer.expires_at(request.deadline);
        net::error_code ec;
        co_await w.timer.async_wait(net::into(ec));
        if (!w.started && !w.refused && now() >= request.deadline) {
            m_queue.remove(request.number);
            w.refused = core::refusal_reason::deadline;
        }
    }
    m_waiters.erase(request.number);
    co_return w.refused;
}

void server_gate::finish(const core::queued_request& request, core::run_result result,
                         core::duration run_time) {
    m_queue.finished(request, result, run_time, now());
    report_drained();
    pump();
}

awaitable<core::result<connection_ptr>> server_gate::connect(core::time_point deadline) {
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (net::is_open_and_idle(connection->stream.socket())) {
            co_return connection;
        }
        drop(std::move(connection));
    }
    if (m_open >= m_most_connections) {
        co_return core::fail(core::error_code::unavailable, "all connections of " + m_server + " are used");
    }
    ++m_open;
    net::beast::tcp_stream stream(co_await net::asio::this_coro::executor);
    net::error_code ec;
    stream.expires_at(deadline);
    co_await stream.async_connect(net::to_tcp(m_location), net::into(ec));
    if (ec) {
        --m_open;
        co_return core::fail(core::error_code::unavailable, m_server + ": " + ec.message());
    }
    stream.socket().set_option(net::tcp::no_delay(true), ec);
    co_return std::make_unique<server_connection>(std::move(stream));
}

void server_gate::give_back(connection_ptr connection) {
    if (m_closed) {
        drop(std::move(connection));
    } else {
        m_idle.push_back(std::move(connection));
    }
}

void server_gate::drop(connection_ptr connection) {
    if (connection) {
        connection.reset();
        --m_open;
    }
}

std::uint32_t server_gate::load_permille() const {
    const auto busy = m_queue.running() + static_cast<std::uint32_t>(m_queue.waiting());
    return busy * full_permille / std::max(1U, std::min(m_slots, m_queue.concurrency()));
}

} // namespace balsampost::daemon
