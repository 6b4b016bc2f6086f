// Implementation of the coordinator of a cell.
#include "balsampost/core/cell_coordinator.h"

#include <algorithm>

namespace balsampost::core {

namespace {

/// Time after `begin` in which servers are given the chance to report before slices are placed without the
/// missing ones.
constexpr milliseconds startup_grace_period{1500};
/// Interval between two plans of slice moves.
constexpr milliseconds plan_interval{1000};
/// An instance that failed as a home within this time is chosen again only if no other is available.
constexpr milliseconds failed_home_backoff{5000};
/// Weight of the newest report in the exponentially smoothed load of a slice.
constexpr double load_smoothing_weight = 0.3;

duration lengthened_by_drift(duration length, std::uint32_t drift_percent) {
    return length * (100 + drift_percent) / 100;
}

} // namespace

cell_coordinator::cell_coordinator(cell_id cell, instance_id self, profile timing, coordinator_rules rules)
    : m_cell(std::move(cell)), m_self(std::move(self)), m_timing(timing), m_rules(rules) {}

const cell_table& cell_coordinator::begin(const cell_table& inherited, std::uint64_t term, time_point now) {
    m_active = true;
    m_first_table_pending = true;
    m_term_began = now;
    m_next_planning = now + startup_grace_period;
    m_homes.clear();
    m_servers.clear();
    m_released.clear();
    m_planned_moves.clear();
    m_loads.clear();
    m_table = inherited;
    m_proposal = inherited;
    m_proposal->version = {term, 1};
    m_proposal->holder = m_self;
    for (const auto& row : inherited.servers) {
        if (!row.home.empty() && m_rules.wait_predecessor) {
            // The predecessor's authority has ended, but a lease it granted may outlast that by the margin.
            home(row.home).home_lease_until =
                now + lengthened_by_drift(m_timing.lease_margin, m_timing.drift_percent);
        }
        if (!row.home.empty()) {
            home(row.home).last_heartbeat = now;
        }
    }
    return *m_proposal;
}

void cell_coordinator::end() {
    m_active = false;
    m_first_table_pending = false;
    m_proposal.reset();
}

cell_coordinator::home_state& cell_coordinator::home(const instance_id& id) {
    const auto [at, added] = m_homes.try_emplace(id);
    if (added) {
        // A home not seen before may hold a table of an earlier term and must first receive one of this term.
        at->second.required =
            m_proposal && m_first_table_pending ? m_proposal->version : epoch{m_table.version.term, 1};
    }
    return at->second;
}

void cell_coordinator::apply_report(const server_report& report, const home_heartbeat& heartbeat) {
    const auto* row = m_table.find(report.name);
    if (row == nullptr || row->home != heartbeat.home || row->home_since != report.home_since) {
        return; // The report is about an earlier assignment.
    }
    auto& state = m_servers[row->number];
    state.responsive = report.responsive;
    state.ever_responsive = state.ever_responsive || report.responsive;
    state.load_permille = report.load_permille;
    state.relinquished = report.relinquished;
    for (const auto& slice : report.released) {
        if (!m_table.holds_slice(slice.slice)) {
            continue;
        }
        const auto& owned = m_table.slice_at(slice.slice);
        if (owned.owner == row->number && owned.owned_since == slice.since) {
            m_released[slice.slice] = slice.since;
        }
    }
}

void cell_coordinator::apply_loads(const home_heartbeat& heartbeat) {
    std::map<std::uint32_t, double> reported;
    for (const auto& load : heartbeat.loads) {
        reported[load.slice] = load.requests_per_second;
    }
    // A slice of this home that is missing from the report had no requests.
    for (std::uint32_t i = 0; i < m_table.slices.size(); ++i) {
        const auto* row = m_table.find(m_table.slices[i].owner);
        if (row != nullptr && row->home == heartbeat.home) {
            const auto at = reported.find(m_table.first_slice + i);
            const double load = at == reported.end() ? 0 : at->second;
            auto& smoothed = m_loads[m_table.first_slice + i];
            smoothed += load_smoothing_weight * (load - smoothed);
        }
    }
}

home_reply cell_coordinator::on_heartbeat(const home_heartbeat& heartbeat, time_point authority_until,
                                          time_point now) {
    home_reply reply;
    if (!m_active || m_first_table_pending || now >= authority_until) {
        return reply;
    }
    auto& state = home(heartbeat.home);
    state.last_heartbeat = now;
    state.leaving = heartbeat.leaving;
    for (const auto& report : heartbeat.servers) {
        apply_report(report, heartbeat);
    }
    if (!heartbeat.loads.empty()) {
        apply_loads(heartbeat);
    }
    reply.authoritative = true;
    reply.table_version = m_rules.require_table ? state.required : epoch{};
    const duration max_length = authority_until + m_timing.lease_margin - now;
    const duration length = std::min<duration>(m_timing.lease_length, max_length);
    reply.home_lease_ns = length.count();
    state.home_lease_until =
        std::max(state.home_lease_until, now + lengthened_by_drift(length, m_timing.drift_percent));
    add_orders(reply, heartbeat.home);
    return reply;
}

void cell_coordinator::add_orders(home_reply& reply, const instance_id& home_id) const {
    for (const auto& [slice, target] : m_planned_moves) {
        const auto& owned = m_table.slice_at(slice);
        const auto* row = m_table.find(owned.owner);
        if (row != nullptr && row->home == home_id) {
            reply.release.push_back({slice, owned.owned_since});
        }
    }
    const auto at = m_homes.find(home_id);
    if (at != m_homes.end() && at->second.leaving) {
        for (const auto& row : m_table.servers) {
            if (row.home == home_id) {
                reply.relinquish.push_back(row.name);
            }
        }
    }
}

bool cell_coordinator::home_lost(const instance_id& id, time_point now) const {
    const auto at = m_homes.find(id);
    if (at == m_homes.end()) {
        return true;
    }
    const bool silent =
        at->second.last_heartbeat == never || now - at->second.last_heartbeat >= m_timing.suspect_timeout;
    const bool lease_expired = !m_rules.wait_home_lease || now >= at->second.home_lease_until;
    return silent && lease_expired;
}

bool cell_coordinator::add_servers(cell_table& next, const cell_view& view) {
    bool changed = false;
    for (const auto& server : view.servers) {
        if (server.state == member_state::live && next.find(server.name) == nullptr) {
            next.servers.push_back({next.next_number++, server.name, {}, {}, false});
            changed = true;
        }
    }
    return changed;
}

bool cell_coordinator::remove_servers(cell_table& next, const cell_view& view) {
    const auto removable = [&](const server_row& row) {
        const bool listed = std::any_of(view.servers.begin(), view.servers.end(),
                                        [&](const auto& server) { return server.name == row.name; });
        const bool owns = std::any_of(next.slices.begin(), next.slices.end(),
                                      [&](const auto& slice) { return slice.owner == row.number; });
        return !listed && !owns;
    };
    return std::erase_if(next.servers, removable) > 0;
}

const home_candidate* cell_coordinator::best_home(const cell_table& next, const cell_view& view,
                                                  const server_row& row, time_point now) const {
    const auto record = std::find_if(view.servers.begin(), view.servers.end(),
                                     [&](const auto& server) { return server.name == row.name; });
    const home_candidate* best = nullptr;
    std::tuple<int, int, std::size_t, std::uint64_t> best_score;
    for (const auto& candidate : view.homes) {
        if (candidate.leaving || candidate.id == row.home) {
            continue;
        }
        const auto failed = m_failed_homes.find(candidate.id.name);
        const bool failed_recently =
            failed != m_failed_homes.end() && now - failed->second < failed_home_backoff;
        int distance = 2;
        if (record != view.servers.end() && record->region == candidate.region) {
            distance = record->failure_domain == candidate.failure_domain ? 0 : 1;
        }
        const auto homed = static_cast<std::size_t>(std::count_if(
            next.servers.begin(), next.servers.end(), [&](const auto& r) { return r.home == candidate.id; }));
        const std::tuple score{failed_recently ? 1 : 0, distance, homed,
                               ~rendezvous_rank(row.name, candidate.id.name)};
        if (best == nullptr || score < best_score) {
            best = &candidate;
            best_score = score;
        }
    }
    return best;
}

bool cell_coordinator::choose_homes(cell_table& next, const cell_view& view, time_point now) {
    bool changed = false;
    for (auto& row : next.servers) {
        const auto server = m_servers.find(row.number);
        const bool relinquished = server != m_servers.end() && server->second.relinquished;
        const bool lost = !row.home.empty() && home_lost(row.home, now);
        if (!row.home.empty() && !relinquished && !lost) {
            continue;
        }
        if (lost) {
            m_failed_homes[row.home.name] = now;
        }
        const auto* chosen = best_home(next, view, row, now);
        if (chosen == nullptr) {
            continue;
        }
        if (lost) {
            home(row.home).required = next.version; // If it returns, it must first see that it was replaced.
        }
        const bool renewed_since = server != m_servers.end() && server->second.ever_responsive;
        row.handed_over = relinquished || (row.handed_over && !renewed_since);
        row.home = chosen->id;
        row.home_since = next.version;
        auto& state = home(chosen->id);
        state.last_heartbeat =
            std::max(state.last_heartbeat, now); // The new home has the suspect timeout to send a heartbeat.
        m_servers.erase(row.number);
        changed = true;
    }
    return changed;
}

std::vector<placement_server> cell_coordinator::placement_servers(const cell_table& table,
                                                                  const cell_view& view) const {
    std::vector<placement_server> servers;
    for (const auto& row : table.servers) {
        const auto record = std::find_if(view.servers.begin(), view.servers.end(),
                                         [&](const auto& s) { return s.name == row.name; });
        const auto state = m_servers.find(row.number);
        const bool listed = record != view.servers.end() && record->state == member_state::live;
        const bool placed = listed && std::find(view.regions.begin(), view.regions.end(), record->region) !=
                                          view.regions.end();
        const bool responsive = state != m_servers.end() && state->second.responsive;
        servers.push_back({row.number, 1.0, placed && responsive, !placed});
    }
    return servers;
}

std::vector<placement_slice> cell_coordinator::placement_slices(const cell_table& table) const {
    std::vector<placement_slice> slices;
    slices.reserve(table.slices.size());
    for (std::uint32_t i = 0; i < table.slices.size(); ++i) {
        const auto load = m_loads.find(table.first_slice + i);
        slices.push_back({table.slices[i].owner, load == m_loads.end() ? 0 : load->second});
    }
    return slices;
}

bool cell_coordinator::place_slices(cell_table& next, const cell_view& view, time_point now) {
    if (!view.divided_by_key) {
        return false;
    }
    const auto servers = placement_servers(next, view);
    const bool all_accepting =
        std::all_of(servers.begin(), servers.end(), [](const auto& s) { return s.accepts; });
    if (now < m_term_began + startup_grace_period && !all_accepting && m_released.empty()) {
        return false;
    }
    auto slices = placement_slices(next);
    for (std::uint32_t i = 0; i < slices.size(); ++i) {
        const std::uint32_t slice = next.first_slice + i;
        const auto free = m_released.find(slice);
        const bool released = free != m_released.end() && free->second == next.slices[i].owned_since;
        const bool skips_release = !m_rules.wait_release && m_planned_moves.count(slice) != 0;
        if (released || skips_release) {
            slices[i].owner = no_server;
        }
    }
    bool changed = false;
    const auto assign = [&](std::uint32_t index, server_number to) {
        next.slices[index] = {to, next.version};
        slices[index].owner = to;
        changed = true;
    };
    for (const auto& planned : m_planned_moves) {
        const auto index = planned.first - next.first_slice;
        const auto to = std::find_if(servers.begin(), servers.end(),
                                     [&](const auto& s) { return s.number == planned.second; });
        if (slices[index].owner == no_server && to != servers.end() && to->accepts) {
            assign(index, planned.second);
        }
    }
    for (const auto& move : assign_free(slices, servers, view.limits)) {
        assign(move.index, move.to);
    }
    return changed;
}

void cell_coordinator::plan_moves(const cell_view& view, time_point now) {
    if (!view.divided_by_key || now < m_next_planning || !m_planned_moves.empty()) {
        return;
    }
    m_next_planning = now + plan_interval;
    auto limits = view.limits;
    limits.max_moves = std::max(1U, m_timing.churn_per_minute / 60);
    const auto servers = placement_servers(m_table, view);
    const bool leaving = std::any_of(view.servers.begin(), view.servers.end(),
                                     [](const auto& s) { return s.state == member_state::leaving; });
    if (leaving) {
        limits.max_moves = static_cast<std::uint32_t>(m_table.slices.size());
    }
    for (const auto& move : rebalance(placement_slices(m_table), servers, limits, m_timing)) {
        m_planned_moves[m_table.first_slice + move.index] = move.to;
    }
}

const std::optional<cell_table>& cell_coordinator::propose(const cell_view& view, time_point now) {
    if (!m_active || m_proposal) {
        return m_proposal;
    }
    plan_moves(view, now);
    cell_table next = m_table;
    ++next.version.sequence;
    next.holder = m_self;
    bool changed = add_servers(next, view);
    changed = choose_homes(next, view, now) || changed;
    changed = place_slices(next, view, now) || changed;
    changed = remove_servers(next, view) || changed;
    // Homes and operators learn a new standby by the table. The loss of one can wait for the next change.
    changed = (!view.standby.empty() && view.standby != m_table.standby) || changed;
    next.standby = view.standby;
    if (changed) {
        m_proposal = std::move(next);
    }
    return m_proposal;
}

void cell_coordinator::committed(const epoch& version) {
    if (!m_active || !m_proposal || m_proposal->version != version) {
        return;
    }
    for (std::uint32_t i = 0; i < m_proposal->slices.size(); ++i) {
        const auto& row = m_proposal->slices[i];
        if (row != m_table.slices.at(i)) {
            const std::uint32_t slice = m_proposal->first_slice + i;
            m_moves_total += m_table.slices[i].owner != no_server ? 1 : 0;
            m_released.erase(slice);
            m_planned_moves.erase(slice);
        }
    }
    for (const auto& row : m_proposal->servers) {
        const auto* before = m_table.find(row.number);
        if (before != nullptr && before->home_since != row.home_since) {
            // Reports of the previous home no longer apply: the new home grants whatever the table assigns.
            m_servers.erase(row.number);
            std::erase_if(m_released, [&](const auto& free) {
                return m_proposal->slice_at(free.first).owner == row.number;
            });
        }
    }
    m_table = std::move(*m_proposal);
    m_proposal.reset();
    m_first_table_pending = false;
}

std::string cell_coordinator::request_move(std::uint32_t slice, const std::string& to) {
    const auto* row = m_table.find(to);
    if (!m_active) {
        return "this instance does not coordinate cell " + to_string(m_cell);
    }
    if (!m_table.holds_slice(slice)) {
        return "slice " + std::to_string(slice) + " is not in cell " + to_string(m_cell);
    }
    if (row == nullptr) {
        return "there is no server '" + to + "' in cell " + to_string(m_cell);
    }
    if (m_table.slice_at(slice).owner == row->number) {
        return "slice " + std::to_string(slice) + " is already owned by '" + to + "'";
    }
    m_planned_moves[slice] = row->number;
    return "";
}

std::vector<pending_change> cell_coordinator::pending(time_point now) const {
    std::vector<pending_change> list;
    if (m_proposal) {
        list.push_back({"table " + to_string(m_proposal->version),
                        "the store, or the standby while the store is unavailable"});
    }
    for (const auto& [slice, target] : m_planned_moves) {
        const auto* to = m_table.find(target);
        list.push_back(
            {"slice " + std::to_string(slice) + " to " + (to != nullptr ? to->name : "?"),
             m_released.count(slice) != 0 ? "the next table" : "its release by the current owner"});
    }
    for (const auto& row : m_table.servers) {
        const auto at = m_homes.find(row.home);
        if (at != m_homes.end() && at->second.last_heartbeat != never &&
            now - at->second.last_heartbeat >= m_timing.suspect_timeout) {
            list.push_back(
                {"home of server " + row.name, "the lease of home " + to_string(row.home) + " to expire"});
        }
    }
    return list;
}

void cell_coordinator::append_state(std::string& out) const {
    const auto add_time = [&](time_point t) {
        out += t == never ? "-," : std::to_string(t.time_since_epoch().count()) + ",";
    };
    const auto add_table = [&](const cell_table& t) {
        out += to_string(t.version) + "{";
        for (const auto& row : t.servers) {
            out += row.name + "@" + row.home.name + "." + to_string(row.home_since) + ",";
        }
        for (const auto& row : t.slices) {
            out += std::to_string(row.owner) + "." + to_string(row.owned_since) + ",";
        }
        out += "}";
    };
    out += m_active ? (m_first_table_pending ? "a" : "A") : "-";
    add_table(m_table);
    if (m_proposal) {
        add_table(*m_proposal);
    }
    for (const auto& [id, state] : m_homes) {
        out += id.name;
        add_time(state.home_lease_until);
        add_time(state.last_heartbeat);
        out += to_string(state.required);
    }
    for (const auto& [number, state] : m_servers) {
        out += std::to_string(number) + (state.responsive ? "y" : "n") + (state.relinquished ? "l" : "k");
    }
    for (const auto& [slice, since] : m_released) {
        out += "f" + std::to_string(slice) + to_string(since);
    }
    for (const auto& [slice, to] : m_planned_moves) {
        out += "m" + std::to_string(slice) + "." + std::to_string(to);
    }
}

} // namespace balsampost::core
