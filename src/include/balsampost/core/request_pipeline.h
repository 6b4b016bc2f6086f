// Tracks the pipelined requests of one caller's connection: which requests may start, and which answer is
// written next.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace balsampost::core {

/// Idempotent requests run concurrently. A request that may be executed only once starts after all earlier
/// requests have been answered, and no later request starts before its own answer has been written.
/// Otherwise, if that answer closed the connection, the caller would send the later requests again although
/// they were already running.
class request_pipeline {
public:
    using ticket = std::uint64_t; ///< Consecutive numbers in order of arrival, from 1.

    /// `capacity`: maximum number of unfinished requests; no further request is read while it is reached.
    explicit request_pipeline(std::size_t capacity) : m_capacity(capacity) {}

    bool empty() const { return m_requests.empty(); }
    std::size_t size() const { return m_requests.size(); }
    bool full() const { return m_requests.size() >= m_capacity; }
    /// The request whose answer is written next. Precondition: not empty.
    ticket first() const { return m_first; }

    ticket add(bool idempotent);
    /// The requests that may start now, marked as started; each request is returned once.
    std::vector<ticket> take_startable();
    void answered(ticket which);
    /// Whether the first request has been answered.
    bool can_write() const {
        return !m_requests.empty() && m_requests.front().progress == progress::answered;
    }
    /// Removes the first request after its answer has been passed to the connection.
    void pop() {
        m_requests.pop_front();
        ++m_first;
    }

private:
    enum class progress : std::uint8_t { waiting, started, answered };
    struct request {
        bool idempotent = false;
        enum progress progress = progress::waiting;
    };

    std::size_t m_capacity;
    std::deque<request> m_requests; // All started or answered requests precede all waiting ones.
    ticket m_first = 1;
};

} // namespace balsampost::core
