// The servers and the table of a keyed service, and the steps that bring all parts of its coordinator
// together.
#include "balsampost/core/key_coordinator.h"

#include <algorithm>
#include <limits>

namespace balsampost::core {

namespace {

constexpr double assumed_service_ms = 100; // Of a server that no instance has reported on.
// A server that is silent for longer has not just lost an answer.
constexpr milliseconds silence{600};

// A step that is due at once is still given the loop's other work in between.
constexpr milliseconds shortest_wait{10};

/// All servers that a run names.
std::vector<incarnation> servers_of(const key_run& run) {
    auto out = run.previous;
    if (!run.owner.empty()) {
        out.push_back(run.owner);
    }
    return out;
}

} // namespace

key_coordinator::key_coordinator(coordinator_settings settings, std::string service, std::string self,
                                 endpoint self_at, time_point now)
    : m_settings(settings), m_service(std::move(service)), m_self(std::move(self)),
      m_self_at(std::move(self_at)), m_started(now),
      m_poll_at(settings.first_look > milliseconds{0} ? now + settings.first_look : never) {}

// Servers

void key_coordinator::update_servers(const std::vector<const backend*>& listed, time_point now) {
    std::map<incarnation, backend> next;
    for (const auto* b : listed) {
        next.emplace(b->self, *b);
        m_addresses.insert_or_assign(b->self, b->address);
        if (!m_servers.contains(b->self)) {
            m_list_grew = now;
        }
    }
    m_servers = std::move(next);
    std::erase_if(m_unreached, [this](const auto& u) { return !m_servers.contains(u.first); });
    end_replaced();
}

void key_coordinator::end_replaced() {
    for (const auto& [id, b] : m_servers) {
        for (const auto& [old, address] : m_addresses) {
            if (old.started_ms >= id.started_ms || ended(old) || (old.id != id.id && address != b.address)) {
                continue;
            }
            if (old.id == id.id) {
                // Grants meant for the earlier one may have reached this one.
                for (auto& h : m_holds) {
                    h.server = h.server == old ? id : h.server;
                }
            }
            server_ended(old);
        }
    }
}

void key_coordinator::server_ended(const incarnation& which) {
    if (m_ended.insert(which).second) {
        forget_holds(which, 0, key_count - 1, std::numeric_limits<std::uint64_t>::max());
        m_unknown_holds.erase(which);
    }
}

void key_coordinator::give_up(const incarnation& which, time_point now) {
    auto& contact = m_unreached[which];
    if (!std::exchange(contact.given_up, true)) {
        contact.probe_at = now + m_settings.probe_pause;
    }
}

void key_coordinator::probe_ended(const incarnation& which, bool reached, time_point now) {
    const auto found = m_unreached.find(which);
    if (found == m_unreached.end()) {
        return;
    }
    if (reached) {
        m_unreached.erase(found);
        return;
    }
    found->second.probing = false;
    found->second.probe_at = now + m_settings.probe_pause;
}

void key_coordinator::note_contact(const incarnation& server, order_outcome outcome, time_point now) {
    if (outcome == order_outcome::not_sent || outcome == order_outcome::unknown) {
        m_unreached.try_emplace(server, lost_contact{false, false, now + m_settings.probe_pause});
    } else {
        m_unreached.erase(server);
    }
}

void key_coordinator::give_up_silent(time_point now) {
    for (const auto& run : m_view.runs) {
        const auto s = m_runs.find({run.from, run.to, run.fence});
        if (s == m_runs.end() || s->second.failing_since == never || s->second.order != 0 ||
            now < s->second.failing_since + silence) {
            continue;
        }
        // One that took this grant before has until its end to answer again; one that never did has not.
        if (!s->second.granted || !may_hold(run.owner, 0, key_count - 1, now)) {
            give_up(run.owner, now);
        }
    }
}

void key_coordinator::step_probes(time_point now, std::vector<coordinator_action>& out) {
    for (auto& [which, contact] : m_unreached) {
        if (contact.probing || !m_servers.contains(which)) {
            continue;
        }
        if (now < contact.probe_at) {
            due(contact.probe_at);
            continue;
        }
        contact.probing = true;
        out.emplace_back(probe_server{which, address_of(which)});
    }
}

void key_coordinator::report(const key_report& r, time_point now) {
    m_rates.add(r, now);
    m_speeds.add(r);
}

void key_coordinator::server_doubtful(const incarnation& which) {
    for (const auto& run : m_view.runs) {
        if (run.owner == which) {
            auto& s = m_runs[{run.from, run.to, run.fence}];
            if (!std::exchange(s.refence, true)) {
                m_fenced.push_back({run.from, run.to, which, false});
            }
        }
    }
}

bool key_coordinator::fit(const incarnation& which) const {
    const auto found = m_servers.find(which);
    const auto contact = m_unreached.find(which);
    const bool given_up = contact != m_unreached.end() && contact->second.given_up;
    return found != m_servers.end() && !found->second.draining && !ended(which) && !given_up;
}

std::vector<key_server> key_coordinator::owners() const {
    std::vector<key_server> out;
    for (const auto& [id, b] : m_servers) {
        if (!fit(id)) {
            continue;
        }
        const double ms = m_speeds.service_ms(id.id, assumed_service_ms);
        out.push_back({id, std::max<std::uint32_t>(b.slots, 1) * 1000.0 / ms, !m_unreached.contains(id)});
    }
    return out;
}

endpoint key_coordinator::address_of(const incarnation& which) const {
    const auto found = m_addresses.find(which);
    return found == m_addresses.end() ? endpoint{} : found->second;
}

// Table

void key_coordinator::adopt(key_table table, std::uint64_t revision) {
    m_table = std::move(table);
    m_table_revision = revision;
    m_settled = 0;
    m_settle_at = never;
    keep_states();
    m_view = m_table;
    for (auto& run : m_view.runs) {
        const auto s = m_runs.find({run.from, run.to, run.fence});
        if (s != m_runs.end() && s->second.granted) {
            run.previous.clear();
        }
    }
}

void key_coordinator::settle(const key_run& run, time_point now) {
    for (auto& r : m_view.runs) {
        if (r.from == run.from && r.fence == run.fence && r.moving()) {
            r.previous.clear();
            ++m_settled;
            if (m_settle_at == never) {
                m_settle_at = now + m_settings.settle_pause;
            }
        }
    }
}

void key_coordinator::keep_states() {
    std::map<run_key, run_state> next;
    for (const auto& run : m_table.runs) {
        const run_key key{run.from, run.to, run.fence};
        auto found = m_runs.find(key);
        if (found != m_runs.end()) {
            next.emplace(key, std::move(found->second));
        } else {
            next.emplace(key, run_state{});
        }
    }
    m_runs = std::move(next);
}

bool key_coordinator::end_table_call() {
    m_table_call = false;
    return !std::exchange(m_table_call_outdated, false) && m_holds_tenure;
}

void key_coordinator::table_read(std::uint64_t revision, std::optional<key_table> table, time_point now) {
    if (!end_table_call()) {
        return;
    }
    if (table && table->term > m_term) {
        lose_authority(); // A later tenure has written.
        m_tenure_known = false;
        return;
    }
    m_table_known = true;
    m_claimed = table && table->term == m_term && table->coordinator == m_self;
    adopt(table ? std::move(*table) : key_table{}, revision);
    if (!std::exchange(m_first_read, false)) {
        return;
    }
    // What was granted before this tenure is not known here: it runs for the longest hold from the last order
    // that there can have been.
    m_unknown_holds.clear();
    const auto until =
        std::min<time_point>(now, m_earlier_authority_until + m_settings.order_time) +
        std::chrono::duration_cast<duration>(m_settings.longest_hold * (1 + m_settings.clock_drift)) +
        m_settings.margin;
    m_addresses.insert(m_table.addresses.begin(), m_table.addresses.end());
    end_replaced();
    for (const auto& run : m_table.runs) {
        // Releases may have been sent that this instance knows nothing of.
        for (const auto& p : run.previous) {
            m_doubts.push_back(
                {p, run.from, run.to, now + m_settings.latest_order + m_settings.longest_work});
        }
        for (const auto& server : servers_of(run)) {
            if (!ended(server) && m_settings.rules.count_unknown && now < until) {
                m_unknown_holds[server] = until;
            }
        }
    }
}

void key_coordinator::table_read_failed(time_point now) {
    end_table_call();
    m_table_again = now + m_settings.retry_store;
}

void key_coordinator::table_written(write_outcome outcome, std::uint64_t revision, time_point now) {
    if (!end_table_call()) {
        return; // The table is read before the next order.
    }
    if (outcome == write_outcome::done) {
        m_claimed = true;
        adopt(std::move(m_draft), revision);
    } else if (outcome == write_outcome::failed) {
        m_table_again = now + m_settings.retry_store;
    } else {
        // Whether it took effect, or what is there instead, is not known: read it before the next order.
        m_claimed = false;
        m_table_known = false;
        m_table_again = now + m_settings.retry_store;
    }
}

void key_coordinator::step_table(time_point now, std::vector<coordinator_action>& out) {
    if (!leads(now) || m_table_call) {
        return;
    }
    if (now < m_table_again) {
        due(m_table_again);
        return;
    }
    if (!m_table_known) {
        m_table_call = true;
        out.emplace_back(read_table{});
        return;
    }
    std::vector<key_move> moves;
    bool changed = !m_claimed;
    if (m_view.runs.empty()) {
        moves = plan_first(now);
        if (moves.empty()) {
            return;
        }
    } else {
        if (m_settle_at != never) {
            changed = changed || now >= m_settle_at;
            due(m_settle_at);
        }
        moves = plan(now);
    }
    if (!changed && moves.empty()) {
        return;
    }
    const auto planned = m_view.runs.empty() ? 0 : moves.size();
    auto draft = m_view;
    if (draft.runs.empty()) {
        draft.runs = {{0, key_count - 1, {}, 0, {}}};
    }
    apply_moves(draft, moves);
    draft.term = m_term;
    draft.coordinator = m_self;
    draft.coordinator_at = m_self_at;
    draft.addresses.clear();
    for (const auto& run : draft.runs) {
        for (const auto& server : servers_of(run)) {
            if (const auto at = m_addresses.find(server); at != m_addresses.end()) {
                draft.addresses.insert(*at);
            }
        }
    }
    m_draft = std::move(draft);
    m_table_call = true;
    out.emplace_back(write_table{m_draft, m_table_revision, planned, summarize(m_view, owners(), m_rates)});
}

std::vector<key_move> key_coordinator::plan_first(time_point now) {
    const auto latest = m_started + m_settings.latest_start;
    const auto settled = m_list_grew == never ? latest : std::min(m_list_grew + m_settings.settle, latest);
    if (now < settled) {
        due(settled);
        return {};
    }
    return first_owners(owners());
}

std::vector<key_move> key_coordinator::plan(time_point now) {
    // Steps are many: what costs a look at every server waits until there is something to plan.
    const bool lost = std::any_of(m_view.runs.begin(), m_view.runs.end(),
                                  [this](const key_run& r) { return !fit(r.owner); });
    if (!lost && m_fenced.empty() && now < m_plan_at) {
        due(m_plan_at);
        return {};
    }
    const auto servers = owners();
    // Keys of lost servers first; nothing else is planned in the same batch.
    if (lost && !servers.empty()) {
        m_rates.advance(now);
        m_fenced.clear();
        return replace_lost(m_view, servers, m_rates);
    }
    // The table may have changed since these were asked for.
    std::erase_if(m_fenced, [this](const key_move& m) {
        const auto* run = m_view.find(m.from);
        return run == nullptr || run->to != m.to || run->owner != m.owner;
    });
    if (!m_fenced.empty()) {
        return std::exchange(m_fenced, {});
    }
    if (now < m_plan_at) {
        due(m_plan_at);
        return {};
    }
    m_plan_at = now + m_settings.plan_pause;
    due(m_plan_at);
    m_rates.advance(now);
    m_overloaded = overloads(m_view, servers, m_rates);
    const bool moving =
        std::any_of(m_view.runs.begin(), m_view.runs.end(), [](const key_run& r) { return r.moving(); });
    if (moving || m_store_falters) {
        return {};
    }
    const plan_settings settings;
    auto moves = fill_joined(m_view, servers, m_rates, settings);
    if (moves.empty()) {
        moves = spread_hot(m_view, servers, m_rates, settings);
    }
    return moves;
}

// Steps

std::vector<coordinator_action> key_coordinator::step(time_point now) {
    m_next_due = now + std::chrono::seconds{1};
    std::vector<coordinator_action> out;
    step_tenure(now, out);
    if (leads(now) && m_claimed) {
        give_up_silent(now);
        step_probes(now, out);
    }
    step_table(now, out);
    step_orders(now, out);
    m_next_due = std::max<time_point>(m_next_due, now + shortest_wait);
    return out;
}

} // namespace balsampost::core
