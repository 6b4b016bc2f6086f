// The times at which the process itself did not run: frozen, stopped, or without processor time. What is
// measured or received by the event loop is late by them.
#pragma once

#include "balsampost/core/time.h"

#include <deque>

namespace balsampost::core::pauses {

/// Detects pauses by a beat that the event loop runs at an interval: a late beat shows that the process, or
/// its event loop, stood still. A pause that has not ended yet counts too.
class process_pauses {
public:
    /// Time between two beats.
    static constexpr milliseconds beat_interval{50};
    /// A beat that comes later than this after the one before shows a pause.
    static constexpr milliseconds max_beat_gap{75};
    /// The event loop may need this long after a pause to handle all that arrived meanwhile.
    static constexpr milliseconds backlog_time{250};

    /// Pauses are seen from the first beat on.
    void beat(time_point now);

    /// Returns the earliest time at which an event may have occurred that the event loop handles at `now` as
    /// soon as it can, such as a signal.
    time_point earliest_occurrence(time_point now) const;

    /// Returns the part of the time from `from` to `now` in which the process stood still. Pauses that ended
    /// more than `max_age` before the last beat are forgotten.
    duration stood_still(time_point from, time_point now) const;

    static constexpr milliseconds max_age{60'000};

private:
    struct pause {
        time_point last_beat;
        time_point end;
    };
    static constexpr std::size_t max_pauses = 256;

    /// Whether the next beat is late at `now`.
    bool is_late(time_point now) const { return m_last_beat != never && now - m_last_beat > max_beat_gap; }

    time_point m_last_beat = never;
    std::deque<pause> m_pauses; // In order of time; they do not overlap. At most `max_pauses`.
};

} // namespace balsampost::core::pauses
