// Shares of the rates of cold servers: who hands them out, and how they travel in updates. Only the updates
// of the first keyed service carry them, as they do the change feed, so that there is one publisher.
#include "balsampost/entry/entry.h"

#include "balsampost/entry/event_loop.h"
#include "balsampost/telemetry/log.h"

#include <cmath>
#include <utility>

namespace balsampost::entry {

using telemetry::event;

namespace {

constexpr double per_mille = 1'000;

} // namespace

std::vector<core::warmup::share_limit> entry::share_limits() {
    const auto& services = m_state.routes()->source().services;
    std::vector<core::warmup::share_limit> out;
    std::map<core::incarnation, std::string> cold;
    for (auto& c : m_state.cold().list(now())) {
        const double per_s = services.at(c.service).warmup_per_s;
        const double max_in_second =
            per_s * m_settings.bounds.warmup_overage_permille / per_mille + m_settings.bounds.warmup_slack;
        const auto plan = core::warmup::divide_rate(per_s, max_in_second);
        out.push_back({c.server, c.failure_domain, plan});
        cold.emplace(c.server, c.service);
        if (!m_published_cold.contains(c.server)) {
            telemetry::log(event::server_cold,
                           {{"server", c.server.id},
                            {"service", c.service},
                            {"left_ms", std::to_string(core::milliseconds_between(now(), c.warm_at))},
                            {"units", std::to_string(plan.units)},
                            {"spacing_ms", std::to_string(plan.spacing.count())}});
        }
    }
    for (const auto& [server, service] : std::exchange(m_published_cold, std::move(cold))) {
        if (!m_published_cold.contains(server)) {
            telemetry::log(event::server_warm, {{"server", server.id}, {"service", service}});
        }
    }
    return out;
}

void entry::update_shares() {
    const auto at = now();
    if (!m_shares || !m_state.routes()) {
        return;
    }
    m_metrics.cold_servers(m_state.cold().list(at).size());
    if (m_key_services.empty() || m_stopping) {
        m_shares->follow(at);
        return;
    }
    const auto& [service, runner] = *m_key_services.begin();
    std::vector<core::warmup::candidate> reporters;
    for (const auto& [name, r] : m_service_views[service].reporters) {
        reporters.push_back({name, r.position.failure_domain, r.position.members});
    }
    m_shares->set_reporters(std::move(reporters));
    if (!runner->leads()) {
        m_published_cold.clear();
        m_shares->follow(at);
        return;
    }
    const auto limits = share_limits();
    const bool began = m_shares->publish(limits, runner->term(), at);
    if (began && !limits.empty()) {
        telemetry::log(event::shares_withheld,
                       {{"service", service}, {"cold_servers", std::to_string(limits.size())}});
    }
}

peer_shares entry::shares_for(const std::string& service, const reporter& receiver) {
    peer_shares out;
    if (!m_shares || receiver.sent_ns == 0 || !carries_feed(service)) {
        return out;
    }
    if (m_shares->publishes() && !m_key_services.at(service)->leads()) {
        m_shares->follow(now()); // The tenure has ended since `update_shares`.
    }
    out.instance = receiver.position.name;
    out.sent_ns = receiver.sent_ns;
    for (const auto& s : m_shares->shares_for(out.instance, receiver.last_report_at, now())) {
        out.shares.emplace_back(s.server.id, s.server.started_ms, s.units,
                                static_cast<std::uint32_t>(s.spacing.count()),
                                static_cast<std::uint32_t>(s.lifetime.count()));
    }
    return out;
}

void entry::shares_received(const peer_shares& received) {
    const core::time_point reported_at{core::duration{received.sent_ns}};
    // An answer to a report of an earlier process of this instance gives this one nothing.
    if (!m_shares || received.shares.empty() || received.instance != m_settings.instance.name ||
        reported_at < m_started || reported_at > now()) {
        return;
    }
    std::vector<core::warmup::share> shares;
    for (const auto& [id, started_ms, units, spacing_ms, lifetime_ms] : received.shares) {
        shares.push_back(
            {{id, started_ms}, units, core::milliseconds(spacing_ms), core::milliseconds(lifetime_ms)});
    }
    m_shares->receive(shares, reported_at, now());
}

std::map<core::incarnation, core::time_point> entry::cold_servers_of(const std::string& service) const {
    std::map<core::incarnation, core::time_point> out;
    for (const auto& c : m_state.cold().list(now())) {
        if (c.service == service) {
            out.emplace(c.server, c.warm_at);
        }
    }
    return out;
}

} // namespace balsampost::entry
