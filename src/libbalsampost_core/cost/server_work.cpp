// Remaining work and relative speed of a server.
#include "balsampost/core/cost/server_work.h"

#include <algorithm>
#include <cmath>

namespace balsampost::core::cost {

namespace {

// A higher gain follows the differences between single requests: 0.05 lost 0.004 to 0.02 of the share in
// target.
constexpr double min_factor_gain = 0.01;
/// Answers that the initial factor counts for.
constexpr double prior_answers = 5;
/// Half-life of a factor without answers. Without it, a server with a bad factor would get no requests and
/// its factor would never improve.
constexpr std::chrono::duration<double> factor_half_life{10};
/// Requests that the load of other instances may be off by; prefers a server with more free slots to one that
/// may be full by now.
constexpr double load_uncertainty = 1;
constexpr double min_factor = 0.25;
constexpr double max_factor = 5;
/// One request's ratio of time to estimate is limited to this range.
constexpr double min_ratio = 0.1;
constexpr double max_ratio = 10;
/// At least this part of the time counts as work, as the wait is an estimate only.
constexpr double min_work_share = 0.2;

} // namespace

double server_work::factor(time_point now) const {
    if (m_answered_at == never || now <= m_answered_at) {
        return m_factor;
    }
    return 1 +
           (m_factor - 1) * std::exp2(-std::chrono::duration<double>(now - m_answered_at) / factor_half_life);
}

double server_work::answered(const attempt& a, double took_ms, time_point now) {
    const double work = std::max(took_ms - a.wait_ms, min_work_share * took_ms);
    if (a.ms > 0) {
        const double gain = std::max(min_factor_gain, 1 / (++m_answers + prior_answers));
        m_factor = factor(now);
        m_answered_at = now;
        m_factor += gain * (std::clamp(work / a.ms, min_ratio, max_ratio) - m_factor);
        m_factor = std::clamp(m_factor, min_factor, max_factor);
    }
    return work / m_factor;
}

double server_work::wait_ms(double in_flight, double others, double slots, double mean_ms,
                            time_point now) const {
    const double count = in_flight + others;
    if (count <= 0) {
        return 0;
    }
    const double over = count + 1 - slots;
    const double ahead = (over + std::hypot(over, load_uncertainty)) / 2;
    return factor(now) * (m_ms + others * mean_ms) / count * ahead / slots;
}

} // namespace balsampost::core::cost
