// State of each cold server on one instance, and the spacing of requests by its share.
#include "balsampost/core/warmup/cold_servers.h"

#include "balsampost/core/identity.h"

#include <algorithm>
#include <limits>

namespace balsampost::core::warmup {

namespace {

/// `start + length`, or the last time point if that is later.
time_point later(time_point start, duration length) {
    return start > time_point::max() - length ? time_point::max() : start + length;
}

} // namespace

const cold_servers::state* cold_servers::find(const incarnation& server) const {
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second;
}

duration cold_servers::with_drift(milliseconds length) const {
    return std::chrono::duration_cast<duration>(length * (1 + m_settings.max_clock_drift));
}

milliseconds cold_servers::return_delay(const incarnation& server) const {
    const auto rank = rendezvous_rank(server.id + "@" + std::to_string(server.started_ms), m_instance);
    return milliseconds{
        static_cast<std::int64_t>(rank % static_cast<std::uint64_t>(m_settings.return_spread.count()))};
}

time_point cold_servers::warm_at(const backend& b, const service& s) const {
    if (b.warmup_stated) {
        return b.warmup_left > milliseconds{0} ? later(b.read_at, with_drift(b.warmup_left)) : never;
    }
    return b.in_first_list || s.warmup <= milliseconds{0} ? never : later(b.listed_at, with_drift(s.warmup));
}

void cold_servers::update(const std::map<std::string, backend>& listed,
                          const std::map<std::string, service>& services, time_point now) {
    for (auto& [server, s] : m_servers) {
        s.listed = false;
    }
    for (const auto& [id, b] : listed) {
        const auto service = services.find(b.service);
        if (service == services.end() || service->second.warmup_per_s <= 0) {
            continue;
        }
        const auto ends = warm_at(b, service->second);
        if (ends == never && !m_servers.contains(b.self)) {
            continue;
        }
        auto& s = m_servers[b.self];
        const bool was_cold = s.returns_at != never;
        s.listed = true;
        const auto delay = return_delay(b.self);
        if (ends != never) {
            s.info = {b.self, b.service, b.failure_domain, ends};
            s.returns_at = later(ends, delay);
        } else if (was_cold) { // The entry says that the warm-up ended early.
            s.info.warm_at = std::min(s.info.warm_at, b.read_at);
            s.returns_at = std::min(s.returns_at, later(b.read_at, delay));
        }
    }
    for (auto& [server, s] : m_servers) {
        if (!s.listed) {
            s.info.warm_at = s.returns_at = never;
        }
    }
    // The state of a server that is no longer listed is kept while its share lasts: the entry may return.
    std::erase_if(m_servers, [&](const auto& entry) {
        const auto& s = entry.second;
        return !s.listed && s.held_until <= now && after(s.last_sent, s.held.spacing) <= now;
    });
}

void cold_servers::receive(const share& s, time_point reported_at, time_point now) {
    const auto until = later(reported_at, s.lifetime);
    if (s.units == 0 || s.spacing <= milliseconds{0} || reported_at > now || until <= now) {
        return;
    }
    auto& known = m_servers[s.server];
    if (known.reported_at > reported_at) {
        return; // A later share has arrived before.
    }
    known.held = s;
    known.reported_at = reported_at;
    known.held_until = until;
}

bool cold_servers::cold(const incarnation& server, time_point now) const {
    const auto* s = find(server);
    return s != nullptr && now < s->returns_at;
}

time_point cold_servers::next_request_at(const incarnation& server, time_point now) const {
    const auto* s = find(server);
    if (s == nullptr || now >= s->returns_at) {
        return now;
    }
    if (s->held_until <= now) {
        return s->returns_at;
    }
    const auto interval = duration{s->held.spacing} / s->held.units + duration{1};
    const auto earliest = std::max<time_point>(now, after(s->last_sent, interval));
    return earliest < s->held_until ? std::min(earliest, s->returns_at) : s->returns_at;
}

void cold_servers::sent(const incarnation& server, time_point now) {
    const auto found = m_servers.find(server);
    if (found != m_servers.end() && now < found->second.returns_at) {
        found->second.last_sent = now;
    }
}

std::uint32_t cold_servers::max_in_flight(const incarnation& server, std::uint32_t slots,
                                          time_point now) const {
    const auto* s = find(server);
    if (s == nullptr || s->returns_at == never || now < s->returns_at ||
        now >= later(s->returns_at, m_settings.return_ramp)) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    const double risen = std::chrono::duration<double>(now - s->returns_at) /
                         std::chrono::duration<double>(m_settings.return_ramp);
    return 1 + static_cast<std::uint32_t>(risen * slots);
}

std::vector<cold_server> cold_servers::list(time_point now) const {
    std::vector<cold_server> out;
    for (const auto& [server, s] : m_servers) {
        if (s.returns_at != never && now < later(s.info.warm_at, m_settings.return_spread)) {
            out.push_back(s.info);
        }
    }
    return out;
}

} // namespace balsampost::core::warmup
