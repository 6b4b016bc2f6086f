// Admission, order of service and concurrency limit of a server's queue.
#include "balsampost/core/server_queue.h"

#include <algorithm>

namespace balsampost::core {

namespace {

/// Requests of one caller in each fair-queuing round.
constexpr std::uint32_t requests_per_round = 2;
/// At this fraction of its request limit, the queue refuses callers that already hold an equal share of it.
constexpr std::size_t contended_numerator = 1;
constexpr std::size_t contended_denominator = 2;
/// Factor applied to the concurrency limit when the server sheds or fails a request.
constexpr double decrease_factor = 0.75;
/// Minimum time between two decreases of the limit, since requests that run at the same time fail together.
constexpr milliseconds min_decrease_interval{50};
/// The newest run time has a weight of one part in this many in the moving average.
constexpr int smoothing_window = 8;

} // namespace

server_queue::server_queue(queue_limits limits) : m_limits(limits), m_concurrency_limit(limits.slots) {}

std::uint64_t server_queue::assign_round(caller_state& caller) const {
    const std::uint64_t earliest = m_completed_rounds + 1;
    if (caller.round < earliest) {
        caller.round = earliest;
        caller.requests_in_round = 0;
    } else if (caller.requests_in_round >= requests_per_round) {
        ++caller.round;
        caller.requests_in_round = 0;
    }
    ++caller.requests_in_round;
    return caller.round;
}

duration server_queue::expected_wait() const {
    const auto limit = concurrency_limit();
    const std::size_t ahead = m_waiting.size() + m_running;
    return ahead < limit ? duration::zero()
                         : m_smoothed_run_time * static_cast<std::int64_t>(ahead + 1 - limit) / limit;
}

std::optional<refusal_reason> server_queue::enqueue(const queued_request& request, time_point now) {
    if (m_waiting.size() >= m_limits.requests || m_bytes + request.bytes > m_limits.bytes) {
        return refusal_reason::queue_full;
    }
    const auto existing = m_callers.find(request.caller);
    const std::size_t own = existing == m_callers.end() ? 0 : existing->second.waiting;
    const std::size_t callers = m_callers.size() + (existing == m_callers.end() ? 1 : 0);
    const bool contended =
        m_waiting.size() >= m_limits.requests * contended_numerator / contended_denominator;
    if (contended && callers > 1 && own >= std::max<std::size_t>(1, m_limits.requests / callers)) {
        return refusal_reason::queue_full;
    }
    // Fair queuing lets a caller with few waiting requests start before others' requests, so the wait is
    // estimated from the rounds ahead of it rather than from the length of the whole queue.
    const auto limit = static_cast<std::int64_t>(concurrency_limit());
    const auto fair_ahead = static_cast<std::int64_t>(std::min(m_waiting.size(), (own + 1) * callers));
    const bool must_wait = m_running + m_waiting.size() >= static_cast<std::size_t>(limit);
    const duration wait = must_wait ? m_smoothed_run_time * (fair_ahead + 1) / limit : duration::zero();
    if (request.deadline <= now || (must_wait && now + wait + m_smoothed_run_time > request.deadline)) {
        return refusal_reason::deadline;
    }
    auto& caller = m_callers[request.caller];
    ++caller.waiting;
    const queue_position at{assign_round(caller), request.deadline, request.number};
    m_waiting.emplace(at, request);
    m_positions.emplace(request.number, at);
    m_bytes += request.bytes;
    return std::nullopt;
}

void server_queue::erase_waiting(const queue_position& at, const queued_request& request) {
    m_bytes -= request.bytes;
    m_positions.erase(request.number);
    const auto caller = m_callers.find(request.caller);
    if (--caller->second.waiting == 0) {
        m_callers.erase(caller);
    }
    m_waiting.erase(at);
}

std::optional<queued_request> server_queue::start_next(time_point now) {
    if (m_running >= concurrency_limit()) {
        return std::nullopt;
    }
    for (const auto& [at, request] : m_waiting) {
        if (request.deadline <= now) {
            continue;
        }
        const queued_request started = request;
        m_completed_rounds = std::max(m_completed_rounds, std::get<0>(at) - 1);
        const queue_position key = at;
        erase_waiting(key, started);
        ++m_running;
        ++m_running_by_slice[started.slice];
        return started;
    }
    return std::nullopt;
}

void server_queue::finished(const queued_request& request, run_result result, duration run_time,
                            time_point now) {
    --m_running;
    const auto of_slice = m_running_by_slice.find(request.slice);
    if (--of_slice->second == 0) {
        m_running_by_slice.erase(of_slice);
    }
    switch (result) {
    case run_result::completed:
        m_smoothed_run_time += (run_time - m_smoothed_run_time) / smoothing_window;
        m_concurrency_limit =
            std::min<double>(m_limits.slots, m_concurrency_limit + 1.0 / m_concurrency_limit);
        break;
    case run_result::shed:
    case run_result::failed:
        if (m_last_decrease == never || now - m_last_decrease >= min_decrease_interval) {
            m_concurrency_limit = std::max(1.0, m_concurrency_limit * decrease_factor);
            m_last_decrease = now;
        }
        break;
    }
}

std::vector<queued_request>
server_queue::extract_if(const std::function<bool(const queued_request&)>& condition) {
    std::vector<queued_request> taken;
    for (const auto& [at, request] : m_waiting) {
        if (condition(request)) {
            taken.push_back(request);
        }
    }
    for (const auto& request : taken) {
        const queue_position at = m_positions.at(request.number);
        erase_waiting(at, request);
    }
    return taken;
}

bool server_queue::remove(request_number number) {
    const auto at = m_positions.find(number);
    if (at == m_positions.end()) {
        return false;
    }
    const queue_position key = at->second;
    const queued_request request = m_waiting.at(key);
    erase_waiting(key, request);
    return true;
}

void server_queue::begin_slow_start() {
    m_concurrency_limit = std::max(1.0, m_limits.slots / 4.0);
}

std::uint32_t server_queue::running_of(std::uint32_t slice) const {
    const auto at = m_running_by_slice.find(slice);
    return at == m_running_by_slice.end() ? 0 : at->second;
}

} // namespace balsampost::core
