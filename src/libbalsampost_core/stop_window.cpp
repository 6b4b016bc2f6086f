// Division of the grace time of a stop.
#include "balsampost/core/stop_window.h"

#include <algorithm>

namespace balsampost::core {

namespace {

// Time after the stop signal until the load balancer sends no more connections: it polls readiness once a
// second and removes an instance after two failures.
constexpr milliseconds balancer_removal_time{3'200};
// Part of the grace time in which the last answers reach their callers and the process exits.
constexpr int grace_per_margin = 30;
constexpr milliseconds min_margin{100};
constexpr milliseconds max_margin{300};

} // namespace

stop_window::stop_window(time_point earliest, time_point handled, milliseconds grace) : m_stopping(true) {
    const auto margin = std::clamp(grace / grace_per_margin, min_margin, max_margin);
    m_taking_end = std::max(earliest, earliest + grace - margin);
    m_work_end = std::max(handled, handled + grace - margin);
    // Readiness fails from then on, whenever the signal came.
    m_listen_end = std::min(handled + balancer_removal_time, m_work_end);
    m_process_end = m_work_end + margin / 2;
}

} // namespace balsampost::core
