// The requests of one caller's connection that were read and not yet answered: which of them may be worked
// on, and whose answer goes out next. Load it answers: callers that send further requests before the first is
// answered.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace balsampost::core {

/// Idempotent requests are worked on together. A request that may run only once starts when everything before
/// it was answered, and nothing behind it starts before its own answer: an answer may close the connection,
/// and callers then send again whatever stood behind it.
class request_pipeline {
public:
    using ticket = std::uint64_t; ///< Consecutive, in the order of arrival.

    /// `most`: requests that may be there at once; none is read beyond them.
    explicit request_pipeline(std::size_t most) : m_most(most) {}

    bool empty() const { return m_requests.empty(); }
    std::size_t size() const { return m_requests.size(); }
    bool full() const { return m_requests.size() >= m_most; }
    /// Of the request whose answer goes out next. Precondition: not empty.
    ticket first() const { return m_first; }

    ticket add(bool idempotent);
    /// Requests to start now, each returned once.
    std::vector<ticket> take_startable();
    void answered(ticket which);
    /// Whether the first request's answer is there.
    bool can_write() const {
        return !m_requests.empty() && m_requests.front().progress == progress::answered;
    }
    /// The first request's answer is on its way to the caller; the next one is first.
    void pop() {
        m_requests.pop_front();
        ++m_first;
    }
    /// Nothing starts any more behind a request that is not answered: what waits is left unread.
    void stop() { m_stopped = true; }
    /// Whether a request behind the first was started.
    bool started_behind_first() const;

private:
    enum class progress : std::uint8_t { waiting, started, answered };
    struct request {
        bool idempotent = false;
        enum progress progress = progress::waiting;
    };

    std::size_t m_most;
    std::deque<request> m_requests; // Those started or answered stand before those that wait.
    ticket m_first = 1;
    bool m_stopped = false;
};

} // namespace balsampost::core
