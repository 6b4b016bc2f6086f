// The speed of a server on a shared machine: an estimate with an age, from the slowdown that the server
// states with its answers. A stated slowdown holds for a few hundred milliseconds only, so it is a deviation
// from the server's long-term slowdown that decays with time, forwards and backwards from the statement.
#pragma once

#include "balsampost/core/time.h"

#include <array>
#include <cstddef>

namespace balsampost::core::load {

struct speed_settings {
    /// Half-life of a stated slowdown. The spells seen last about 400 ms, so half of one is left on average.
    milliseconds half_life{200};
    /// Time constant of the long-term slowdown, to which estimates decay. Long against a spell, so that one
    /// spell changes it by a few percent only.
    milliseconds baseline_time{20'000};
    /// Stated slowdowns are limited to this range.
    double min_slowdown = 0.25;
    double max_slowdown = 10;
};

/// Estimate for one server. Until the first statement, work takes exactly its usual time.
/// All times of work are those at the server's long-term slowdown. Not thread-safe.
class speed_estimate {
public:
    explicit speed_estimate(speed_settings settings = {}) : m_settings(settings) {}

    /// Records a statement: work takes `slowdown` times as long as at normal speed.
    void stated(double slowdown, time_point now);
    bool known() const { return m_count > 0; }

    /// Expected time, in milliseconds, that `work_ms` takes if it begins at `now`.
    double elapsed_ms(double work_ms, time_point now) const;
    /// The work, in milliseconds, that was done in the `took` before `now`: the opposite of `elapsed_ms`.
    /// Record the statement made at `now` first.
    double work_ms(milliseconds took, time_point now) const;
    /// Factor by which work is expected to take longer at `now` than at the long-term slowdown.
    double ratio(time_point now) const;
    double long_term_slowdown() const { return 1 / m_long_term_speed; }

private:
    struct statement {
        double speed = 1; // Work done in a time, relative to a server at normal speed.
        time_point at = never;
    };
    static constexpr std::size_t max_statements = 8; // Enough for the length of most requests.

    const statement& latest() const { return m_statements[(m_count - 1) % max_statements]; }
    /// Speed at `at` relative to the long-term speed, as far as `s` tells.
    double relative_speed(const statement& s, time_point at) const;

    speed_settings m_settings;
    std::array<statement, max_statements> m_statements; // Ring of the latest statements, in order of time.
    std::size_t m_count = 0;                            // Statements so far.
    double m_long_term_speed = 1; // Mean of the speeds, not of the slowdowns: work adds up by speed.
};

} // namespace balsampost::core::load
