// Implementation of the home of servers of one cell.
#include "balsampost/core/home_agent.h"

#include <algorithm>

namespace balsampost::core {

home_agent::home_agent(cell_id cell, instance_id self, profile timing, home_rules rules)
    : m_cell(std::move(cell)), m_self(std::move(self)), m_timing(timing), m_rules(rules) {}

void home_agent::drop_outdated_links(const cell_table& table) {
    std::erase_if(m_links, [&](const auto& entry) {
        const auto* row = table.find(entry.second.number);
        return row == nullptr || row->home != m_self || row->home_since != entry.second.home_since;
    });
}

void home_agent::learn_table(const cell_table& table, time_point now) {
    if (table.version <= m_table.version) {
        return;
    }
    drop_outdated_links(table);
    m_table = table;
    ++m_serving_version;
    for (const auto& row : table.servers) {
        if (row.home != m_self) {
            continue;
        }
        const auto [at, added] = m_links.try_emplace(row.name);
        if (added) {
            at->second.number = row.number;
            at->second.home_since = row.home_since;
            at->second.assigned_at = now;
            at->second.next_order = now;
            if (row.handed_over) {
                at->second.max_lease_end = now + m_timing.lease_length * (100 + m_timing.drift_percent) / 100;
            }
        }
        // Drops the releases of slices that have since been assigned under a later epoch, to another server
        // or to this one again.
        std::erase_if(at->second.released,
                      [&](const owned_slice& s) { return m_table.slice_at(s.slice).owned_since > s.since; });
        std::erase_if(at->second.releasing,
                      [&](const owned_slice& s) { return m_table.slice_at(s.slice).owned_since > s.since; });
        at->second.next_order = std::min(at->second.next_order, now);
    }
}

home_heartbeat home_agent::heartbeat(time_point now) const {
    home_heartbeat result{m_cell, m_self, m_table.version, m_leaving, {}, {}};
    for (const auto& [name, l] : m_links) {
        server_report report;
        report.name = name;
        report.home_since = l.home_since;
        report.responsive =
            !l.refused && l.last_answered != never && now - l.last_answered < m_timing.suspect_timeout;
        const bool no_order_pending = !l.in_flight_order && now >= l.late_order_until;
        report.relinquished =
            l.relinquishing && l.drained_all && (no_order_pending || lease_has_ended(l, now));
        report.released.assign(l.released.begin(), l.released.end());
        result.servers.push_back(std::move(report));
    }
    return result;
}

void home_agent::on_reply(const home_reply& reply, time_point sent, time_point now) {
    if (!reply.authoritative) {
        return;
    }
    m_required_version = std::max(m_required_version, reply.table_version);
    const duration length(reply.home_lease_ns);
    m_home_lease_until = std::max(m_home_lease_until, sent + length * (100 - m_timing.drift_percent) / 100);
    for (const auto& slice : reply.release) {
        for (auto& [name, l] : m_links) {
            if (m_table.holds_slice(slice.slice) && m_table.slice_at(slice.slice).owner == l.number &&
                m_table.slice_at(slice.slice).owned_since == slice.since && l.released.count(slice) == 0 &&
                l.releasing.insert(slice).second) {
                l.drained.erase(slice.slice);
                l.next_order = now;
                ++m_serving_version;
            }
        }
    }
    for (const auto& server : reply.relinquish) {
        const auto at = m_links.find(server);
        if (at != m_links.end() && !at->second.relinquishing) {
            at->second.relinquishing = true;
            ++m_serving_version;
        }
    }
}

time_point home_agent::home_lease_until() const {
    return has_required_table() ? m_home_lease_until : never;
}

std::set<owned_slice> home_agent::target_slices(const link& l) const {
    std::set<owned_slice> slices;
    for (std::uint32_t i = 0; i < m_table.slices.size(); ++i) {
        const auto& row = m_table.slices[i];
        const owned_slice owned{m_table.first_slice + i, row.owned_since};
        const bool releasing = l.releasing.count(owned) != 0 &&
                               (!m_rules.drain_before_release || l.drained.count(owned.slice) != 0);
        const bool released = m_rules.never_regrant && l.released.count(owned) != 0;
        if (row.owner == l.number && !releasing && !released) {
            slices.insert(owned);
        }
    }
    return slices;
}

std::optional<lease_order> home_agent::order_for(const std::string& server, time_point now) {
    const auto at = m_links.find(server);
    if (at == m_links.end() || now >= home_lease_until()) {
        return std::nullopt;
    }
    auto& l = at->second;
    const bool waiting = l.in_flight_order && now - l.in_flight_since < m_timing.suspect_timeout;
    if (waiting || now < l.next_order || l.refused || (l.relinquishing && l.drained_all)) {
        return std::nullopt;
    }
    if (l.in_flight_order) {
        l.late_order_until = l.max_lease_end;
    }
    lease_order order;
    order.server = server;
    order.number = m_next_id++;
    order.home_since = l.home_since;
    if (l.server_clock_ns != 0) {
        auto slices = target_slices(l);
        if (slices != l.granted || l.list_version == 0) {
            l.granted = slices;
            l.list_version = m_next_id++;
        }
        const duration home_lease_left = home_lease_until() - l.server_clock_received;
        const duration length = m_rules.limit_to_home_lease
                                    ? std::min<duration>(m_timing.lease_length, home_lease_left)
                                    : m_timing.lease_length;
        const duration shortened = length * (100 - m_timing.drift_percent) / 100;
        order.until_ns = l.server_clock_ns + shortened.count();
        order.list_version = l.list_version;
        order.with_list = l.confirmed_version != l.list_version;
        if (order.with_list) {
            order.slices.assign(slices.begin(), slices.end());
        }
        l.max_lease_end = std::max(l.max_lease_end, l.server_clock_received + length);
    }
    l.in_flight_order = order.number;
    l.in_flight_since = now;
    l.next_order = now + m_timing.renew_interval;
    return order;
}

void home_agent::on_answer(const std::string& server, std::uint64_t order, const lease_answer& answer,
                           time_point sent, time_point received) {
    const auto at = m_links.find(server);
    if (at == m_links.end()) {
        return;
    }
    auto& l = at->second;
    if (l.in_flight_order == order) {
        l.in_flight_order.reset();
    }
    if (!answer.accepted) {
        l.refused = true;
        return;
    }
    if (answer.server_time_ns <= l.server_clock_ns) {
        return; // A late answer, older than one already processed.
    }
    const bool first = l.server_clock_ns == 0;
    l.last_answered = std::max(l.last_answered, sent);
    l.server_clock_ns = answer.server_time_ns;
    l.server_clock_received = received;
    if (answer.list_version != l.confirmed_version) {
        l.confirmed_version = answer.list_version;
        ++m_serving_version;
    }
    if (l.confirmed_version == l.list_version && l.list_version != 0) {
        confirm_releases(l, received);
        if (l.confirmed != l.granted) {
            l.confirmed = l.granted;
            ++m_serving_version;
        }
    }
    const bool list_due = l.confirmed_version != l.list_version || target_slices(l) != l.granted;
    if (first || list_due) {
        l.next_order = received;
    }
}

void home_agent::confirm_releases(link& l, time_point now) {
    if (now < l.late_order_until) {
        return; // An earlier order whose list has these slices may still reach the server.
    }
    for (auto it = l.releasing.begin(); it != l.releasing.end();) {
        const bool withdrawn = l.granted.count(*it) == 0;
        if (withdrawn) {
            l.released.insert(*it);
        }
        it = withdrawn ? l.releasing.erase(it) : std::next(it);
    }
}

void home_agent::on_order_failed(const std::string& server, std::uint64_t order) {
    const auto at = m_links.find(server);
    if (at != m_links.end() && at->second.in_flight_order == order) {
        at->second.in_flight_order.reset();
        at->second.late_order_until = at->second.max_lease_end;
    }
}

void home_agent::mark_lapsed(link& l) {
    for (std::uint32_t i = 0; i < m_table.slices.size(); ++i) {
        const auto& row = m_table.slices[i];
        if (row.owner == l.number) {
            l.released.insert({m_table.first_slice + i, row.owned_since});
        }
    }
    l.releasing.clear();
    l.granted.clear();
    l.confirmed.clear();
    l.confirmed_version = 0;
    l.list_version = 0;
    ++m_serving_version;
}

bool home_agent::tick(time_point now) {
    bool changed = false;
    if (!has_required_table() || now >= m_home_lease_until) {
        return false; // Without a home lease it must not report releases for the current table version.
    }
    for (auto& [name, l] : m_links) {
        const time_point last = std::max(l.last_answered, l.assigned_at);
        const bool unresponsive = now - last >= m_timing.suspect_timeout;
        if ((unresponsive || l.refused) && lease_has_ended(l, now)) {
            const auto owned = target_slices(l);
            if (!owned.empty() || !l.granted.empty()) {
                mark_lapsed(l);
                changed = true;
            }
        }
    }
    return changed;
}

void home_agent::drained(const std::string& server, std::uint32_t slice) {
    const auto at = m_links.find(server);
    if (at != m_links.end()) {
        at->second.drained.insert(slice);
        at->second.next_order = never;
    }
}

void home_agent::drained_all(const std::string& server) {
    const auto at = m_links.find(server);
    if (at != m_links.end() && at->second.relinquishing) {
        at->second.drained_all = true;
    }
}

std::vector<home_agent::homed_server> home_agent::serving() const {
    std::vector<homed_server> list;
    for (const auto& [name, l] : m_links) {
        homed_server s;
        s.server = name;
        s.lease_until = std::min(l.max_lease_end, home_lease_until());
        s.slices.assign(l.confirmed.begin(), l.confirmed.end());
        for (const auto& slice : l.releasing) {
            s.draining.push_back(slice.slice);
        }
        s.draining_all = l.relinquishing;
        list.push_back(std::move(s));
    }
    return list;
}

void home_agent::append_state(std::string& out) const {
    const auto add_time = [&](time_point t) {
        out += t == never ? "-," : std::to_string(t.time_since_epoch().count()) + ",";
    };
    const auto add_slices = [&](const std::set<owned_slice>& slices) {
        for (const auto& s : slices) {
            out += std::to_string(s.slice) + "." + to_string(s.since) + ",";
        }
        out += ";";
    };
    out += to_string(m_table.version) + to_string(m_required_version);
    add_time(m_home_lease_until);
    for (const auto& [name, l] : m_links) {
        out += name + to_string(l.home_since) + (l.in_flight_order ? "u" : "-") + (l.refused ? "r" : "-") +
               (l.relinquishing ? "g" : "-") + (l.drained_all ? "d" : "-");
        add_time(l.assigned_at);
        add_time(l.in_flight_since);
        add_time(l.next_order);
        out += std::to_string(l.server_clock_ns) + ",";
        add_time(l.server_clock_received);
        add_time(l.last_answered);
        add_time(l.max_lease_end);
        add_time(l.late_order_until);
        out += l.confirmed_version == l.list_version ? "c" : "-";
        add_slices(l.granted);
        add_slices(l.confirmed);
        add_slices(l.releasing);
        add_slices(l.released);
    }
}

} // namespace balsampost::core
