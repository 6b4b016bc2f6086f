// The set of evacuated failure domains, and the return after a withdrawal.
#include "balsampost/core/evacuation/evacuated_domains.h"

#include <algorithm>
#include <limits>

namespace balsampost::core::evacuation {

namespace {

constexpr std::size_t max_name_length = 253;

} // namespace

bool is_domain_name(const std::string& name) {
    return !name.empty() && name.size() <= max_name_length &&
           std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c <= '~'; });
}

request_result evacuated_domains::request(const std::string& domain, time_point not_before) {
    const auto found = m_evacuated.find(domain);
    if (found != m_evacuated.end()) {
        found->second = std::min(found->second, not_before);
        return request_result::in_force_already;
    }
    const bool unknown = !m_known.contains(domain);
    if (!is_domain_name(domain) || (unknown && m_unknown >= m_settings.max_unknown_domains)) {
        return request_result::ignored;
    }
    m_unknown += unknown ? 1 : 0;
    m_returning.erase(domain);
    m_evacuated.emplace(domain, not_before);
    return request_result::began;
}

bool evacuated_domains::withdraw(const std::string& domain, time_point now, double spread) {
    if (m_evacuated.erase(domain) == 0) {
        return false;
    }
    const bool unknown = !m_known.contains(domain);
    m_unknown -= unknown ? 1 : 0;
    std::erase_if(m_returning,
                  [&](const auto& r) { return now >= r.second + duration{m_settings.return_ramp}; });
    if (!unknown || m_returning.size() < m_known.size() + m_settings.max_unknown_domains) {
        const auto delay = std::chrono::duration<double>(m_settings.return_spread) * spread;
        m_returning.insert_or_assign(domain, now + std::chrono::duration_cast<duration>(delay));
    }
    return true;
}

evacuated_domains::changes evacuated_domains::replace(const std::vector<std::string>& domains,
                                                      time_point not_before, time_point now, double spread) {
    m_list_pending = false;
    changes out;
    const std::set<std::string> listed(domains.begin(), domains.end());
    for (const auto& [domain, since] : m_evacuated) {
        if (!listed.contains(domain)) {
            out.ended.push_back(domain);
        }
    }
    for (const auto& domain : out.ended) {
        withdraw(domain, now, spread);
    }
    for (const auto& domain : listed) {
        const auto result = request(domain, not_before);
        if (result == request_result::began) {
            out.began.push_back(domain);
        } else if (result == request_result::ignored) {
            out.ignored.push_back(domain);
        }
    }
    return out;
}

bool evacuated_domains::may_receive(const std::string& domain, bool owner, time_point now) const {
    if (unrestricted()) {
        return true;
    }
    const auto found = m_evacuated.find(domain);
    if (owner) {
        return !m_list_pending &&
               (found == m_evacuated.end() || now < after(found->second, duration{m_settings.owner_period}));
    }
    return !m_list_pending && found == m_evacuated.end() && now >= returns_at(domain);
}

time_point evacuated_domains::returns_at(const std::string& domain) const {
    if (m_evacuated.contains(domain)) {
        return time_point::max();
    }
    const auto found = m_returning.find(domain);
    return found == m_returning.end() ? never : found->second;
}

std::uint32_t evacuated_domains::max_in_flight(const std::string& domain, std::uint32_t slots,
                                               time_point now) const {
    const auto found = m_returning.find(domain);
    if (found == m_returning.end() || now >= found->second + duration{m_settings.return_ramp}) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    const auto risen = std::chrono::duration<double>(std::max<duration>(now - found->second, duration{0})) /
                       std::chrono::duration<double>(m_settings.return_ramp);
    return 1 + static_cast<std::uint32_t>(risen * slots);
}

} // namespace balsampost::core::evacuation
