// Detection of the process's own pauses by late beats.
#include "balsampost/core/pauses/process_pauses.h"

#include <algorithm>

namespace balsampost::core::pauses {

void process_pauses::beat(time_point now) {
    if (is_late(now)) {
        m_pauses.push_back({m_last_beat, now});
    }
    m_last_beat = std::max(m_last_beat, now);
    while (!m_pauses.empty() &&
           (m_pauses.size() > max_pauses || m_last_beat - m_pauses.front().end > max_age)) {
        m_pauses.pop_front();
    }
}

time_point process_pauses::earliest_occurrence(time_point now) const {
    auto earliest = is_late(now) ? m_last_beat : now;
    for (const auto& p : m_pauses) {
        if (now - p.end <= backlog_time) {
            earliest = std::min(earliest, p.last_beat);
        }
    }
    return earliest;
}

duration process_pauses::stood_still(time_point from, time_point now) const {
    duration sum{0};
    const auto add = [&](time_point last_beat, time_point end) {
        sum += std::max(duration{0}, std::min(end, now) - std::max(last_beat + beat_interval, from));
    };
    for (const auto& p : m_pauses) {
        add(p.last_beat, p.end);
    }
    if (is_late(now)) {
        add(m_last_beat, now);
    }
    return sum;
}

} // namespace balsampost::core::pauses
