// Updates of the routing state and notification of waiting requests.
#include "balsampost/entry/traffic_state.h"

#include "balsampost/core/residency/manifest_regions.h"
#include "balsampost/net/asio.h"
#include "balsampost/telemetry/log.h"

#include <algorithm>

namespace balsampost::entry {

namespace {

// Used for this instance's share of common limits until the number of instances is known.
constexpr std::uint32_t assumed_instances = 12;

// Part of the time for which requests may still reach a leaving server; the rest is for their way there.
constexpr int draining_owner_percent = 75;
constexpr int percent = 100;

core::selection_settings selection_settings_of(const settings& s) {
    core::selection_settings out;
    out.by_cost = s.selection.by_cost;
    out.draining_owner_period = s.bounds.leaving_time * draining_owner_percent / percent;
    return out;
}

/// The set of evacuated failure domains, empty at first. Those of the settings always have room in it.
std::shared_ptr<core::evacuation::evacuated_domains> evacuations_of(const settings& s) {
    core::evacuation::evacuation_settings out;
    out.owner_period = core::evacuation::owner_period_of(s.bounds.evacuation_time);
    std::set<std::string> known;
    for (const auto& [domain, region] : s.regions) {
        known.insert(domain);
    }
    return std::make_shared<core::evacuation::evacuated_domains>(out, std::move(known));
}

} // namespace

traffic_state::traffic_state(const settings& s)
    : m_settings(s), m_evacuations(evacuations_of(s)),
      m_cold(std::make_shared<core::warmup::cold_servers>(s.instance.name)), m_instances(assumed_instances) {}

void traffic_state::set_manifest(core::manifest m) {
    m_routes = std::make_shared<const core::route_index>(std::move(m));
    const auto& configured = m_routes->source().services;
    std::erase_if(m_services, [&](const auto& s) { return !configured.contains(s.first); });
    for (const auto& [name, service] : configured) {
        auto found = m_services.find(name);
        if (found == m_services.end()) {
            const core::repeat_limits limits{m_settings.bounds.repeat_permille / 1000.0,
                                             static_cast<double>(m_settings.bounds.repeat_slack),
                                             m_settings.bounds.repeat_window};
            found = m_services
                        .emplace(name, service_state{core::server_pool(selection_settings_of(m_settings),
                                                                       m_settings.instance.failure_domain,
                                                                       m_settings.regions, m_notices, m_cold),
                                                     core::repeat_budget(limits),
                                                     {},
                                                     {},
                                                     nullptr,
                                                     service.keyed,
                                                     {},
                                                     core::never})
                        .first;
            found->second.pool.set_evacuations(m_evacuations);
        }
        found->second.keyed = service.keyed;
        found->second.owner_regions = core::residency::owner_regions(m_routes->source(), name);
    }
    update_pools();
    notify();
}

void traffic_state::set_table(const std::string& service, std::shared_ptr<const core::key_table> table) {
    if (auto* s = find(service)) {
        s->table = std::move(table);
        notify();
    }
}

void traffic_state::set_instances(std::uint32_t count) {
    if (count != m_instances && count > 0) {
        m_instances = count;
        update_pools();
    }
}

void traffic_state::directory_changed() {
    update_pools();
    notify();
}

void traffic_state::update_pools() {
    if (!m_routes) {
        return;
    }
    m_cold->update(m_directory.entries(), m_routes->source().services, net::now());
    for (auto& [name, s] : m_services) {
        std::vector<const core::backend*> servers;
        for (const auto& [id, b] : m_directory.entries()) {
            if (b.service == name) {
                servers.push_back(&b);
            }
        }
        s.pool.update(servers, m_routes->find_service(name)->max_connections, m_instances);
    }
}

service_state* traffic_state::find(const std::string& service) {
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

void traffic_state::note(const std::string& service, const core::incarnation& server,
                         const core::server_notice& notice, core::time_point now, const char* source) {
    if (notice.empty()) {
        return;
    }
    const auto change =
        m_notices->hear(server, notice, now, std::uniform_real_distribution<double>(0, 1)(m_random));
    if (change.began_leaving) {
        telemetry::log(telemetry::event::server_leaving,
                       {{"server", server.id}, {"service", service}, {"source", source}});
    }
    if (change.paused_until) {
        telemetry::log(telemetry::event::server_paused,
                       {{"server", server.id},
                        {"service", service},
                        {"source", source},
                        {"pause_ms", std::to_string(notice.pause->count())},
                        {"left_ms", std::to_string(core::milliseconds_between(now, *change.paused_until))}});
    }
}

void traffic_state::note_unreachable(const std::string& service, const std::string& server) {
    if (auto* s = find(service)) {
        s->unreachable.insert(server);
    }
}

void traffic_state::notify() {
    const auto callbacks = std::exchange(m_change_callbacks, {});
    for (const auto& action : callbacks) {
        action();
    }
}

} // namespace balsampost::entry
