// Wiring of the components: startup, keyed services, readiness and signals.
#include "balsampost/entry/entry.h"

#include "balsampost/core/identity.h"
#include "balsampost/core/residency/manifest_regions.h"
#include "balsampost/entry/event_loop.h"
#include "balsampost/telemetry/log.h"

#include <algorithm>
#include <cmath>

namespace balsampost::entry {

using net::error_code;
using telemetry::event;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
// Instances that try to take a free tenure are spread over this time.
constexpr core::milliseconds takeover_spread{250};
// Additional wait of the instance with the least capacity, so that the others try first.
constexpr core::milliseconds max_capacity_delay{400};

// A single answer of a server may use the memory divided by this.
constexpr std::uint64_t body_memory_divisor = 8;
constexpr std::uint64_t max_answer_bytes = 64U << 20U;

// The answer to an order has a short body, if any.
constexpr std::uint64_t order_body_bytes = 64U << 10U;
constexpr std::uint64_t all_order_bodies_bytes = 4U << 20U;
// The store answers with a page or an object of about a mebibyte at most.
constexpr std::uint64_t store_body_bytes = 4U << 20U;
constexpr std::uint64_t all_store_bodies_bytes = 16U << 20U;

// Added to the polling interval of the tenure on the instance with the least capacity, in multiples of that
// interval.
constexpr double max_extra_poll_stretch = 3;

// Part of the link that updates to other instances may use; callers and servers have the rest.
constexpr double updates_link_share = 0.5;

core::relay::schedule_settings schedule_settings_of(const settings& s) {
    core::relay::schedule_settings out;
    out.bytes_per_s = s.resources.link_bytes_per_s() * updates_link_share;
    return out;
}

// Part of the time of evacuated owners in which keys leave them in batches; then the rest moves at once.
constexpr int evacuation_batch_divisor = 2;

core::coordinator_settings coordinator_settings_of(const settings& s) {
    core::coordinator_settings out;
    out.max_hold = s.bounds.max_hold;
    out.hold = std::min(out.hold, s.bounds.max_hold);
    if (s.bounds.evacuation_time > core::milliseconds{0}) {
        out.key_evacuation.batch_time =
            core::evacuation::owner_period_of(s.bounds.evacuation_time) / evacuation_batch_divisor;
    }
    // Staggers the instances' attempts to take a free tenure, so that they do not all write at once.
    out.free_tenure_delay = core::milliseconds(static_cast<std::int64_t>(core::hash_of(s.instance.name) %
                                                                         takeover_spread.count())) +
                            core::milliseconds(std::llround(s.resources.capacity_shortage() *
                                                            static_cast<double>(max_capacity_delay.count())));
    out.takeover_margin += out.free_tenure_delay;
    out.initial_read_delay = core::milliseconds(
        std::llround(s.resources.capacity_shortage() *
                     static_cast<double>(max_capacity_delay.count() + takeover_spread.count())));
    // An instance that is unlikely to become coordinator can poll the tenure less often.
    const double poll_stretch = 1 + max_extra_poll_stretch * s.resources.capacity_shortage();
    const auto stretched = [&](core::milliseconds t) {
        return core::milliseconds(std::llround(static_cast<double>(t.count()) * poll_stretch));
    };
    out.tenure_poll_interval = stretched(out.tenure_poll_interval);
    return out;
}

client_limits client_limits_of(const settings& s) {
    client_limits out;
    const auto memory = static_cast<std::uint64_t>(s.resources.memory_mb) << 20U;
    out.body_bytes = std::min(max_answer_bytes, memory / body_memory_divisor);
    out.all_body_bytes = memory_limits_of(s).total; // The account of memory decides.
    return out;
}

client_limits limits_of_bodies(std::uint64_t one, std::uint64_t all) {
    client_limits out;
    out.body_bytes = one;
    out.all_body_bytes = all;
    return out;
}

/// Returns the maximum timeout of the routes to `service`. It is never less than the default, since a later
/// manifest may raise it.
core::milliseconds max_route_timeout(const core::route_index& routes, const std::string& service) {
    core::milliseconds max{3'000};
    for (const auto& r : routes.source().routes) {
        for (const auto& part : r.destinations) {
            if (part.service == service) {
                max = std::max(max, r.timeout);
            }
        }
    }
    return max;
}

} // namespace

entry::entry(settings s, const platform_factory& make_platform)
    : m_settings(std::move(s)), m_started(now()),
      m_memory(std::make_shared<core::memory::account>(memory_limits_of(m_settings))), m_timers(m_context),
      m_room(m_settings.resources.descriptors), m_client(m_context, m_timers, client_limits_of(m_settings)),
      m_order_client(m_context, m_timers, limits_of_bodies(order_body_bytes, all_order_bodies_bytes)),
      m_store_client(m_context, m_timers, limits_of_bodies(store_body_bytes, all_store_bodies_bytes)),
      m_platform(make_platform(m_store_client, m_timers, m_settings)), m_state(m_settings),
      m_callers(m_context, {m_state, m_client, m_timers, *m_platform, m_metrics}, m_settings, &m_room,
                m_memory),
      m_readiness_server(m_context, m_room, core::descriptor_use::readiness, "readiness",
                         [this] {
                             return page{ready() ? status_ok : status_unavailable, "text/plain", ""};
                         }),
      m_metrics_server(m_context, m_room, core::descriptor_use::metrics, "metrics",
                       [this] {
                           m_metrics.memory_held(m_memory->used());
                           return page{status_ok, "text/plain; version=0.0.4", m_metrics.serialize()};
                       }),
      m_peers(m_context, {[this](const auto& r, const auto& from) { report_received(r, from); },
                          [this](const auto& u, const auto& from) { update_received(u, from); }}),
      m_signals(m_context, SIGTERM, SIGINT, SIGHUP),
      m_incarnation_id(incarnation_id(m_settings.instance.name, m_started)),
      m_updates(schedule_settings_of(m_settings)) {
    m_client.count_in(m_memory, [this](std::uint64_t bytes, std::uint64_t larger_than) {
        return m_callers.make_room(bytes, larger_than);
    });
    m_client.limit_connections([this] { return m_room.has_room(core::descriptor_use::servers); });
    m_room.count(core::descriptor_use::servers, [this] { return m_client.connection_count(); });
    const auto control_has_room = [this] { return m_room.has_room(core::descriptor_use::control); };
    m_order_client.limit_connections(control_has_room);
    m_store_client.limit_connections(control_has_room);
    m_room.count(core::descriptor_use::control,
                 [this] { return m_order_client.connection_count() + m_store_client.connection_count(); });
}

entry::~entry() = default;

bool entry::run() {
    begin_start();
    const bool loop_ended = run_event_loop(m_context);
    if (m_start_failed) {
        return false;
    }
    contained("close of callers' connections", [&] { m_callers.close_all(); });
    if (!loop_ended) {
        telemetry::log(event::stopped, {{"reason", "a handler failed"}});
        return false;
    }
    telemetry::log(event::stopped, {});
    return true;
}

bool entry::ready() const {
    return !m_stopping && m_state.routes() && m_backend_watch && m_backend_watch->listed() &&
           (!m_evacuation_watch || m_evacuation_watch->listed());
}

// Keyed services

void entry::update_key_services() {
    const auto routes = m_state.routes();
    if (!routes || m_stopping) {
        return;
    }
    for (const auto& [name, service] : routes->source().services) {
        if (!service.keyed) {
            continue;
        }
        auto& runner = m_key_services[name];
        if (!runner) {
            runner = std::make_shared<key_service>(
                *m_platform, m_order_client, m_timers, m_metrics, coordinator_settings_of(m_settings), name,
                m_incarnation_id, m_settings.instance.name, m_settings.listen.peers);
            runner->on_notice([this, name = name](const auto& server, core::server_notice notice) {
                notice.pause.reset(); // Orders are no requests of callers: without renewals the server loses
                                      // its keys.
                m_state.note(name, server, notice, now(), "order");
            });
            runner->on_table_changed([this, name = name] {
                const auto& own = m_key_services[name];
                auto& view = m_service_views[name];
                if (view.tables.put(own->version(), own->table(), !view.reporters.empty())) {
                    table_changed(name);
                }
            });
        }
        runner->set_max_request_time(max_route_timeout(*routes, name));
        runner->limit_owner_regions(core::residency::owner_regions(routes->source(), name),
                                    m_settings.regions);
        std::vector<const core::backend*> servers;
        for (const auto& [id, b] : m_state.directory().entries()) {
            // An entry with an unknown service may come from another writer and proves nothing.
            if (routes->source().services.contains(b.service)) {
                servers.push_back(&b);
            }
        }
        runner->set_cold_servers(cold_servers_of(name));
        runner->update_servers(servers);
        runner->update_evacuations(evacuated_domains());
    }
}

// Signals

void entry::beat() {
    m_state.pauses().beat(now());
    m_timers.at(now() + core::pauses::process_pauses::beat_interval, [this] { beat(); });
}

void entry::wait_for_signal() {
    m_signals.async_wait([this](error_code ec, int number) {
        if (ec) {
            return;
        }
        wait_for_signal(); // First, so that a failure below leaves later signals in hand.
        if (number == SIGHUP) {
            telemetry::log(event::config_in_force,
                           {{"reload", "settings are read only at startup; SIGHUP has no effect"}});
        } else if (!m_serving) {
            stop_before_serving();
        } else if (!m_stopping) {
            begin_stop();
        }
    });
}

} // namespace balsampost::entry
