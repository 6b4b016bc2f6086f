// The parts of an entry put together: watches, reports between instances, readiness, and the graceful stop.
#include "balsampost/entry/entry.h"

#include "balsampost/core/identity.h"
#include "balsampost/telemetry/log.h"

#include <algorithm>

namespace balsampost::entry {

using net::error_code;
using telemetry::event;
using udp = net::asio::ip::udp;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
constexpr core::milliseconds report_pause{400};   // A hot spot must be seen within a second.
constexpr core::milliseconds report_at_least{1'000}; // A report without keys says that this instance lives.
constexpr core::milliseconds reporter_lost{2'500};
constexpr std::size_t most_bins = 256; // In one report; more do not fit into a datagram.
// After the stop signal, the balancer asks once a second and takes two misses.
constexpr core::milliseconds balancer_leaves{3'200};
constexpr core::milliseconds stop_margin{600}; // Before the end by force.
constexpr core::milliseconds stop_poll{50};
// An outage of the list shorter than this lets no entry lapse.
constexpr core::milliseconds harmless_outage{500};

/// What one instance sends to a coordinator.
struct instance_report {
    std::string instance;
    core::key_report keys;

    MSGPACK_DEFINE(instance, keys);
};

/// What the coordinator answers.
struct report_answer {
    std::uint32_t instances = 0;

    MSGPACK_DEFINE(instances);
};

template <class T>
std::optional<T> unpack(const char* data, std::size_t size) {
    try {
        return msgpack::unpack(data, size).get().as<T>();
    } catch (const std::exception& e) {
        telemetry::log(event::report_unusable, {{"reason", e.what()}});
        return std::nullopt;
    }
}

core::coordinator_settings coordinator_settings_of(const settings& s) {
    core::coordinator_settings out;
    out.longest_hold = s.bounds.longest_hold;
    out.hold = std::min(out.hold, s.bounds.longest_hold);
    // Instances take a free tenure one after the other, not all in the same moment.
    out.takeover_margin += core::milliseconds(static_cast<std::int64_t>(core::hash_of(s.instance.name) % 400));
    return out;
}

} // namespace

entry::entry(settings s, const platform_factory& make_platform)
    : m_settings(std::move(s)), m_started(now()), m_timers(m_context), m_client(m_context, m_timers, {}),
      m_order_client(m_context, m_timers, {}), m_store_client(m_context, m_timers, {}),
      m_platform(make_platform(m_store_client, m_timers, m_settings)), m_state(m_settings),
      m_callers(m_context, {m_state, m_client, m_timers, *m_platform, m_measured}, m_settings),
      m_readiness(m_context, [this] { return page{ready() ? status_ok : status_unavailable, "text/plain", ""}; }),
      m_metrics(m_context, [this] { return page{status_ok, "text/plain; version=0.0.4", m_measured.serialize()}; }),
      m_reports(m_context), m_signals(m_context, SIGTERM, SIGINT, SIGHUP),
      m_run(instance_run(m_settings.instance.name, m_started)) {}

entry::~entry() = default;

bool entry::run() {
    try {
        m_readiness.start(m_context, m_settings.listen.readiness);
        m_metrics.start(m_context, m_settings.listen.metrics);
        m_callers.start();
        m_reports.open(udp::v4());
        m_reports.non_blocking(true);
        m_reports.bind({net::asio::ip::make_address(m_settings.listen.peers.address), m_settings.listen.peers.port});
    } catch (const boost::system::system_error& e) {
        telemetry::log(event::start_failed, {{"reason", e.what()}});
        return false;
    }
    telemetry::log(event::started, {{"id", m_run}});
    wait_for_signal();
    receive_report();
    start_watches();
    m_timers.at(now() + report_pause, [this] { send_reports(); });
    m_context.run();
    telemetry::log(event::stopped, {});
    return true;
}

bool entry::ready() const {
    return !m_stopping && m_state.routes() && m_backend_watch && m_backend_watch->listed();
}

// News from the store

void entry::start_watches() {
    auto& store = m_platform->store();
    const auto ignore_return = [](core::milliseconds) {};
    const auto ignore_loss = [](store_fault) {};
    const auto nothing = [] {};
    watch_handlers backends{
        [this](const std::vector<stored_object>& objects) {
            std::vector<core::backend> entries;
            for (const auto& o : objects) {
                auto decoded = m_platform->decode_backend(o);
                if (decoded) {
                    entries.push_back(std::move(*decoded));
                } else {
                    telemetry::log(event::backend_unusable, {{"server", o.name}, {"reason", decoded.error().message}});
                }
            }
            m_state.directory().replace(std::move(entries), now());
        },
        [this](const object_change& c) {
            if (c.removed) {
                telemetry::log(event::backends_changed, {{"server", c.object.name}, {"change", "removed"}});
                m_state.directory().remove(c.object.name, now());
            } else {
                backend_arrived(c.object);
            }
        },
        [this] { directory_settled(); },
        [this](core::milliseconds out) {
            if (out >= harmless_outage) {
                m_state.directory().list_returned(now());
            }
        },
        ignore_loss};
    m_backend_watch = std::make_shared<kind_watch>(store, m_timers, m_platform->kinds().backends, std::move(backends));
    watch_handlers manifests{[this](const std::vector<stored_object>& objects) {
                                 for (const auto& o : objects) {
                                     manifest_arrived(o);
                                 }
                             },
                             [this](const object_change& c) {
                                 if (!c.removed) {
                                     manifest_arrived(c.object);
                                 }
                             },
                             nothing, ignore_return, ignore_loss};
    m_manifest_watch = std::make_shared<kind_watch>(store, m_timers, m_platform->kinds().manifests, std::move(manifests));
    watch_handlers tables{[this](const std::vector<stored_object>& objects) {
                              for (const auto& o : objects) {
                                  table_arrived(o);
                              }
                          },
                          [this](const object_change& c) {
                              if (!c.removed) {
                                  table_arrived(c.object);
                              }
                          },
                          nothing, ignore_return, ignore_loss};
    m_table_watch = std::make_shared<kind_watch>(store, m_timers, key_table_kind, std::move(tables));
    m_backend_watch->start();
    m_manifest_watch->start();
    m_table_watch->start();
}

void entry::backend_arrived(const stored_object& object) {
    auto decoded = m_platform->decode_backend(object);
    if (!decoded) {
        telemetry::log(event::backend_unusable, {{"server", object.name}, {"reason", decoded.error().message}});
        m_state.directory().remove(object.name, now());
        return;
    }
    telemetry::log(event::backends_changed, {{"server", object.name},
                                             {"service", decoded->service},
                                             {"change", decoded->draining ? "draining" : "listed"},
                                             {"revision", std::to_string(object.revision)}});
    m_state.directory().put(std::move(*decoded), now());
}

void entry::directory_settled() {
    m_state.directory_changed();
    update_key_services();
    arm_directory_expiry();
}

void entry::arm_directory_expiry() {
    const auto due = m_state.directory().next_expiry();
    if (m_expiry_armed || due == core::time_point::max()) {
        return;
    }
    m_expiry_armed = true;
    m_timers.at(due, [this] {
        m_expiry_armed = false;
        if (m_state.directory().expire(now())) {
            directory_settled();
        } else {
            arm_directory_expiry();
        }
    });
}

void entry::manifest_arrived(const stored_object& object) {
    if (object.name != m_platform->kinds().manifest_name) {
        return;
    }
    auto decoded = m_platform->decode_manifest(object);
    if (!decoded) {
        telemetry::log(event::config_unusable, {{"reason", decoded.error().message},
                                                {"revision", std::to_string(object.revision)}});
        return;
    }
    if (m_state.routes() && decoded->version <= m_manifest_version) {
        return; // Versions never go back in one run.
    }
    m_manifest_version = decoded->version;
    m_measured.manifest_version(decoded->version);
    telemetry::log(event::config_in_force, {{"version", std::to_string(decoded->version)},
                                            {"routes", std::to_string(decoded->routes.size())},
                                            {"revision", std::to_string(object.revision)}});
    m_state.set_manifest(std::move(*decoded));
    for (const auto& [service, table] : m_tables) {
        m_state.set_table(service, table);
    }
    update_key_services();
}

void entry::table_arrived(const stored_object& object) {
    auto decoded = core::key_table_from_json(object.value);
    if (!decoded) {
        telemetry::log(event::key_table_unusable, {{"service", object.name}, {"reason", decoded.error().message}});
        return;
    }
    telemetry::log(event::key_table_in_force, {{"service", object.name},
                                               {"term", std::to_string(decoded->term)},
                                               {"last_fence", std::to_string(decoded->last_fence)},
                                               {"coordinator", decoded->coordinator},
                                               {"runs", std::to_string(decoded->runs.size())}});
    auto table = std::make_shared<const core::key_table>(std::move(*decoded));
    m_tables[object.name] = table;
    m_state.set_table(object.name, std::move(table));
}

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
        }
        std::vector<const core::backend*> servers;
        for (const auto& [id, b] : m_state.directory().entries()) {
            if (b.service == name) {
                servers.push_back(&b);
            }
        }
        runner->update_servers(servers);
    }
}

// Reports between instances

void entry::send_reports() {
    if (m_stopping) {
        return;
    }
    const auto at = now();
    const bool due = at - m_last_report >= report_at_least;
    for (auto& [name, service] : m_state.services()) {
        if (!service.keyed || !service.table || (!due && service.keys.empty())) {
            continue;
        }
        instance_report report;
        report.instance = m_settings.instance.name;
        report.keys.service = name;
        report.keys.period_ms = static_cast<std::uint32_t>(report_pause.count());
        service.keys.take(report.keys, most_bins);
        for (const auto& [id, b] : m_state.directory().entries()) {
            if (b.service == name) {
                report.keys.service_ms.emplace_back(
                    id, static_cast<std::uint32_t>(service.pool.service_time(id).count()));
            }
        }
        report.keys.unreachable.assign(service.unreachable.begin(), service.unreachable.end());
        service.unreachable.clear();
        m_last_report = at;
        if (service.table->coordinator == m_run) {
            const auto runner = m_key_services.find(name);
            if (runner != m_key_services.end()) {
                runner->second->report(report.keys);
            }
            m_state.set_instances(static_cast<std::uint32_t>(m_reporters.size()) + 1);
            continue;
        }
        msgpack::sbuffer packed;
        msgpack::pack(packed, report);
        error_code ec;
        const auto& to = service.table->coordinator_at;
        m_reports.send_to(net::asio::buffer(packed.data(), packed.size()),
                          {net::asio::ip::make_address(to.address), to.port}, 0, ec);
        // A report that is lost is made up for by the next.
    }
    std::erase_if(m_reporters, [&](const auto& r) { return at - r.second > reporter_lost; });
    m_timers.at(at + report_pause, [this] { send_reports(); });
}

void entry::receive_report() {
    m_reports.async_receive_from(net::asio::buffer(m_report_buffer), m_report_from,
                                 [this](error_code ec, std::size_t size) {
                                     if (ec == net::asio::error::operation_aborted) {
                                         return;
                                     }
                                     if (!ec) {
                                         report_received(size);
                                     }
                                     receive_report();
                                 });
}

void entry::report_received(std::size_t size) {
    // An answer is the shorter of the two forms.
    const auto handle = msgpack::unpack(m_report_buffer.data(), size);
    if (handle.get().type == msgpack::type::ARRAY && handle.get().via.array.size == 1) {
        if (const auto answer = unpack<report_answer>(m_report_buffer.data(), size)) {
            m_state.set_instances(answer->instances);
        }
        return;
    }
    const auto report = unpack<instance_report>(m_report_buffer.data(), size);
    if (!report) {
        return;
    }
    m_reporters[report->instance] = now();
    const auto runner = m_key_services.find(report->keys.service);
    if (runner == m_key_services.end() || !runner->second->leads()) {
        return;
    }
    runner->second->report(report->keys);
    msgpack::sbuffer packed;
    msgpack::pack(packed, report_answer{static_cast<std::uint32_t>(m_reporters.size()) + 1});
    error_code ec;
    m_reports.send_to(net::asio::buffer(packed.data(), packed.size()), m_report_from, 0, ec);
}

// Stop

void entry::wait_for_signal() {
    m_signals.async_wait([this](error_code ec, int number) {
        if (ec) {
            return;
        }
        if (number == SIGHUP) {
            telemetry::log(event::config_in_force, {{"reload", "nothing in the settings is read again while running"}});
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
        runner->resign();
    }
    const auto balancer_gone = now() + std::min(balancer_leaves, m_settings.bounds.stop_time / 2 + stop_poll);
    m_timers.at(balancer_gone, [this] { finish_stop(); });
}

void entry::finish_stop() {
    m_callers.close_quiet();
    const auto at = now();
    if (m_callers.open() == 0 || at >= m_stop_at) {
        if (m_callers.open() > 0) {
            telemetry::log(event::drain_deadline, {{"connections", std::to_string(m_callers.open())}});
        }
        m_timers.stop();
        m_context.stop();
        return;
    }
    m_timers.at(at + stop_poll, [this] { finish_stop(); });
}

} // namespace balsampost::entry
