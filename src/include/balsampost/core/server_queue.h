// Request queue of one backend server, kept at the server's home. It never runs more requests than the server
// has slots, bounds the waiting requests, serves callers fairly and each by earliest deadline, refuses
// requests that cannot meet their deadline on arrival, and adapts its concurrency limit to the server's
// results.
#pragma once

#include "balsampost/core/outcome.h"
#include "balsampost/core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace balsampost::core {

using request_number = std::uint64_t;

struct queue_limits {
    /// Requests that the server can run at once.
    std::uint32_t slots = 1;
    /// Maximum number of waiting requests.
    std::uint32_t requests = 200;
    /// Maximum size of the buffered bodies of waiting requests.
    std::uint64_t bytes = 16U << 20U;
};

/// The properties of a request that the queue uses.
struct queued_request {
    request_number number = 0;
    /// Identifies the caller for fair scheduling.
    std::string caller;
    std::uint32_t slice = 0;
    /// Body bytes that are buffered while the request waits.
    std::uint64_t bytes = 0;
    time_point deadline{};
};

/// How the execution of a request ended, as observed by the home.
enum class run_result : std::uint8_t { completed, shed, failed };

class server_queue {
public:
    explicit server_queue(queue_limits limits);

    /// Queues a request, or returns the reason why it is refused.
    std::optional<refusal_reason> enqueue(const queued_request& request, time_point now);

    /// Takes the next request that may start now, or nothing. It counts as running until `finished` is
    /// called.
    std::optional<queued_request> start_next(time_point now);
    void finished(const queued_request& request, run_result result, duration run_time, time_point now);

    /// Removes and returns the waiting requests that satisfy `condition`.
    std::vector<queued_request> extract_if(const std::function<bool(const queued_request&)>& condition);
    /// Removes a waiting request whose caller has disconnected. Returns false if it is not waiting.
    bool remove(request_number number);

    /// Lowers the concurrency limit to a quarter of the slots, for a server that is new or was unavailable.
    void begin_slow_start();

    std::size_t waiting() const { return m_waiting.size(); }
    std::uint64_t waiting_bytes() const { return m_bytes; }
    std::uint32_t running() const { return m_running; }
    std::uint32_t running_of(std::uint32_t slice) const;
    /// Number of requests that may currently run at once, from 1 to the number of slots.
    std::uint32_t concurrency_limit() const { return static_cast<std::uint32_t>(m_concurrency_limit); }
    /// Moving average of the run times of completed requests.
    duration smoothed_run_time() const { return m_smoothed_run_time; }
    /// Estimated time until a request queued now would start.
    duration expected_wait() const;

private:
    // Order of service: the caller's fair-queuing round, then the deadline, then arrival.
    using queue_position = std::tuple<std::uint64_t, time_point, request_number>;
    struct caller_state {
        std::uint64_t round = 0;             // Round of its latest request.
        std::uint32_t requests_in_round = 0; // Requests that were assigned to `round`.
        std::uint32_t waiting = 0;
    };

    std::uint64_t assign_round(caller_state& caller) const;
    void erase_waiting(const queue_position& at, const queued_request& request);

    queue_limits m_limits;
    std::map<queue_position, queued_request> m_waiting;             // At most m_limits.requests entries.
    std::unordered_map<request_number, queue_position> m_positions; // One entry for each waiting request.
    std::unordered_map<std::string, caller_state> m_callers;        // Callers with waiting requests.
    std::unordered_map<std::uint32_t, std::uint32_t> m_running_by_slice;
    std::uint64_t m_bytes = 0; // Sum over m_waiting.
    // New requests get a round above this one, so at the earliest the latest round from which a request was
    // started. Never decreases.
    std::uint64_t m_completed_rounds = 0;
    std::uint32_t m_running = 0;
    double m_concurrency_limit = 1; // In [1, slots]; the fraction accumulates until it allows one more.
    time_point m_last_decrease =
        never; // Last decrease of the concurrency limit after a shed or failed request.
    duration m_smoothed_run_time = milliseconds(5);
};

} // namespace balsampost::core
