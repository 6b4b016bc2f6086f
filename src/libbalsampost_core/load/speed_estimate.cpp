// Decay of stated slowdowns, and the time that work takes under them.
#include "balsampost/core/load/speed_estimate.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace balsampost::core::load {

namespace {

using double_ms = std::chrono::duration<double, std::milli>;

/// A single statement after a long silence counts for at most this part of the silence in the baseline.
constexpr double max_covered_ms = 1'000;
/// Steps of the integration over the time of one request; the deviation changes little within one of them.
constexpr int integration_steps = 16;
constexpr int newton_steps = 6; // Error below a millisecond for every slowdown in the range.

} // namespace

void speed_estimate::stated(double slowdown, time_point now) {
    const double speed = 1 / std::clamp(slowdown, m_settings.min_slowdown, m_settings.max_slowdown);
    if (known()) {
        const double covered = std::clamp(double_ms(now - latest().at).count(), 0.0, max_covered_ms);
        const double mean = (latest().speed + speed) / 2;
        m_long_term_speed += (1 - std::exp(-covered / double_ms(m_settings.baseline_time).count())) *
                             (mean - m_long_term_speed);
    }
    m_statements[m_count % max_statements] = {speed, now};
    ++m_count;
}

double speed_estimate::relative_speed(const statement& s, time_point at) const {
    const auto distance = std::chrono::abs(at - s.at);
    return 1 + (s.speed / m_long_term_speed - 1) *
                   std::exp2(-double_ms(distance).count() / double_ms(m_settings.half_life).count());
}

double speed_estimate::ratio(time_point now) const {
    return known() ? 1 / relative_speed(latest(), now) : 1;
}

double speed_estimate::elapsed_ms(double work_ms, time_point now) const {
    if (!known() || work_ms <= 0) {
        return work_ms;
    }
    // Solves t + lead * (1 - exp(-rate * t)) = work_ms, the integral of the relative speed. Newton's method
    // begins on the side of the result from which it approaches it steadily.
    const double deviation = relative_speed(latest(), now) - 1;
    const double rate = std::numbers::ln2 / double_ms(m_settings.half_life).count();
    const double lead = deviation / rate;
    double t = deviation < 0 ? work_ms - lead : work_ms / (1 + deviation);
    for (int i = 0; i < newton_steps; ++i) {
        const double decayed = std::exp(-rate * t);
        t -= (t + lead * (1 - decayed) - work_ms) / (1 + deviation * decayed);
    }
    return t;
}

double speed_estimate::work_ms(milliseconds took, time_point now) const {
    const double total = double_ms(took).count();
    if (!known() || total <= 0) {
        return total;
    }
    const auto step = std::chrono::duration_cast<duration>(took) / integration_steps;
    const auto kept = std::min(m_count, max_statements);
    double work = 0;
    for (int i = 0; i < integration_steps; ++i) {
        const auto at = now - step * i - step / 2;
        // The statement nearest in time says most about the speed at `at`.
        const auto* nearest = &latest();
        for (std::size_t k = 0; k < kept; ++k) {
            if (std::chrono::abs(m_statements[k].at - at) < std::chrono::abs(nearest->at - at)) {
                nearest = &m_statements[k];
            }
        }
        work += double_ms(step).count() * relative_speed(*nearest, at);
    }
    return work;
}

} // namespace balsampost::core::load
