// Reports and updates between instances: the coordinator, its relays, and the instances that report to them.
// Every instance runs the same code; one that has reporters forwards its data to them, along with the data's
// age.
#include "balsampost/entry/entry.h"

#include "balsampost/entry/event_loop.h"
#include "balsampost/telemetry/log.h"

#include <algorithm>

namespace balsampost::entry {

using telemetry::event;

namespace {

constexpr core::milliseconds report_interval{250}; // An overloaded key must be detected within a second.
// The report interval grows with the fleet, so that the coordinator receives about this many reports per
// second.
constexpr std::uint32_t reports_per_second = 80;
constexpr core::milliseconds max_report_interval{800};
constexpr core::milliseconds member_report_interval{500}; // Of an instance that reports to a relay.
// Merges changes into one update: moves of one plan complete close together, as do changes in the store.
constexpr core::milliseconds push_delay{25};
// A relay sends its members an update at least at this interval, so that their data is not older than its own
// for longer.
constexpr core::milliseconds push_interval{400};
constexpr core::milliseconds reporter_timeout{2'500};
// Of a reporter that was asked to report to a relay.
constexpr core::milliseconds moved_reporter_timeout{700};
// Without updates for this long, an instance takes the coordinator's address from the tenure, and reads the
// table from the store.
constexpr core::milliseconds updates_timeout{1'200};
// After the loss of its relay, an instance reports to the coordinator for this time.
constexpr core::milliseconds relay_avoid_time{10'000};
// A relay without an update from the coordinator for this long is treated as lost. It is longer than the time
// in which a failed coordinator is replaced.
constexpr core::milliseconds coordinator_timeout{5'000};
// Doubled while the store does not answer, up to the maximum.
constexpr core::milliseconds initial_table_read_delay{600};
constexpr core::milliseconds max_table_read_delay{2'400};
constexpr std::size_t max_report_leaving = 64;
constexpr std::size_t max_report_keys = 256; // In the report of one instance.
// In the merged report of a relay; more do not fit into a datagram.
constexpr std::size_t max_merged_keys = 2'000;

bool older_than(core::time_point t, core::milliseconds age) {
    return t == core::never || now() - t > age;
}

} // namespace

// Tables

void entry::table_changed(const std::string& service) {
    const auto& view = m_service_views[service];
    const auto& table = *view.tables.table();
    telemetry::log(event::key_table_in_force, {{"service", service},
                                               {"revision", to_string(view.tables.version().revision)},
                                               {"settled", std::to_string(view.tables.version().settled)},
                                               {"term", std::to_string(table.term)},
                                               {"last_fence", std::to_string(table.last_fence)},
                                               {"coordinator", table.coordinator},
                                               {"runs", std::to_string(table.ranges.size())}});
    m_state.set_table(service, view.tables.table());
    if (const auto runner = m_key_services.find(service); runner != m_key_services.end()) {
        runner->second->table_seen();
    }
    log_emptied_domains(service);
    push_soon(service);
}

void entry::read_table(const std::string& service) {
    m_service_views[service].table_read_at = now();
    m_platform->store().read(key_table_kind, service, false, [this, service](const auto& answer) {
        auto& delay = m_service_views[service].table_read_delay;
        delay = answer ? initial_table_read_delay : std::min(2 * delay, max_table_read_delay);
        if (!answer || !*answer) {
            return; // There is no table yet, or the store failed, which the watches log.
        }
        auto table = core::key_table_from_json((*answer)->value);
        if (!table) {
            telemetry::log(event::key_table_unusable,
                           {{"service", service}, {"reason", table.error().message}});
            return;
        }
        auto& view = m_service_views[service];
        // A table of a copy keeps its epoch: the one that a live coordinator holds goes before it.
        const auto& read_at = (*answer)->revision;
        const core::store::revision revision(table->epoch.value_or(read_at.epoch()), read_at.number());
        if (view.tables.put({revision, 0}, std::move(*table), !view.reporters.empty())) {
            table_changed(service);
        }
    });
}

void entry::apply_limits(const std::string& service,
                         const std::vector<std::pair<std::string, std::uint32_t>>& admit_permille) {
    m_service_views[service].admit_permille = admit_permille;
    if (auto* state = m_state.find(service)) {
        state->admitted_fractions.clear();
        for (const auto& [server, permille] : admit_permille) {
            state->admitted_fractions[server] = permille / 1000.0;
        }
        state->admitted_fractions_until = now() + updates_timeout;
    }
}

// Reports

core::key_report entry::load_report_of(const std::string& name, service_state& service) {
    core::key_report report;
    report.service = name;
    service.keys.take(report, max_report_keys);
    auto& reported_at = m_service_views[name].reported_at;
    const auto since = std::exchange(reported_at, now());
    if (since != core::never) {
        report.covered_ms = static_cast<std::uint32_t>(
            std::chrono::duration_cast<core::milliseconds>(reported_at - since).count());
    }
    for (const auto& sample : service.pool.take_samples()) {
        report.service_ms.emplace_back(sample.server, sample.answers,
                                       static_cast<std::uint32_t>(sample.total_ms));
    }
    report.unreachable.assign(service.unreachable.begin(), service.unreachable.end());
    service.unreachable.clear();
    std::size_t paused = 0;
    std::size_t leaving = 0;
    for (const auto& [id, b] : m_state.directory().entries()) {
        if (m_state.notices().size() == 0) {
            break;
        }
        paused += m_state.notices().paused(b.self, now()) ? 1 : 0;
        if (m_state.notices().leaving_since(b.self) == core::never) {
            continue;
        }
        ++leaving;
        if (b.service == name && !b.draining && report.leaving.size() < max_report_leaving) {
            report.leaving.emplace_back(b.self.id, b.self.started_ms);
        }
    }
    m_metrics.server_notices(leaving, paused);
    return report;
}

std::uint32_t entry::subtree_size(const std::string& service) const {
    const auto found = m_service_views.find(service);
    std::uint32_t out = 1;
    if (found != m_service_views.end()) {
        for (const auto& [name, r] : found->second.reporters) {
            out += 1 + r.position.members;
        }
    }
    return out;
}

core::endpoint entry::report_target(const std::string& service, const key_service& runner) {
    auto& view = m_service_views[service];
    if (view.relay.port != 0) {
        if (!older_than(view.relay_updated_at, updates_timeout) &&
            !older_than(view.coordinator_updated_at, coordinator_timeout)) {
            return view.relay;
        }
        telemetry::log(event::relay_lost, {{"service", service}, {"relay", core::to_string(view.relay)}});
        view.relay = {};
        view.relay_avoided_until = now() + relay_avoid_time;
    }
    return view.coordinator_at.port != 0 && !older_than(view.coordinator_updated_at, updates_timeout)
               ? view.coordinator_at
               : runner.holder_at();
}

void entry::report_load(const std::string& name, key_service& runner) {
    auto* service = m_state.find(name);
    if (service == nullptr || !service->keyed) {
        return;
    }
    auto& view = m_service_views[name];
    std::erase_if(view.reporters, [](const auto& r) {
        return older_than(r.second.last_report_at,
                          r.second.relay.port != 0 ? moved_reporter_timeout : reporter_timeout);
    });
    auto report = load_report_of(name, *service);
    if (runner.leads()) {
        runner.report(report);
        m_state.set_instances(subtree_size(name));
        plan_tree(name, runner);
        peer_update own;
        runner.fill(own);
        apply_limits(name, own.admit_permille);
        return;
    }
    view.reports.take(report, max_merged_keys);
    auto out = versions_report(name);
    out.keys = std::move(report);
    m_peers.send(report_target(name, runner), out);
    if (!view.reporters.empty() && older_than(view.pushed_at, push_interval)) {
        push(name);
    }
    const bool missing = older_than(view.last_update_at, updates_timeout) ||
                         older_than(view.coordinator_updated_at, coordinator_timeout);
    if (missing && older_than(view.table_read_at, view.table_read_delay) &&
        now() - m_started > 2 * updates_timeout) {
        read_table(name);
    }
}

peer_report entry::versions_report(const std::string& service) {
    const auto& view = m_service_views[service];
    peer_report out;
    out.instance = m_settings.instance.name;
    out.keys.service = service;
    out.table = view.tables.version();
    out.revisions = known_revisions();
    out.failure_domain = m_settings.instance.failure_domain;
    out.capacity_shortage = m_settings.resources.capacity_shortage();
    out.members = subtree_size(service) - 1;
    out.lost_relay = now() < view.relay_avoided_until;
    if (carries_feed(service)) {
        out.feed = evacuations_to_report();
    }
    out.sent_ns = now().time_since_epoch().count();
    out.store_epoch = m_platform->store().epoch().number;
    return out;
}

void entry::request_update(const std::string& service) {
    const auto runner = m_key_services.find(service);
    auto& view = m_service_views[service];
    if (view.update_requested || m_stopping || runner == m_key_services.end() || runner->second->leads()) {
        return;
    }
    view.update_requested = true;
    m_timers.at(now() + push_delay, [this, service, runner = runner->second] {
        m_service_views[service].update_requested = false;
        m_peers.send(report_target(service, *runner), versions_report(service));
    });
}

void entry::report_loads() {
    if (m_stopping) {
        return;
    }
    auto interval = report_interval;
    contained("roles of the watches", [&] { update_watch_roles(); });
    contained("shares of cold servers", [&] { update_shares(); });
    for (auto& [name, runner] : m_key_services) {
        contained("report of the load", [&] { report_load(name, *runner); });
        const auto& view = m_service_views[name];
        if (view.reporters.empty() && !runner->leads()) {
            const auto fleet_interval = core::milliseconds(1000) * m_state.instances() / reports_per_second;
            interval = view.relay.port != 0
                           ? member_report_interval
                           : std::clamp(fleet_interval, report_interval, max_report_interval);
        }
    }
    m_timers.at(now() + interval, [this] { report_loads(); });
}

void entry::report_received(peer_report report, const core::endpoint& from) {
    const auto service = report.keys.service;
    const auto runner = m_key_services.find(service);
    if (runner == m_key_services.end() || m_stopping) {
        return;
    }
    m_platform->store().heard({report.store_epoch});
    auto& view = m_service_views[service];
    const bool leads = runner->second->leads();
    if (!leads && view.relay.port != 0) {
        // An instance with reporters of its own reports directly to the coordinator.
        view.relay = {};
    }
    auto& sender = view.reporters[report.instance];
    sender.address = from;
    sender.last_report_at = now();
    sender.table = report.table;
    sender.revisions = report.revisions;
    sender.sent_ns = report.sent_ns;
    sender.position = {report.instance, report.failure_domain, report.capacity_shortage, report.members,
                       report.lost_relay};
    if (!sender.credit.accept(report.keys, now())) {
        telemetry::log(event::report_late,
                       {{"from", report.instance}, {"covered_ms", std::to_string(report.keys.covered_ms)}});
        report.keys.drop_counts();
    }
    apply_reported_evacuations(report.feed);
    if (leads) {
        runner->second->report(report.keys);
    } else {
        view.reports.add(report.keys);
        if (report.table >= view.tables.version() && !older_than(view.pushed_at, push_interval)) {
            return; // The sender is up to date.
        }
    }
    m_updates.request({service, report.instance});
    send_updates();
}

void entry::plan_tree(const std::string& service, key_service& runner) {
    auto& reporters = m_service_views[service].reporters;
    std::vector<core::direct_reporter> direct_reporters;
    for (const auto& [name, r] : reporters) {
        direct_reporters.push_back(r.position);
    }
    const auto plan = runner.leads() ? core::plan_relays(std::move(direct_reporters))
                                     : std::map<std::string, std::string>();
    for (auto& [name, r] : reporters) {
        const auto found = plan.find(name);
        r.relay = found == plan.end() ? core::endpoint{} : reporters.at(found->second).address;
    }
}

// Updates

peer_update entry::update_for(const std::string& service, const table_version& known,
                              const std::map<std::string, core::store::revision>& revisions) const {
    peer_update out;
    out.service = service;
    const auto& view = m_service_views.at(service);
    const auto& runner = m_key_services.at(service);
    if (runner->leads()) {
        runner->fill(out);
        out.instances = subtree_size(service);
    } else {
        out.tenure_revision = view.tenure_revision;
        out.admit_permille = view.admit_permille;
        out.instances = m_state.instances();
        out.coordinator_at = core::to_string(view.coordinator_at);
        const auto age =
            view.coordinator_updated_at == core::never
                ? coordinator_timeout
                : std::chrono::duration_cast<core::milliseconds>(now() - view.coordinator_updated_at);
        out.coordinator_age_ms = static_cast<std::uint32_t>(age.count());
    }
    view.tables.fill(out, known);
    out.store_epoch = m_platform->store().epoch().number;
    if (carries_feed(service)) {
        out.feed = feed_since(revisions);
    }
    return out;
}

void entry::push_soon(const std::string& service) {
    auto& view = m_service_views[service];
    if (view.push_scheduled || view.reporters.empty()) {
        return;
    }
    view.push_scheduled = true;
    m_timers.at(now() + push_delay, [this, service] {
        m_service_views[service].push_scheduled = false;
        push(service);
    });
}

void entry::push(const std::string& service) {
    if (!m_key_services.contains(service)) {
        return;
    }
    auto& view = m_service_views[service];
    view.pushed_at = now();
    for (const auto& [name, r] : view.reporters) {
        m_updates.request({service, name});
    }
    send_updates();
}

void entry::send_updates() {
    // Most reporters have the same versions, so each distinct update is built once.
    std::map<std::tuple<std::string, table_version, std::map<std::string, core::store::revision>>,
             peer_update>
        updates;
    while (const auto receiver = m_updates.next(now())) {
        const auto& reporters = m_service_views[receiver->service].reporters;
        const auto found = reporters.find(receiver->instance);
        if (found == reporters.end() || !m_key_services.contains(receiver->service)) {
            continue;
        }
        const auto& r = found->second;
        const auto [update, is_new] =
            updates.try_emplace({receiver->service, r.table, r.revisions}, peer_update{});
        if (is_new) {
            update->second = update_for(receiver->service, r.table, r.revisions);
        }
        update->second.relay = r.relay.port != 0 ? core::to_string(r.relay) : "";
        update->second.shares = shares_for(receiver->service, r);
        const auto bytes = m_peers.send(r.address, update->second);
        if (bytes == 0) {
            m_updates.blocked(*receiver, now());
            break;
        }
        m_updates.sent(bytes, now());
    }
    const auto due = m_updates.next_due(now());
    if (due == core::time_point::max() || (m_updates_due != core::never && m_updates_due <= due)) {
        return;
    }
    m_updates_due = due;
    m_timers.at(due, [this] {
        m_updates_due = core::never;
        contained("updates for other instances", [&] { send_updates(); });
    });
}

void entry::update_received(const peer_update& update, const core::endpoint& from) {
    auto& view = m_service_views[update.service];
    const auto runner = m_key_services.find(update.service);
    if (update.resigned) {
        view.coordinator_updated_at = core::never;
        if (runner != m_key_services.end()) {
            runner->second->holder_resigned();
        }
        return;
    }
    m_platform->store().heard({update.store_epoch});
    if (apply_feed(update.feed)) {
        request_update(update.service);
    }
    shares_received(update.shares);
    const bool from_relay = !update.coordinator_at.empty();
    if (from_relay && from == view.relay) {
        view.relay_updated_at = now();
    }
    if (update.version < view.tables.version()) {
        return; // Sent by a coordinator that has since been replaced.
    }
    const core::milliseconds age{update.coordinator_age_ms};
    const auto coordinator_updated_at = now() - age;
    view.last_update_at = now();
    if (view.coordinator_updated_at == core::never || coordinator_updated_at >= view.coordinator_updated_at) {
        view.coordinator_updated_at = coordinator_updated_at;
        if (!from_relay) {
            view.coordinator_at = from;
        } else if (const auto at = core::parse_endpoint(update.coordinator_at)) {
            view.coordinator_at = *at;
        }
    }
    if (!update.relay.empty() && view.reporters.empty()) {
        if (const auto at = core::parse_endpoint(update.relay); at && *at != view.relay) {
            view.relay = *at;
            view.relay_updated_at = now();
        }
    }
    m_state.set_instances(update.instances);
    view.tenure_revision = std::max(view.tenure_revision, update.tenure_revision);
    if (runner != m_key_services.end() && age < coordinator_timeout) {
        runner->second->tenure_seen(update.tenure_revision);
    }
    apply_limits(update.service, update.admit_permille);
    const auto before = view.tables.version();
    const auto fault = view.tables.apply(update, !view.reporters.empty());
    if (!fault.empty()) {
        telemetry::log(event::key_table_unusable, {{"service", update.service}, {"reason", fault}});
    } else if (before < view.tables.version()) {
        table_changed(update.service);
    } else if (!view.reporters.empty() && older_than(view.pushed_at, push_interval)) {
        push(update.service);
    }
}

} // namespace balsampost::entry
