// Updates and reports between instances: a coordinator, its relays and those who report to them. Every
// instance runs the same code; who has reporters passes on what it knows and how old that is.
#include "balsampost/entry/entry.h"

#include "balsampost/telemetry/log.h"

#include <algorithm>

namespace balsampost::entry {

using telemetry::event;

namespace {

constexpr core::milliseconds report_pause{250}; // A hot spot must be seen within a second.
// Of an instance whose coordinator or relay has many reporters: so many reports a second reach it in all.
constexpr std::uint32_t reports_per_second = 80;
constexpr core::milliseconds longest_report_pause{800};
constexpr core::milliseconds member_report_pause{500}; // Of an instance that reports to a relay.
// Moves of one plan complete close together, as changes in the store do, and share an update.
constexpr core::milliseconds push_delay{25};
constexpr core::milliseconds push_pause{400}; // A relay's members have no older update while it has a newer.
constexpr core::milliseconds reporter_lost{2'500};
constexpr core::milliseconds moved_reporter_lost{700}; // That was asked to report to a relay.
constexpr core::milliseconds updates_missing{1'200};   // Then the coordinator, or the table in the store, is
                                                       // looked for.
constexpr core::milliseconds relay_avoided{10'000};    // After a relay was lost.
// A relay that has not heard the coordinator for so long is no better than none. A coordinator that is lost
// is replaced in less.
constexpr core::milliseconds coordinator_lost{5'000};
constexpr core::milliseconds table_read_pause{
    600}; // Doubled while the store does not answer, up to the longest.
constexpr core::milliseconds longest_table_read_pause{2'400};
constexpr std::size_t most_keys = 256;          // In one instance's report.
constexpr std::size_t most_merged_keys = 2'000; // In a relay's; more do not fit into a datagram.

bool older(core::time_point t, core::milliseconds age) {
    return t == core::never || now() - t > age;
}

} // namespace

// Tables

void entry::table_changed(const std::string& service) {
    const auto& known = m_known[service];
    const auto& table = *known.tables.table();
    telemetry::log(event::key_table_in_force, {{"service", service},
                                               {"revision", std::to_string(known.tables.version().revision)},
                                               {"settled", std::to_string(known.tables.version().settled)},
                                               {"term", std::to_string(table.term)},
                                               {"last_fence", std::to_string(table.last_fence)},
                                               {"coordinator", table.coordinator},
                                               {"runs", std::to_string(table.runs.size())}});
    m_state.set_table(service, known.tables.table());
    push_soon(service);
}

void entry::read_table(const std::string& service) {
    m_known[service].read_at = now();
    m_platform->store().read(key_table_kind, service, false, [this, service](const auto& answer) {
        auto& pause = m_known[service].read_pause;
        pause = answer ? table_read_pause : std::min(2 * pause, longest_table_read_pause);
        if (!answer || !*answer) {
            return; // The store's own failures are logged by the watches; without a table there is nothing to
                    // take.
        }
        auto table = core::key_table_from_json((*answer)->value);
        if (!table) {
            telemetry::log(event::key_table_unusable,
                           {{"service", service}, {"reason", table.error().message}});
            return;
        }
        auto& known = m_known[service];
        if (known.tables.put({(*answer)->revision, 0}, std::move(*table), !known.reporters.empty())) {
            table_changed(service);
        }
    });
}

void entry::take_limits(const std::string& service,
                        const std::vector<std::pair<std::string, std::uint32_t>>& admit_permille) {
    m_known[service].admit_permille = admit_permille;
    if (auto* state = m_state.find(service)) {
        state->admitted_fractions.clear();
        for (const auto& [server, permille] : admit_permille) {
            state->admitted_fractions[server] = permille / 1000.0;
        }
        state->admitted_fractions_until = now() + updates_missing;
    }
}

// Reports

core::key_report entry::load_report_of(const std::string& name, service_state& service) {
    core::key_report report;
    report.service = name;
    service.keys.take(report, most_keys);
    for (const auto& sample : service.pool.take_samples()) {
        report.service_ms.emplace_back(sample.server, sample.answers,
                                       static_cast<std::uint32_t>(sample.total_ms));
    }
    report.unreachable.assign(service.unreachable.begin(), service.unreachable.end());
    service.unreachable.clear();
    return report;
}

std::uint32_t entry::instances_of(const std::string& service) const {
    const auto found = m_known.find(service);
    std::uint32_t out = 1;
    if (found != m_known.end()) {
        for (const auto& [name, r] : found->second.reporters) {
            out += 1 + r.place.members;
        }
    }
    return out;
}

core::endpoint entry::report_target(const std::string& service, const key_service& runner) {
    auto& known = m_known[service];
    if (known.relay.port != 0) {
        if (!older(known.relay_heard, updates_missing) && !older(known.coordinator_heard, coordinator_lost)) {
            return known.relay;
        }
        telemetry::log(event::relay_lost, {{"service", service}, {"relay", core::to_string(known.relay)}});
        known.relay = {};
        known.lost_relay_until = now() + relay_avoided;
    }
    return known.coordinator_at.port != 0 && !older(known.coordinator_heard, updates_missing)
               ? known.coordinator_at
               : runner.holder_at();
}

void entry::report_load(const std::string& name, key_service& runner) {
    auto* service = m_state.find(name);
    if (service == nullptr || !service->keyed) {
        return;
    }
    auto& known = m_known[name];
    std::erase_if(known.reporters, [](const auto& r) {
        return older(r.second.last, r.second.relay.port != 0 ? moved_reporter_lost : reporter_lost);
    });
    auto report = load_report_of(name, *service);
    if (runner.leads()) {
        runner.report(report);
        m_state.set_instances(instances_of(name));
        plan_tree(name, runner);
        peer_update own;
        runner.describe(own);
        take_limits(name, own.admit_permille);
        return;
    }
    known.reports.take(report, most_merged_keys);
    peer_report out{m_settings.instance.name,
                    std::move(report),
                    known.tables.version(),
                    known_kinds(),
                    m_settings.instance.failure_domain,
                    m_settings.resources.weakness(),
                    instances_of(name) - 1,
                    now() < known.lost_relay_until};
    m_peers.send(report_target(name, runner), out);
    if (!known.reporters.empty() && older(known.pushed_at, push_pause)) {
        push(name);
    }
    const bool missing =
        older(known.heard, updates_missing) || older(known.coordinator_heard, coordinator_lost);
    if (missing && older(known.read_at, known.read_pause) && now() - m_started > 2 * updates_missing) {
        read_table(name);
    }
}

void entry::report_loads() {
    if (m_stopping) {
        return;
    }
    update_watch_roles();
    auto pause = report_pause;
    for (auto& [name, runner] : m_key_services) {
        report_load(name, *runner);
        const auto& known = m_known[name];
        if (known.reporters.empty() && !runner->leads()) {
            const auto share = core::milliseconds(1000) * m_state.instances() / reports_per_second;
            pause = known.relay.port != 0 ? member_report_pause
                                          : std::clamp(share, report_pause, longest_report_pause);
        }
    }
    m_timers.at(now() + pause, [this] { report_loads(); });
}

void entry::reported(const peer_report& report, const core::endpoint& from) {
    const auto& service = report.keys.service;
    const auto runner = m_key_services.find(service);
    if (runner == m_key_services.end() || m_stopping) {
        return;
    }
    auto& known = m_known[service];
    const bool leads = runner->second->leads();
    if (!leads && known.relay.port != 0) {
        // One that others report to reports to the coordinator itself.
        known.relay = {};
    }
    auto& sender = known.reporters[report.instance];
    sender.at = from;
    sender.last = now();
    sender.known = report.known;
    sender.kinds = report.kinds;
    sender.place = {report.instance, report.failure_domain, report.weakness, report.members,
                    report.lost_relay};
    if (leads) {
        runner->second->report(report.keys);
    } else {
        known.reports.add(report.keys);
        if (report.known >= known.tables.version() && !older(known.pushed_at, push_pause)) {
            return; // It has had all that there is.
        }
    }
    auto update = update_for(service, report.known, report.kinds);
    update.relay = sender.relay.port != 0 ? core::to_string(sender.relay) : "";
    m_peers.send(from, update);
}

void entry::plan_tree(const std::string& service, key_service& runner) {
    auto& reporters = m_known[service].reporters;
    std::vector<core::direct_reporter> places;
    for (const auto& [name, r] : reporters) {
        places.push_back(r.place);
    }
    const auto plan =
        runner.leads() ? core::plan_relays(std::move(places)) : std::map<std::string, std::string>();
    for (auto& [name, r] : reporters) {
        const auto found = plan.find(name);
        r.relay = found == plan.end() ? core::endpoint{} : reporters.at(found->second).at;
    }
}

// Updates

peer_update entry::update_for(const std::string& service, const table_version& table,
                              const std::map<std::string, std::uint64_t>& kinds) const {
    peer_update out;
    out.service = service;
    const auto& known = m_known.at(service);
    const auto& runner = m_key_services.at(service);
    if (runner->leads()) {
        runner->describe(out);
        out.instances = instances_of(service);
    } else {
        out.tenure_revision = known.tenure_revision;
        out.admit_permille = known.admit_permille;
        out.instances = m_state.instances();
        out.coordinator_at = core::to_string(known.coordinator_at);
        const auto age =
            known.coordinator_heard == core::never
                ? coordinator_lost
                : std::chrono::duration_cast<core::milliseconds>(now() - known.coordinator_heard);
        out.coordinator_age_ms = static_cast<std::uint32_t>(age.count());
    }
    known.tables.describe(out, table);
    if (carries_feed(service)) {
        out.feed = feed_since(kinds);
    }
    return out;
}

void entry::push_soon(const std::string& service) {
    auto& known = m_known[service];
    if (known.push_armed || known.reporters.empty()) {
        return;
    }
    known.push_armed = true;
    m_timers.at(now() + push_delay, [this, service] {
        m_known[service].push_armed = false;
        push(service);
    });
}

void entry::push(const std::string& service) {
    if (!m_key_services.contains(service)) {
        return;
    }
    auto& known = m_known[service];
    known.pushed_at = now();
    // Most reporters have the same versions.
    std::map<std::pair<table_version, std::map<std::string, std::uint64_t>>, peer_update> made;
    for (const auto& [name, r] : known.reporters) {
        auto found = made.find({r.known, r.kinds});
        if (found == made.end()) {
            found = made.emplace(std::pair(r.known, r.kinds), update_for(service, r.known, r.kinds)).first;
        }
        found->second.relay = r.relay.port != 0 ? core::to_string(r.relay) : "";
        m_peers.send(r.at, found->second);
    }
}

void entry::updated(const peer_update& update, const core::endpoint& from) {
    auto& known = m_known[update.service];
    const auto runner = m_key_services.find(update.service);
    if (update.resigned) {
        known.coordinator_heard = core::never;
        if (runner != m_key_services.end()) {
            runner->second->holder_resigned();
        }
        return;
    }
    take_feed(update.feed);
    const bool from_relay = !update.coordinator_at.empty();
    if (from_relay && from == known.relay) {
        known.relay_heard = now();
    }
    if (update.version < known.tables.version()) {
        return; // Of a coordinator that has been replaced.
    }
    const core::milliseconds age{update.coordinator_age_ms};
    const auto coordinator_heard = now() - age;
    known.heard = now();
    if (known.coordinator_heard == core::never || coordinator_heard >= known.coordinator_heard) {
        known.coordinator_heard = coordinator_heard;
        if (!from_relay) {
            known.coordinator_at = from;
        } else if (const auto at = core::parse_endpoint(update.coordinator_at)) {
            known.coordinator_at = *at;
        }
    }
    if (!update.relay.empty() && known.reporters.empty()) {
        if (const auto at = core::parse_endpoint(update.relay); at && *at != known.relay) {
            known.relay = *at;
            known.relay_heard = now();
        }
    }
    m_state.set_instances(update.instances);
    known.tenure_revision = std::max(known.tenure_revision, update.tenure_revision);
    if (runner != m_key_services.end() && age < coordinator_lost) {
        runner->second->heard(update.tenure_revision);
    }
    take_limits(update.service, update.admit_permille);
    const auto before = known.tables.version();
    const auto fault = known.tables.take(update, !known.reporters.empty());
    if (!fault.empty()) {
        telemetry::log(event::key_table_unusable, {{"service", update.service}, {"reason", fault}});
    } else if (before < known.tables.version()) {
        table_changed(update.service);
    } else if (!known.reporters.empty() && older(known.pushed_at, push_pause)) {
        push(update.service);
    }
}

} // namespace balsampost::entry
