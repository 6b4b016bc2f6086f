// The lease and the coordinator of a cell: writes to the store, promises between holder and standby, and
// commits of tables.
#include "cell_runner.h"

#include "balsampost/telemetry/log.h"

#include <algorithm>

namespace balsampost::daemon {

using net::awaitable;
using net::now;
using telemetry::event;

namespace {

/// Interval at which the core is polled for its next action.
constexpr core::milliseconds tick_interval{20};
/// The same while this instance has no role in the cell.
constexpr core::milliseconds idle_tick_interval{100};
/// Timeout of store operations. A write without an answer by then is unresolved, and the object is read back.
constexpr core::milliseconds store_timeout{4000};
/// A table write that takes longer counts as a store outage: a table that the standby has acknowledged is
/// then committed without the store.
constexpr core::milliseconds slow_store_threshold{100};
/// Delay after a lease write that failed other than by a conflict.
constexpr core::milliseconds write_retry_delay{100};
/// Shortest interval between periodic reads of the lease object.
constexpr core::milliseconds lease_poll_interval{400};
/// Longest wait before checking again whether the store lacks a table.
constexpr core::milliseconds table_check_interval{200};
/// Delay after a table write that failed.
constexpr core::milliseconds table_retry_delay{50};

} // namespace

cell_runner::cell_runner(cell_dependencies dependencies, core::cell_id id, core::service config,
                         core::profile timing)
    : m_deps(std::move(dependencies)), m_id(std::move(id)), m_config(std::move(config)),
      m_timing(std::move(timing)), m_lease(m_deps.self, core::pair_timing_of(m_timing)),
      m_coordinator(m_id, m_deps.self, m_timing), m_home(m_id, m_deps.self, m_timing),
      m_newest_table(core::empty_table(m_id.index, m_config.slices, m_config.cells)) {}

void cell_runner::start() {
    net::spawn(m_deps.context, run_lease());
    net::spawn(m_deps.context, run_promises());
    net::spawn(m_deps.context, run_coordinator());
    net::spawn(m_deps.context, run_heartbeats());
    net::spawn(m_deps.context, store_tables());
    net::spawn(m_deps.context, run_home());
}

std::string cell_runner::lease_name() const {
    return "cells/" + core::to_string(m_id) + "/lease";
}

std::string cell_runner::table_name() const {
    return "cells/" + core::to_string(m_id) + "/table";
}

bool cell_runner::in_authority() const {
    return m_lease.in_authority(now());
}

bool cell_runner::is_gone(const core::instance_id& id) const {
    if (id.empty()) {
        return true;
    }
    const auto& view = m_deps.view();
    const auto restarted = std::any_of(view.instances.begin(), view.instances.end(), [&](const auto& entry) {
        return entry.first.name == id.name && entry.first.incarnation > id.incarnation;
    });
    const bool list_is_current = view.members->version >= m_lease.known().members_version;
    return restarted || (list_is_current && view.members->find_instance(id.name) == nullptr);
}

std::vector<core::instance_id> cell_runner::candidates() const {
    const auto& view = m_deps.view();
    const auto& known = m_lease.known();
    std::vector<core::instance_id> ranking;
    std::string holder_failure_domain;
    for (const auto& [id, announced] : view.instances) {
        if (id == known.holder) {
            holder_failure_domain = announced.failure_domain;
        }
    }
    for (const auto& [id, announced] : view.instances) {
        const auto* record = view.members->find_instance(id.name);
        const bool eligible =
            record != nullptr && record->state == core::member_state::live && !announced.leaving;
        const bool reachable = id == m_deps.self || !m_deps.is_suspected(id.name);
        if (eligible && reachable) {
            ranking.push_back(id);
        }
    }
    // Instances outside the holder's failure domain come first.
    const auto rank = [&](const core::instance_id& id) {
        const bool same_domain = view.instances.at(id).failure_domain == holder_failure_domain;
        return std::pair(same_domain ? 1 : 0, ~core::rendezvous_rank(core::to_string(m_id), id.name));
    };
    std::sort(ranking.begin(), ranking.end(),
              [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    return ranking;
}

core::pair_view cell_runner::pair_view_now() const {
    const auto& known = m_lease.known();
    core::pair_view view;
    view.resigning = m_deps.leaving() && (ready_to_resign() || !m_lease.is_holder());
    view.holder_removed = known.version != 0 && is_gone(known.holder);
    view.standby_removed = known.version != 0 && is_gone(known.standby);
    for (const auto& id : candidates()) {
        const bool in_pair = id == known.holder || id == known.standby;
        if (id == m_deps.self || in_pair) {
            view.first_candidate = view.first_candidate || (id == m_deps.self && view.next_standby.empty());
            continue;
        }
        if (view.next_standby.empty()) {
            view.next_standby = id;
        }
    }
    view.first_candidate = view.first_candidate && m_lease_known;
    return view;
}

bool cell_runner::should_read_lease(core::time_point t) const {
    if (t - m_lease_read < lease_poll_interval && m_lease_read != core::never) {
        return false;
    }
    if (m_lease.is_holder()) {
        return m_lease.has_unresolved_write() || (m_deps.leaving() && !m_lease.in_authority(t));
    }
    if (m_lease.is_standby()) {
        return false;
    }
    const auto ranking = candidates();
    const bool ranked_high =
        !ranking.empty() && (ranking[0] == m_deps.self || (ranking.size() > 1 && ranking[1] == m_deps.self));
    const bool pair_alive = !m_newest_table.holder.empty() &&
                            (!is_gone(m_newest_table.holder) || !is_gone(m_newest_table.standby));
    const bool solo = m_lease.known().version != 0 && m_lease.known().solo();
    return ranked_high && (!pair_alive || solo || !m_lease_known);
}

awaitable<void> cell_runner::read_lease() {
    m_lease_read = now();
    const auto read = co_await m_deps.store.read(lease_name(), store_timeout);
    if (!read) {
        co_return;
    }
    m_lease_known = true;
    if (read->version == 0) {
        co_return;
    }
    auto object = net::unpack_message<core::lease_object>(read->value);
    if (object) {
        object->version = read->version;
        m_lease.observe(*object, now());
    }
}

awaitable<void> cell_runner::write_lease(core::lease_object value) {
    const auto based_on = m_lease.known().version;
    const bool takeover = !m_lease.is_holder();
    const bool first_attempt = value.write_id == 0;
    if (first_attempt) {
        value.write_id = m_deps.next_write_id();
        value.members_version = m_deps.view().members->version;
        m_lease.sent(value, now());
    }
    if (takeover && first_attempt) {
        telemetry::log(event::takeover_attempted,
                       {{"cell", core::to_string(m_id)}, {"term", std::to_string(value.term)}});
    }
    const auto written =
        co_await m_deps.store.write(lease_name(), net::pack_message(value), based_on, store_timeout);
    if (written) {
        value.version = *written;
        m_lease.observe(value, now());
        co_return;
    }
    if (written.error().code == core::error_code::conflict ||
        written.error().code == core::error_code::unavailable) {
        // This attempt was not written. After a conflict the store holds a newer version of the object, which
        // the read below returns. An earlier attempt at the same write may still take effect, but not after a
        // conflict, since it was conditional on the older version.
        const bool cannot_take_effect = first_attempt || written.error().code == core::error_code::conflict;
        if (cannot_take_effect) {
            m_lease.discard_write(value.write_id);
        }
    }
    co_await read_lease();
    if (written.error().code != core::error_code::conflict) {
        co_await net::wait_for(write_retry_delay);
    }
}

awaitable<void> cell_runner::run_lease() {
    auto holder = m_lease.known();
    while (!m_retired) {
        if (should_read_lease(now())) {
            co_await read_lease();
        }
        const auto next = m_lease.next_write(pair_view_now(), now());
        if (next && (m_lease_known || m_lease.known().version != 0)) {
            co_await write_lease(*next);
            m_coordinator_wakeup.notify_all();
        }
        if (m_lease.is_holder() && m_lease.known().standby != holder.standby) {
            telemetry::log(event::standby_changed,
                           {{"cell", core::to_string(m_id)}, {"standby", m_lease.known().standby.name}});
        }
        holder = m_lease.known();
        const bool in_pair = m_lease.is_holder() || m_lease.is_standby();
        co_await net::wait_for(in_pair ? tick_interval : idle_tick_interval);
    }
}

awaitable<void> cell_runner::request_promise(core::instance_id standby) {
    const auto& view = m_deps.view();
    const auto it = view.instances.find(standby);
    if (it == view.instances.end()) {
        co_return;
    }
    if (m_standby_ack_instance != standby && m_lease.known().standby == standby) {
        m_standby_ack_instance = standby;
        m_standby_ack_version = {};
    }
    net::promise_request request;
    request.cell = m_id;
    request.lease = m_lease.known();
    const auto& newest = m_coordinator.proposal() ? *m_coordinator.proposal() : m_coordinator.table();
    const bool is_standby = m_lease.known().standby == standby;
    request.with_table = m_coordinator.active() && (!is_standby || m_standby_ack_version < newest.version);
    if (request.with_table) {
        request.table = newest;
    }
    const auto sent = now();
    net::frame frame{net::frame_type::promise_request, 0, net::pack_message(request)};
    const auto reply =
        co_await m_deps.links.call(it->second.peer(), std::move(frame), sent + m_timing.suspect_timeout);
    m_deps.report_reachability(standby.name, reply.has_value());
    if (!reply || reply->type != net::frame_type::promise_answer) {
        co_return;
    }
    const auto answer = net::unpack_message<net::promise_answer>(reply->payload);
    if (!answer || !answer->promised) {
        // Read the lease object soon, as another instance may have taken over.
        m_lease_read = std::min(m_lease_read, now() - lease_poll_interval / 2);
        if (answer && m_lease.is_holder()) {
            co_await read_lease();
        }
        co_return;
    }
    if (is_standby && m_standby_ack_instance == standby) {
        m_standby_ack_version = std::max(m_standby_ack_version, answer->held);
    }
    // A standby that lacks the committed table could not take over from it, so its promise does not count
    // yet.
    const bool has_table = !m_coordinator.active() || answer->held >= m_coordinator.table().version;
    if (has_table) {
        m_lease.promised(standby, sent);
    }
    try_commit();
}

awaitable<void> cell_runner::run_promises() {
    while (!m_retired) {
        if (m_lease.is_holder()) {
            const auto standby = m_lease.known().standby;
            const auto next = pair_view_now().next_standby;
            if (!standby.empty() && !ready_to_resign()) {
                net::spawn(m_deps.context, request_promise(standby));
            }
            const bool promise_uncertain =
                standby.empty() || now() >= m_lease.promise_expiry(standby) - m_timing.renew_interval;
            if (!next.empty() && next != standby && promise_uncertain &&
                !(ready_to_resign() && !standby.empty())) {
                net::spawn(m_deps.context, request_promise(next));
            }
        }
        co_await net::wait_for(m_timing.renew_interval);
    }
}

bool cell_runner::ready_to_resign() const {
    const auto& standby = m_lease.known().standby;
    // Authority is kept while this instance still is the home of servers, or the standby lacks the current
    // table.
    return m_deps.leaving() && !m_home.is_home() && !standby.empty() && m_standby_ack_instance == standby &&
           m_standby_ack_version >= m_coordinator.table().version;
}

net::promise_answer cell_runner::on_promise_request(const net::promise_request& request) {
    net::promise_answer answer;
    m_lease.observe(request.lease, now());
    m_lease_known = true;
    const auto promise_length =
        m_deps.leaving() ? std::nullopt : m_lease.grant_promise(request.lease.holder, now());
    answer.promised = promise_length.has_value();
    if (answer.promised && request.with_table && request.table.version > m_newest_table.version) {
        m_newest_table = request.table;
    }
    answer.held = m_newest_table.version;
    return answer;
}

awaitable<void> cell_runner::begin_term() {
    const auto term = m_lease.known().term;
    const auto read = co_await m_deps.store.read(table_name(), store_timeout);
    if (!read || !in_authority() || m_lease.known().term != term) {
        co_return;
    }
    core::cell_table inherited = core::empty_table(m_id.index, m_config.slices, m_config.cells);
    if (read->version != 0) {
        auto stored = net::unpack_message<core::cell_table>(read->value);
        if (stored && stored->slices.size() == inherited.slices.size()) {
            inherited = std::move(*stored);
        }
    }
    // After a store outage, the table that this instance received as standby may be newer than the stored
    // one.
    if (m_newest_table.version > inherited.version &&
        m_newest_table.slices.size() == inherited.slices.size()) {
        inherited = m_newest_table;
    }
    m_stored_object_version = read->version;
    m_stored_known = true;
    m_stored_table_version = {};
    m_coordinator.begin(inherited, term, now());
    m_table_wakeup.notify_all();
}

awaitable<void> cell_runner::run_coordinator() {
    while (!m_retired) {
        if (in_authority()) {
            if (!m_coordinator.active()) {
                co_await begin_term();
            }
            tick_coordinator();
        } else if (m_coordinator.active() && !m_lease.is_holder()) {
            // A coordinator without authority stays active while the lease object names this instance as
            // holder: it may regain authority, and grants nothing until then.
            m_coordinator.end();
            telemetry::log(event::authority_lost, {{"cell", core::to_string(m_id)}});
        }
        const auto interval = m_lease.is_holder() ? tick_interval : idle_tick_interval;
        co_await m_coordinator_wakeup.wait_until(now() + interval);
    }
    m_coordinator.end();
}

awaitable<void> cell_runner::run_home() {
    while (!m_retired) {
        tick_home();
        co_await net::wait_for(m_home.is_home() ? tick_interval : idle_tick_interval);
    }
}

void cell_runner::tick_coordinator() {
    if (!m_coordinator.active()) {
        return;
    }
    const bool had_proposal = m_coordinator.proposal().has_value();
    if (m_coordinator.propose(cell_view_now(), now()) && !had_proposal) {
        m_table_wakeup.notify_all();
        if (!m_lease.known().solo()) {
            net::spawn(m_deps.context, request_promise(m_lease.known().standby));
        }
    }
    try_commit();
}

void cell_runner::try_commit() {
    const auto& proposal = m_coordinator.proposal();
    if (!m_coordinator.active() || !proposal || !in_authority()) {
        return;
    }
    const auto version = proposal->version;
    const bool stored = m_stored_known && m_stored_table_version == version;
    const bool first_of_term = version.sequence == 1;
    const bool store_slow = m_store_failing || (m_store_write_started != core::never &&
                                                now() - m_store_write_started > slow_store_threshold);
    const bool held_by_standby = !first_of_term && !m_lease.known().solo() &&
                                 m_standby_ack_instance == m_lease.known().standby &&
                                 m_standby_ack_version >= version && store_slow;
    if (!stored && !held_by_standby) {
        return;
    }
    m_coordinator.committed(version);
    m_newest_table = m_coordinator.table();
    m_newest_table.standby = m_lease.known().standby;
    if (first_of_term) {
        telemetry::log(event::authority_taken,
                       {{"cell", core::to_string(m_id)}, {"term", std::to_string(version.term)}});
    }
    telemetry::log(stored ? event::table_in_force : event::table_held_by_standby,
                   {{"cell", core::to_string(m_id)}, {"version", core::to_string(version)}});
    m_deps.publish_table(m_id, m_newest_table);
    std::set<core::instance_id> homes;
    for (const auto& row : m_newest_table.servers) {
        homes.insert(row.home);
    }
    for (const auto& home : homes) {
        if (home != m_deps.self && !home.empty()) {
            m_deps.send_table(m_id, m_newest_table, home);
        }
    }
}

awaitable<bool> cell_runner::store_table(core::cell_table table) {
    const auto version = table.version;
    m_store_write_started = now();
    const auto written = co_await m_deps.store.write(table_name(), net::pack_message(table),
                                                     m_stored_object_version, store_timeout);
    m_store_write_started = core::never;
    if (written) {
        m_stored_object_version = *written;
        m_stored_table_version = version;
        m_store_failing = false;
        co_return true;
    }
    m_store_failing = true;
    if (written.error().code == core::error_code::unavailable) {
        co_return false;
    }
    // The write may have taken effect, may still take effect, or may have lost to another one. Read the
    // object back to find out.
    const auto read = co_await m_deps.store.read(table_name(), store_timeout);
    if (read) {
        const auto found = net::unpack_message<core::cell_table>(read->value);
        const bool own_term = found && found->version.term == version.term;
        if (read->version == 0 || own_term || (found && found->version < version)) {
            m_stored_object_version = read->version;
            m_stored_table_version = found ? found->version : core::epoch{};
        } else {
            // The store has a table of a later term, so another instance has taken over.
            co_await read_lease();
        }
        m_store_failing = m_stored_table_version != version;
    }
    co_return m_stored_table_version == version;
}

awaitable<void> cell_runner::store_tables() {
    while (!m_retired) {
        const bool store_behind =
            m_coordinator.active() && m_stored_known &&
            (m_coordinator.proposal() || m_stored_table_version < m_coordinator.table().version);
        if (!store_behind) {
            co_await m_table_wakeup.wait_until(now() + table_check_interval);
            continue;
        }
        auto table = m_coordinator.proposal() ? *m_coordinator.proposal() : m_coordinator.table();
        const bool up_to_date = co_await store_table(std::move(table));
        try_commit();
        m_coordinator_wakeup.notify_all();
        if (!up_to_date) {
            co_await net::wait_for(table_retry_delay);
        }
    }
}

core::cell_view cell_runner::cell_view_now() const {
    const auto& view = m_deps.view();
    core::cell_view out;
    for (const auto& [id, announced] : view.instances) {
        const auto* record = view.members->find_instance(id.name);
        if (record != nullptr) {
            const bool leaving = announced.leaving || record->state == core::member_state::leaving;
            out.homes.push_back({id, announced.region, announced.failure_domain, leaving});
        }
    }
    for (const auto& server : view.members->servers) {
        const bool of_cell = m_config.cells <= 1 || core::hash_of(server.name) % m_config.cells == m_id.index;
        if (server.service == m_id.service && of_cell) {
            out.servers.push_back(server);
        }
    }
    const auto& placement = view.objects->placements.at(m_config.placement_name);
    out.regions = placement.regions;
    out.limits.max_share_percent = placement.max_share_percent;
    out.divided_by_key = m_config.divided_by_key;
    out.slots = m_config.slots;
    out.standby = m_lease.known().standby;
    return out;
}

core::home_reply cell_runner::on_heartbeat(const core::home_heartbeat& heartbeat) {
    auto reply = m_coordinator.on_heartbeat(heartbeat, m_lease.authority_until(), now());
    if (!reply.authoritative) {
        reply.coordinator_hint = m_lease.known().holder;
    } else if (heartbeat.table_version < m_coordinator.table().version) {
        m_deps.send_table(m_id, m_newest_table, heartbeat.home);
    }
    const bool has_release = std::any_of(heartbeat.servers.begin(), heartbeat.servers.end(),
                                         [](const auto& r) { return r.relinquished || !r.released.empty(); });
    if (has_release) {
        m_coordinator_wakeup.notify_all();
    }
    return reply;
}

std::string cell_runner::request_move(std::uint32_t slice, const std::string& to) {
    if (!in_authority()) {
        return "this instance does not coordinate cell " + core::to_string(m_id);
    }
    return m_coordinator.request_move(slice, to);
}

void cell_runner::learn_table(const core::cell_table& table) {
    if (table.version > m_newest_table.version && !m_coordinator.active()) {
        m_newest_table = table;
    }
    m_home.learn_table(table, now());
    start_order_loops();
    publish_homes();
    m_heartbeat_wakeup.notify_all();
}

void cell_runner::leave() {
    m_home.leave();
    m_heartbeat_wakeup.notify_all();
}

bool cell_runner::has_duties() const {
    return m_home.is_home() || m_lease.is_holder();
}

} // namespace balsampost::daemon
