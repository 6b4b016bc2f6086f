// State of the notices of each server.
#include "balsampost/core/server_notices.h"

#include <limits>

namespace balsampost::core {

const server_notices::state* server_notices::find(const incarnation& server) const {
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second;
}

notice_change server_notices::hear(const incarnation& server, const server_notice& notice, time_point now,
                                   double spread) {
    notice_change change;
    if (notice.empty()) {
        return change;
    }
    const auto [found, inserted] = m_servers.try_emplace(server);
    if (inserted) {
        m_order.push_back(server);
    }
    auto& s = found->second;
    if (notice.leaving && s.leaving_since == never) {
        s.leaving_since = now;
        change.began_leaving = true;
    }
    if (notice.pause) {
        const auto pause = std::clamp(*notice.pause, milliseconds{0}, m_settings.max_pause);
        const auto until = now + pause;
        if (until > s.paused_until) {
            const auto spread_time =
                std::min(std::chrono::duration_cast<milliseconds>(pause * m_settings.resume_spread),
                         m_settings.max_resume_spread);
            s.paused_until = until;
            s.resumes_at = std::max<time_point>(
                s.resumes_at,
                until + std::chrono::duration_cast<duration>(spread_time * std::clamp(spread, 0.0, 1.0)));
            change.paused_until = until;
        }
    }
    if (m_servers.size() > m_settings.max_servers) {
        m_servers.erase(m_order.front());
        m_order.pop_front();
    }
    return change;
}

time_point server_notices::leaving_since(const incarnation& server) const {
    const auto* s = find(server);
    return s == nullptr ? never : s->leaving_since;
}

time_point server_notices::resumes_at(const incarnation& server) const {
    const auto* s = find(server);
    return s == nullptr ? never : s->resumes_at;
}

std::uint32_t server_notices::max_in_flight(const incarnation& server, std::uint32_t slots,
                                            time_point now) const {
    const auto* s = find(server);
    if (s == nullptr || s->resumes_at == never || now >= s->resumes_at + m_settings.resume_ramp) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    const double risen = std::chrono::duration<double>(std::max<duration>(now - s->resumes_at, duration{0})) /
                         std::chrono::duration<double>(m_settings.resume_ramp);
    return 1 + static_cast<std::uint32_t>(risen * slots);
}

std::vector<incarnation> server_notices::leaving() const {
    std::vector<incarnation> out;
    for (const auto& [server, s] : m_servers) {
        if (s.leaving_since != never) {
            out.push_back(server);
        }
    }
    return out;
}

} // namespace balsampost::core
