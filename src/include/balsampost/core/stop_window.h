// The time in which a stopping instance finishes its work, and which requests it may still take.
#pragma once

#include "balsampost/core/time.h"

namespace balsampost::core {

/// A stop takes place between a stop signal and the end of its grace time, at which the process is killed.
/// Work ends shortly before. A request is taken during a stop only if it must be answered before work ends:
/// another instance can run a refused request, but not one that may have run already.
class stop_window {
public:
    /// No stop has begun; all requests are taken.
    stop_window() = default;
    /// A stop that was signalled at `signalled`; the process is killed `grace` later.
    stop_window(time_point signalled, milliseconds grace) : stop_window(signalled, signalled, grace) {}
    /// A stop that was signalled at an unknown time from `earliest` to `handled`: a process that stood still
    /// handles a signal late. Requests are taken only if they end before the earliest kill; those that were
    /// taken before have until the latest one.
    stop_window(time_point earliest, time_point handled, milliseconds grace);

    bool stopping() const { return m_stopping; }
    /// Whether a request that is answered by `deadline` may be taken.
    bool holds(time_point deadline) const { return !m_stopping || deadline <= m_taking_end; }
    /// Until then callers' connections are accepted although none is open: the load balancer may still send
    /// some. Not after `work_end`.
    time_point listen_end() const { return m_listen_end; }
    /// Requests that are unanswered then are answered by the instance itself.
    time_point work_end() const { return m_work_end; }
    /// Latest end of the process: a part of the grace time is left for its exit.
    time_point process_end() const { return m_process_end; }

private:
    bool m_stopping = false;
    time_point m_taking_end = time_point::max(); // At most `m_work_end`.
    time_point m_listen_end = time_point::max();
    time_point m_work_end = time_point::max(); // m_listen_end <= m_work_end <= m_process_end
    time_point m_process_end = time_point::max();
};

} // namespace balsampost::core
