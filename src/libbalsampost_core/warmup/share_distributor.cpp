// Roles of an instance in handing out shares.
#include "balsampost/core/warmup/share_distributor.h"

#include <utility>

namespace balsampost::core::warmup {

share_distributor::share_distributor(candidate self, cold_servers& cold, time_point started,
                                     ledger_settings settings)
    : m_self(std::move(self)), m_cold(cold), m_ledger(settings) {
    m_ledger.taken_over(started);
    set_reporters({});
}

bool share_distributor::publish(const std::vector<share_limit>& limits, std::uint64_t term, time_point now) {
    const bool began = !m_publishes || term != m_term;
    if (began) {
        m_ledger.taken_over(now);
        m_received.clear();
    }
    m_publishes = true;
    m_term = term;
    m_ledger.set_limits(limits);
    take_own(now);
    return began;
}

void share_distributor::follow(time_point now) {
    m_publishes = false;
    divide_received(now);
}

void share_distributor::set_reporters(std::vector<candidate> reporters) {
    reporters.push_back(m_self);
    reporters.back().members = 0;
    m_ledger.set_candidates(std::move(reporters));
}

void share_distributor::receive(const std::vector<share>& shares, time_point reported_at, time_point now) {
    if (m_publishes || reported_at > now) {
        return; // The publisher hands out the whole limit itself.
    }
    for (const auto& s : shares) {
        auto& known = m_received[s.server];
        if (known.given.units == 0 || known.reported_at <= reported_at) {
            known = {s, reported_at};
        }
    }
    divide_received(now);
}

void share_distributor::divide_received(time_point now) {
    std::erase_if(m_received,
                  [&](const auto& r) { return r.second.reported_at + r.second.given.lifetime <= now; });
    std::vector<share_limit> limits;
    for (const auto& [server, r] : m_received) {
        // All members are in the relay's failure domain, so nearness makes no difference.
        limits.push_back({server,
                          m_self.failure_domain,
                          {r.given.units, r.given.spacing},
                          r.reported_at + r.given.lifetime});
    }
    m_ledger.set_limits(limits);
    take_own(now);
}

void share_distributor::take_own(time_point now) {
    for (const auto& s : m_ledger.grant(m_self.instance, now, now)) {
        m_cold.receive(s, now, now);
    }
}

} // namespace balsampost::core::warmup
