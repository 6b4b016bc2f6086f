// The cell's lease and coordinator: store writes, promises and commits.
#include "cell_runner.h"

#include "balsampost/telemetry/log.h"

#include <algorithm>

namespace balsampost::daemon {

using net::awaitable;
using net::now;
using telemetry::event;

namespace {

/// Interval at which the core is asked for its next step.
constexpr core::milliseconds tick{20};
/// The same where this instance has no part in the cell's lease.
constexpr core::milliseconds idle_tick{100};
/// A store write not answered by then is unresolved and read back.
constexpr core::milliseconds store_time{4000};
/// A table write that takes longer counts as a store that is out, so that the standby's word suffices.
constexpr core::milliseconds store_patience{100};
/// Pause after a write that the store did not answer.
constexpr core::milliseconds write_pause{100};
/// Interval between looks at a lease object that nobody is heard of.
constexpr core::milliseconds lease_poll{400};

} // namespace

cell_runner::cell_runner(cell_surroundings around, core::cell_id id, core::service config,
                         core::profile timing)
    : m_around(std::move(around)), m_id(std::move(id)), m_config(std::move(config)),
      m_timing(std::move(timing)), m_lease(m_around.self, core::pair_timing_of(m_timing)),
      m_coordinator(m_id, m_around.self, m_timing), m_home(m_id, m_around.self, m_timing),
      m_copy(core::empty_table(m_id.index, m_config.slices, m_config.cells)) {}

void cell_runner::start() {
    net::spawn(m_around.context, run_lease());
    net::spawn(m_around.context, run_promises());
    net::spawn(m_around.context, run_coordinator());
    net::spawn(m_around.context, run_heartbeats());
    net::spawn(m_around.context, store_tables());
    net::spawn(m_around.context, run_home());
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

bool cell_runner::gone(const core::instance_id& id) const {
    if (id.empty()) {
        return true;
    }
    const auto& view = m_around.view();
    const auto later = std::any_of(view.instances.begin(), view.instances.end(), [&](const auto& entry) {
        return entry.first.name == id.name && entry.first.incarnation > id.incarnation;
    });
    const bool may_judge = view.members->version >= m_lease.known().members_version;
    return later || (may_judge && view.members->find_instance(id.name) == nullptr);
}

std::vector<core::instance_id> cell_runner::candidates() const {
    const auto& view = m_around.view();
    const auto& known = m_lease.known();
    std::vector<core::instance_id> order;
    std::string holder_domain;
    for (const auto& [id, said] : view.instances) {
        if (id == known.holder) {
            holder_domain = said.failure_domain;
        }
    }
    for (const auto& [id, said] : view.instances) {
        const auto* listed = view.members->find_instance(id.name);
        const bool usable = listed != nullptr && listed->state == core::member_state::live && !said.leaving;
        const bool reachable = id == m_around.self || !m_around.suspected(id.name);
        if (usable && reachable) {
            order.push_back(id);
        }
    }
    const auto rank = [&](const core::instance_id& id) {
        const bool same_domain = view.instances.at(id).failure_domain == holder_domain;
        return std::pair(same_domain ? 1 : 0, ~core::rendezvous_rank(core::to_string(m_id), id.name));
    };
    std::sort(order.begin(), order.end(), [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    return order;
}

core::pair_view cell_runner::pair_view_now() const {
    const auto& known = m_lease.known();
    core::pair_view view;
    view.resigning = m_around.leaving() && (resigned() || !m_lease.is_holder());
    view.holder_removed = known.version != 0 && gone(known.holder);
    view.standby_removed = known.version != 0 && gone(known.standby);
    for (const auto& id : candidates()) {
        const bool in_pair = id == known.holder || id == known.standby;
        if (id == m_around.self || in_pair) {
            view.first_candidate = view.first_candidate || (id == m_around.self && view.next_standby.empty());
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
    if (t - m_lease_read < lease_poll && m_lease_read != core::never) {
        return false;
    }
    if (m_lease.is_holder()) {
        return m_lease.has_unresolved_write() || (m_around.leaving() && !m_lease.in_authority(t));
    }
    if (m_lease.is_standby()) {
        return false;
    }
    const auto order = candidates();
    const bool near_front =
        !order.empty() && (order[0] == m_around.self || (order.size() > 1 && order[1] == m_around.self));
    const bool pair_alive = !m_copy.holder.empty() && (!gone(m_copy.holder) || !gone(m_copy.standby));
    const bool solo = m_lease.known().version != 0 && m_lease.known().solo();
    return near_front && (!pair_alive || solo || !m_lease_known);
}

awaitable<void> cell_runner::read_lease() {
    m_lease_read = now();
    const auto read = co_await m_around.store.read(lease_name(), store_time);
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
    const bool first_sending = value.write_id == 0;
    if (first_sending) {
        value.write_id = m_around.unique_number();
        value.members_version = m_around.view().members->version;
        m_lease.sent(value, now());
    }
    if (takeover && first_sending) {
        telemetry::log(event::takeover_attempted,
                       {{"cell", core::to_string(m_id)}, {"term", std::to_string(value.term)}});
    }
    const auto written =
        co_await m_around.store.write(lease_name(), net::pack_message(value), based_on, store_time);
    if (written) {
        value.version = *written;
        m_lease.observe(value, now());
        co_return;
    }
    if (written.error().code == core::error_code::conflict ||
        written.error().code == core::error_code::unavailable) {
        // Certainly not written. After a conflict the object has moved on, which the read below shows.
        // An earlier sending of the same write may still be on its way, unless the version has moved on.
        const bool only_sending = first_sending || written.error().code == core::error_code::conflict;
        if (only_sending) {
            m_lease.discard_write(value.write_id);
        }
    }
    co_await read_lease();
    if (written.error().code != core::error_code::conflict) {
        co_await net::wait_for(write_pause);
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
            m_coordinate_now.notify_all();
        }
        if (m_lease.is_holder() && m_lease.known().standby != holder.standby) {
            telemetry::log(event::standby_changed,
                           {{"cell", core::to_string(m_id)}, {"standby", m_lease.known().standby.name}});
        }
        holder = m_lease.known();
        const bool part = m_lease.is_holder() || m_lease.is_standby();
        co_await net::wait_for(part ? tick : idle_tick);
    }
}

awaitable<void> cell_runner::ask_for_promise(core::instance_id standby) {
    const auto& view = m_around.view();
    const auto at = view.instances.find(standby);
    if (at == view.instances.end()) {
        co_return;
    }
    if (m_standby_asked != standby && m_lease.known().standby == standby) {
        m_standby_asked = standby;
        m_standby_holds = {};
    }
    net::promise_request request;
    request.cell = m_id;
    request.lease = m_lease.known();
    const auto& newest = m_coordinator.proposal() ? *m_coordinator.proposal() : m_coordinator.table();
    const bool is_standby = m_lease.known().standby == standby;
    request.with_table = m_coordinator.active() && (!is_standby || m_standby_holds < newest.version);
    if (request.with_table) {
        request.table = newest;
    }
    const auto sent = now();
    net::frame f{net::frame_type::promise_request, 0, net::pack_message(request)};
    const auto reply =
        co_await m_around.links.call(at->second.peer(), std::move(f), sent + m_timing.suspect_timeout);
    m_around.reached(standby.name, reply.has_value());
    if (!reply || reply->type != net::frame_type::promise_answer) {
        co_return;
    }
    const auto answer = net::unpack_message<net::promise_answer>(reply->payload);
    if (!answer || !answer->promised) {
        m_lease_read =
            std::min(m_lease_read, now() - lease_poll / 2); // Look soon: someone else may have taken over.
        if (answer && m_lease.is_holder()) {
            co_await read_lease();
        }
        co_return;
    }
    if (is_standby && m_standby_asked == standby) {
        m_standby_holds = std::max(m_standby_holds, answer->held);
    }
    // A standby without the table in force could not go on from it, so its promise does not count yet.
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
            if (!standby.empty() && !resigned()) {
                net::spawn(m_around.context, ask_for_promise(standby));
            }
            const bool doubtful =
                standby.empty() || now() >= m_lease.promise_expiry(standby) - m_timing.renew_interval;
            if (!next.empty() && next != standby && doubtful && !(resigned() && !standby.empty())) {
                net::spawn(m_around.context, ask_for_promise(next));
            }
        }
        co_await net::wait_for(m_timing.renew_interval);
    }
}

bool cell_runner::resigned() const {
    const auto& standby = m_lease.known().standby;
    // With servers still to hand over, or a standby that lacks the table, this instance goes on for a while.
    return m_around.leaving() && !m_home.is_home() && !standby.empty() && m_standby_asked == standby &&
           m_standby_holds >= m_coordinator.table().version;
}

net::promise_answer cell_runner::on_promise_request(const net::promise_request& request) {
    net::promise_answer answer;
    m_lease.observe(request.lease, now());
    m_lease_known = true;
    const auto length =
        m_around.leaving() ? std::nullopt : m_lease.grant_promise(request.lease.holder, now());
    answer.promised = length.has_value();
    if (answer.promised && request.with_table && request.table.version > m_copy.version) {
        m_copy = request.table;
    }
    answer.held = m_copy.version;
    return answer;
}

awaitable<void> cell_runner::begin_term() {
    const auto term = m_lease.known().term;
    const auto read = co_await m_around.store.read(table_name(), store_time);
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
    // What this instance held as a standby may be ahead of the store after an outage.
    if (m_copy.version > inherited.version && m_copy.slices.size() == inherited.slices.size()) {
        inherited = m_copy;
    }
    m_stored_version = read->version;
    m_stored_known = true;
    m_stored = {};
    m_coordinator.begin(inherited, term, now());
    m_table_work.notify_all();
}

awaitable<void> cell_runner::run_coordinator() {
    while (!m_retired) {
        if (in_authority()) {
            if (!m_coordinator.active()) {
                co_await begin_term();
            }
            tick_coordinator();
        } else if (m_coordinator.active() && !m_lease.is_holder()) {
            // Still named as holder, it may get its basis back; until then it gives nothing.
            m_coordinator.end();
            telemetry::log(event::authority_lost, {{"cell", core::to_string(m_id)}});
        }
        const auto pause = m_lease.is_holder() ? tick : idle_tick;
        co_await m_coordinate_now.wait_until(now() + pause);
    }
    m_coordinator.end();
}

awaitable<void> cell_runner::run_home() {
    while (!m_retired) {
        tick_home();
        co_await net::wait_for(m_home.is_home() ? tick : idle_tick);
    }
}

void cell_runner::tick_coordinator() {
    if (!m_coordinator.active()) {
        return;
    }
    const bool had = m_coordinator.proposal().has_value();
    if (m_coordinator.propose(cell_view_now(), now()) && !had) {
        m_table_work.notify_all();
        if (!m_lease.known().solo()) {
            net::spawn(m_around.context, ask_for_promise(m_lease.known().standby));
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
    const bool stored = m_stored_known && m_stored == version;
    const bool first_of_term = version.sequence == 1;
    const bool store_late =
        m_store_failing || (m_store_started != core::never && now() - m_store_started > store_patience);
    const bool held = !first_of_term && !m_lease.known().solo() &&
                      m_standby_asked == m_lease.known().standby && m_standby_holds >= version && store_late;
    if (!stored && !held) {
        return;
    }
    m_coordinator.committed(version);
    m_copy = m_coordinator.table();
    m_copy.standby = m_lease.known().standby;
    if (first_of_term) {
        telemetry::log(event::authority_taken,
                       {{"cell", core::to_string(m_id)}, {"term", std::to_string(version.term)}});
    }
    telemetry::log(stored ? event::table_in_force : event::table_held_by_standby,
                   {{"cell", core::to_string(m_id)}, {"version", core::to_string(version)}});
    m_around.publish(m_id, m_copy);
    std::set<core::instance_id> homes;
    for (const auto& row : m_copy.servers) {
        homes.insert(row.home);
    }
    for (const auto& home : homes) {
        if (home != m_around.self && !home.empty()) {
            m_around.notify(m_id, m_copy, home);
        }
    }
}

awaitable<bool> cell_runner::store_table(core::cell_table table) {
    const auto version = table.version;
    m_store_started = now();
    const auto written =
        co_await m_around.store.write(table_name(), net::pack_message(table), m_stored_version, store_time);
    m_store_started = core::never;
    if (written) {
        m_stored_version = *written;
        m_stored = version;
        m_store_failing = false;
        co_return true;
    }
    m_store_failing = true;
    if (written.error().code == core::error_code::unavailable) {
        co_return false;
    }
    // The write may have taken effect, may still do so, or lost: what is stored now tells.
    const auto read = co_await m_around.store.read(table_name(), store_time);
    if (read) {
        const auto found = net::unpack_message<core::cell_table>(read->value);
        const bool own_term = found && found->version.term == version.term;
        if (read->version == 0 || own_term || (found && found->version < version)) {
            m_stored_version = read->version;
            m_stored = found ? found->version : core::epoch{};
        } else {
            co_await read_lease(); // A later term is in the store: this instance was deposed.
        }
        m_store_failing = m_stored != version;
    }
    co_return m_stored == version;
}

awaitable<void> cell_runner::store_tables() {
    while (!m_retired) {
        const bool behind = m_coordinator.active() && m_stored_known &&
                            (m_coordinator.proposal() || m_stored < m_coordinator.table().version);
        if (!behind) {
            co_await m_table_work.wait_until(now() + core::milliseconds(200));
            continue;
        }
        auto table = m_coordinator.proposal() ? *m_coordinator.proposal() : m_coordinator.table();
        const bool done = co_await store_table(std::move(table));
        try_commit();
        m_coordinate_now.notify_all();
        if (!done) {
            co_await net::wait_for(core::milliseconds(50));
        }
    }
}

core::cell_view cell_runner::cell_view_now() const {
    const auto& view = m_around.view();
    core::cell_view out;
    for (const auto& [id, said] : view.instances) {
        const auto* listed = view.members->find_instance(id.name);
        if (listed != nullptr) {
            const bool leaving = said.leaving || listed->state == core::member_state::leaving;
            out.homes.push_back({id, said.region, said.failure_domain, leaving});
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
    return out;
}

core::home_reply cell_runner::on_heartbeat(const core::home_heartbeat& heartbeat) {
    auto reply = m_coordinator.on_heartbeat(heartbeat, m_lease.authority_until(), now());
    if (!reply.authoritative) {
        reply.coordinator_hint = m_lease.known().holder;
    } else if (heartbeat.table_version < m_coordinator.table().version) {
        m_around.notify(m_id, m_copy, heartbeat.home);
    }
    const bool news = std::any_of(heartbeat.servers.begin(), heartbeat.servers.end(),
                                  [](const auto& r) { return r.relinquished || !r.released.empty(); });
    if (news) {
        m_coordinate_now.notify_all();
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
    if (table.version > m_copy.version && !m_coordinator.active()) {
        m_copy = table;
    }
    m_home.learn_table(table, now());
    start_order_loops();
    send_homes();
    m_beat_now.notify_all();
}

void cell_runner::leave() {
    m_home.leave();
    m_beat_now.notify_all();
}

bool cell_runner::busy() const {
    return m_home.is_home() || m_lease.is_holder();
}

} // namespace balsampost::daemon
