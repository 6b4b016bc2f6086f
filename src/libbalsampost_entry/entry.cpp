// The parts of an entry put together: watches, reports between instances, readiness, and the graceful stop.
#include "balsampost/entry/entry.h"

#include "balsampost/core/identity.h"
#include "balsampost/telemetry/log.h"

#include <algorithm>
#include <cmath>

namespace balsampost::entry {

using net::error_code;
using telemetry::event;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
// After the stop signal, the balancer asks once a second and takes two misses.
constexpr core::milliseconds balancer_leaves{3'200};
constexpr core::milliseconds stop_margin{600}; // Before the end by force.
constexpr core::milliseconds stop_poll{50};
constexpr core::milliseconds answer_time{200}; // For the last answers to reach their callers.
constexpr core::milliseconds takeover_spread{
    250};                                    // Between the first and the last that would take a free tenure.
constexpr core::milliseconds weak_wait{400}; // That the weakest instance leaves to the others besides.

// Parts of the memory that a server's answer, and all that are being read, may take.
constexpr std::uint64_t body_share = 8;
constexpr std::uint64_t all_bodies_share = 4;

constexpr double weak_pause = 3; // How much longer the weakest instance waits between looks at the tenure.

core::coordinator_settings coordinator_settings_of(const settings& s) {
    core::coordinator_settings out;
    out.longest_hold = s.bounds.longest_hold;
    out.hold = std::min(out.hold, s.bounds.longest_hold);
    // Instances take a free tenure one after the other, not all in the same moment.
    out.first_wait =
        core::milliseconds(
            static_cast<std::int64_t>(core::hash_of(s.instance.name) % takeover_spread.count())) +
        core::milliseconds(std::llround(s.resources.weakness() * static_cast<double>(weak_wait.count())));
    out.takeover_margin += out.first_wait;
    out.first_look = core::milliseconds(std::llround(
        s.resources.weakness() * static_cast<double>(weak_wait.count() + takeover_spread.count())));
    // An instance that leaves the coordinator's part to others need not look for it as often.
    const double seldom = 1 + weak_pause * s.resources.weakness();
    const auto stretched = [&](core::milliseconds t) {
        return core::milliseconds(std::llround(static_cast<double>(t.count()) * seldom));
    };
    out.poll_tenure = stretched(out.poll_tenure);
    return out;
}

client_limits client_limits_of(const settings& s) {
    client_limits out;
    const auto memory = static_cast<std::uint64_t>(s.resources.memory_mb) << 20U;
    out.body_bytes = std::min(out.body_bytes, memory / body_share);
    out.all_body_bytes = memory / all_bodies_share;
    return out;
}

/// The longest that a request of `service` is waited for; manifests change, so never less than the default.
core::milliseconds longest_timeout(const core::route_index& routes, const std::string& service) {
    core::milliseconds longest{3'000};
    for (const auto& r : routes.source().routes) {
        for (const auto& part : r.parts) {
            if (part.service == service) {
                longest = std::max(longest, r.timeout);
            }
        }
    }
    return longest;
}

} // namespace

entry::entry(settings s, const platform_factory& make_platform)
    : m_settings(std::move(s)), m_started(now()), m_timers(m_context),
      m_client(m_context, m_timers, client_limits_of(m_settings)), m_order_client(m_context, m_timers, {}),
      m_store_client(m_context, m_timers, {}),
      m_platform(make_platform(m_store_client, m_timers, m_settings)), m_state(m_settings),
      m_callers(m_context, {m_state, m_client, m_timers, *m_platform, m_measured}, m_settings),
      m_readiness(m_context,
                  [this] {
                      return page{ready() ? status_ok : status_unavailable, "text/plain", ""};
                  }),
      m_metrics(m_context,
                [this] {
                    return page{status_ok, "text/plain; version=0.0.4", m_measured.serialize()};
                }),
      m_peers(m_context, {[this](const auto& r, const auto& from) { reported(r, from); },
                          [this](const auto& u, const auto& from) { updated(u, from); }}),
      m_signals(m_context, SIGTERM, SIGINT, SIGHUP),
      m_run(instance_run(m_settings.instance.name, m_started)) {}

entry::~entry() = default;

bool entry::run() {
    try {
        m_readiness.start(m_context, m_settings.listen.readiness);
        m_metrics.start(m_context, m_settings.listen.metrics);
        m_callers.start();
        m_peers.start(m_settings.listen.peers);
    } catch (const boost::system::system_error& e) {
        telemetry::log(event::start_failed, {{"reason", e.what()}});
        return false;
    }
    telemetry::log(event::started, {{"id", m_run}});
    wait_for_signal();
    start_watches();
    report_loads();
    m_context.run();
    telemetry::log(event::stopped, {});
    return true;
}

bool entry::ready() const {
    return !m_stopping && m_state.routes() && m_backend_watch && m_backend_watch->listed();
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
            runner = std::make_shared<key_service>(*m_platform, m_order_client, m_timers, m_measured,
                                                   coordinator_settings_of(m_settings), name, m_run,
                                                   m_settings.instance.name, m_settings.listen.peers);
            runner->on_table([this, name = name] {
                const auto& own = m_key_services[name];
                auto& known = m_known[name];
                if (known.tables.put(own->version(), own->table(), !known.reporters.empty())) {
                    table_changed(name);
                }
            });
        }
        runner->limit_work(longest_timeout(*routes, name));
        std::vector<const core::backend*> servers;
        for (const auto& [id, b] : m_state.directory().entries()) {
            if (b.service == name) {
                servers.push_back(&b);
            }
        }
        runner->update_servers(servers);
    }
}

// Stop

void entry::wait_for_signal() {
    m_signals.async_wait([this](error_code ec, int number) {
        if (ec) {
            return;
        }
        if (number == SIGHUP) {
            telemetry::log(event::config_in_force,
                           {{"reload", "nothing in the settings is read again while running"}});
        } else if (!m_stopping) {
            begin_stop();
        }
        wait_for_signal();
    });
}

void entry::begin_stop() {
    telemetry::log(event::stopping, {{"in_flight", std::to_string(m_callers.in_flight())}});
    m_stopping = true;
    m_stop_at = now() + m_settings.bounds.stop_time - stop_margin;
    m_callers.begin_stop();
    for (const auto& [name, runner] : m_key_services) {
        runner->resign([this, name = name] {
            peer_update update;
            update.service = name;
            update.resigned = true;
            update.instances = m_state.instances();
            for (const auto& [instance, r] : m_known[name].reporters) {
                m_peers.send(r.at, update);
            }
        });
    }
    // Work on a request that comes late in the stop could not be finished.
    m_timers.at(now() + std::min(balancer_leaves, m_settings.bounds.stop_time / 2),
                [this] { m_callers.refuse_new_requests(); });
    const auto balancer_gone = now() + std::min(balancer_leaves, m_settings.bounds.stop_time / 2 + stop_poll);
    m_timers.at(balancer_gone, [this] { finish_stop(); });
}

void entry::finish_stop() {
    m_callers.close_idle_connections();
    const auto at = now();
    if (m_callers.connection_count() == 0) {
        end();
    } else if (at >= m_stop_at) {
        telemetry::log(event::drain_deadline, {{"connections", std::to_string(m_callers.connection_count())},
                                               {"in_flight", std::to_string(m_callers.in_flight())}});
        m_callers.fail_in_flight();
        m_timers.at(at + answer_time, [this] { end(); });
    } else {
        m_timers.at(at + stop_poll, [this] { finish_stop(); });
    }
}

void entry::end() {
    m_timers.stop();
    m_context.stop();
}

} // namespace balsampost::entry
