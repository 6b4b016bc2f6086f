// Tenure, table and orders of a keyed service.
#include "balsampost/core/key_coordinator.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace balsampost::core {

namespace {

constexpr double assumed_service_ms = 100; // Of a server that no instance has reported on.
constexpr milliseconds retry_store{150};   // Before a store call that failed is made again.
// Silence of a server for this long, with all its grants run out, frees its keys although it is still listed.
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
      m_self_at(std::move(self_at)), m_started(now) {}

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
    end_replaced();
}

void key_coordinator::end_replaced() {
    for (const auto& [id, b] : m_servers) {
        for (const auto& [old, address] : m_addresses) {
            if (old.born_ms >= id.born_ms || ended(old) || (old.id != id.id && address != b.address)) {
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
    return found != m_servers.end() && !found->second.draining && !ended(which) && !m_lapsed.contains(which);
}

std::vector<key_server> key_coordinator::owners() const {
    std::vector<key_server> out;
    for (const auto& [id, b] : m_servers) {
        if (!fit(id)) {
            continue;
        }
        const double ms = m_speeds.service_ms(id.id, assumed_service_ms);
        out.push_back({id, std::max<std::uint32_t>(b.slots, 1) * 1000.0 / ms});
    }
    return out;
}

endpoint key_coordinator::address_of(const incarnation& which) const {
    const auto found = m_addresses.find(which);
    return found == m_addresses.end() ? endpoint{} : found->second;
}

// Tenure

void key_coordinator::tenure_read(std::uint64_t revision, std::optional<tenure_record> record,
                                  time_point now) {
    m_tenure_call = false;
    m_poll_at = now + m_settings.poll_tenure;
    if (m_tenure_known && revision < m_tenure_revision) {
        return; // A stale read.
    }
    if (!m_tenure_known || revision != m_tenure_revision) {
        m_tenure_seen = now;
        m_tenure_revision = revision;
        m_tenure = std::move(record);
        m_tenure_known = true;
    }
    const bool mine = m_tenure && m_tenure->holder == m_self;
    if (m_holds_tenure && !mine) {
        lose_authority();
    } else if (!m_holds_tenure && mine && !m_resigned) {
        // A write of this instance took effect without an answer. Its term is this instance's; authority
        // begins with the next renewal that is answered.
        m_holds_tenure = true;
        m_term = m_tenure->term;
        m_authority_until = never;
        m_renew_at = now;
        begin_tenure();
    }
}

void key_coordinator::tenure_heard(std::uint64_t revision, time_point now) {
    if (m_holds_tenure || !m_tenure_known || revision < m_tenure_revision) {
        return;
    }
    if (revision > m_tenure_revision) {
        m_tenure_revision = revision;
        m_tenure_seen = now;
    }
    m_poll_at = std::max<time_point>(m_poll_at, now + m_settings.unheard);
}

void key_coordinator::tenure_read_failed(time_point now) {
    m_tenure_call = false;
    m_poll_at = now + retry_store;
}

void key_coordinator::begin_tenure() {
    m_claimed = false;
    m_table_known = false;
    m_first_read = true;
}

void key_coordinator::lose_authority() {
    m_holds_tenure = false;
    m_authority_until = never;
    begin_tenure();
    m_runs.clear();
    m_orders.clear();
    m_holds.clear();
    m_unknown_holds.clear();
    m_doubts.clear();
    m_lapsed.clear();
    m_fenced.clear();
}

void key_coordinator::tenure_written(write_outcome outcome, std::uint64_t revision, time_point sent,
                                     time_point now) {
    m_tenure_call = false;
    switch (outcome) {
    case write_outcome::done: {
        const bool fresh = !m_holds_tenure;
        m_tenure_revision = revision;
        m_tenure_seen = now;
        m_holds_tenure = true;
        m_authority_until = sent + m_settings.tenure;
        m_renew_at = std::max(now, sent + m_settings.renew_tenure);
        m_store_falters = false;
        if (fresh) {
            begin_tenure();
        }
        break;
    }
    case write_outcome::conflict:
        // Someone wrote, perhaps an earlier write of this instance: read before anything else.
        m_tenure_known = false;
        m_poll_at = now;
        m_renew_at = now;
        if (m_holds_tenure) {
            m_store_falters = true;
        }
        break;
    case write_outcome::failed:
    case write_outcome::unknown:
        m_store_falters = m_holds_tenure;
        m_poll_at = now + retry_store;
        m_renew_at = now + retry_store;
        if (outcome == write_outcome::unknown) {
            m_tenure_known = false;
        }
        break;
    }
}

void key_coordinator::step_tenure(time_point now, std::vector<coordinator_action>& out) {
    if (m_resigned) {
        return;
    }
    if (m_holds_tenure && m_authority_until != never && now >= m_authority_until &&
        m_settings.rules.end_with_tenure) {
        lose_authority();
        m_tenure_known = false;
    }
    if (m_tenure_call) {
        due(m_tenure_call_sent + m_settings.faltering);
        if (m_holds_tenure && now >= m_tenure_call_sent + m_settings.faltering) {
            m_store_falters = true;
        }
        if (m_holds_tenure && m_authority_until != never) {
            due(m_authority_until);
        }
        return;
    }
    const auto write = [&](std::uint64_t term) {
        m_term = term;
        m_tenure_call = true;
        m_tenure_call_sent = now;
        const std::uint64_t renewals = m_tenure ? m_tenure->renewals + 1 : 1;
        m_tenure = tenure_record{term, m_self, m_self_at, renewals};
        due(now + m_settings.faltering);
        out.emplace_back(write_tenure{*m_tenure, m_tenure_revision});
    };
    if (!m_tenure_known) {
        if (now < m_poll_at) {
            due(m_poll_at);
            return;
        }
        m_tenure_call = true;
        m_tenure_call_sent = now;
        out.emplace_back(read_tenure{});
        due(now + m_settings.faltering);
        return;
    }
    if (m_holds_tenure) {
        if (now >= m_renew_at) {
            write(m_term);
        } else {
            due(m_renew_at);
            if (m_authority_until != never) {
                due(m_authority_until);
            }
        }
        return;
    }
    const bool free = !m_tenure || m_tenure->holder.empty() || m_ended_instances.contains(m_tenure->holder);
    const auto free_at = m_settings.rules.wait_for_tenure
                             ? m_tenure_seen + m_settings.tenure + m_settings.takeover_margin
                             : m_tenure_seen;
    const auto from = m_tenure_seen + m_settings.first_wait;
    if (free && now < from) {
        due(from);
        return;
    }
    if (free || now >= free_at) {
        write(m_tenure ? m_tenure->term + 1 : 1);
        return;
    }
    if (now >= m_poll_at) {
        m_tenure_call = true;
        m_tenure_call_sent = now;
        out.emplace_back(read_tenure{});
        return;
    }
    due(std::min(free_at, m_poll_at));
}

std::optional<write_tenure> key_coordinator::resign(time_point now) {
    const bool led = m_holds_tenure && now < m_authority_until;
    const auto revision = m_tenure_revision;
    m_resigned = true;
    lose_authority();
    if (!led) {
        return std::nullopt;
    }
    return write_tenure{{m_term, "", m_self_at, m_tenure ? m_tenure->renewals + 1 : 1}, revision};
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

void key_coordinator::table_read(std::uint64_t revision, std::optional<key_table> table, time_point now) {
    m_table_call = false;
    if (!m_holds_tenure) {
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
    // What the coordinator before granted is not known here: the longest there can be, from now.
    m_unknown_holds.clear();
    const auto until =
        now + std::chrono::duration_cast<duration>(m_settings.longest_hold * (1 + m_settings.clock_drift)) +
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
            if (!ended(server) && m_settings.rules.count_unknown) {
                m_unknown_holds[server] = until;
            }
        }
    }
}

void key_coordinator::table_read_failed(time_point now) {
    m_table_call = false;
    m_table_again = now + retry_store;
}

void key_coordinator::table_written(write_outcome outcome, std::uint64_t revision, time_point now) {
    m_table_call = false;
    if (!m_holds_tenure) {
        return;
    }
    if (outcome == write_outcome::done) {
        m_claimed = true;
        adopt(std::move(m_draft), revision);
    } else if (outcome == write_outcome::failed) {
        m_table_again = now + retry_store;
    } else {
        // Whether it took effect, or what is there instead, is not known: read it before the next order.
        m_claimed = false;
        m_table_known = false;
        m_table_again = now + retry_store;
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
    auto draft = m_view;
    bool changed = !m_claimed;
    std::size_t planned = 0;
    if (draft.runs.empty()) {
        const auto servers = owners();
        const auto settled = m_list_grew == never ? m_started + m_settings.latest_start
                                                  : std::min(m_list_grew + m_settings.settle,
                                                             m_started + m_settings.latest_start);
        if (now < settled || servers.empty()) {
            if (now < settled) {
                due(settled);
            }
            return;
        }
        draft.runs = {{0, key_count - 1, {}, 0, {}}};
        apply_moves(draft, first_owners(servers));
        changed = true;
    } else {
        if (m_settle_at != never) {
            changed = changed || now >= m_settle_at;
            due(m_settle_at);
        }
        const auto moves = plan(now);
        planned = moves.size();
        if (!moves.empty()) {
            apply_moves(draft, moves);
            changed = true;
        }
    }
    if (!changed) {
        return;
    }
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

std::vector<key_move> key_coordinator::plan(time_point now) {
    const auto servers = owners();
    // Keys of lost servers first; nothing else is planned in the same batch.
    const bool lost = std::any_of(m_view.runs.begin(), m_view.runs.end(),
                                  [this](const key_run& r) { return !fit(r.owner); });
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

// Orders

bool key_coordinator::may_hold(const incarnation& which, shard_key from, shard_key to, time_point now) const {
    const auto unknown = m_unknown_holds.find(which);
    if (unknown != m_unknown_holds.end() && now < unknown->second) {
        return true;
    }
    return std::any_of(m_holds.begin(), m_holds.end(), [&](const possible_hold& h) {
        const bool same = h.server == which || (h.server.id == which.id && ended(which));
        return same && h.from <= to && from <= h.to && now < h.until;
    });
}

bool key_coordinator::release_under_way(const incarnation& server, shard_key from, shard_key to) const {
    return std::any_of(m_orders.begin(), m_orders.end(), [&](const auto& entry) {
        const auto& o = entry.second;
        return o.server == server && o.hold == milliseconds{0} && std::get<0>(o.run) <= to &&
               from <= std::get<1>(o.run);
    });
}

bool key_coordinator::doubtful(const incarnation& server, shard_key from, shard_key to,
                               time_point now) const {
    return std::any_of(m_doubts.begin(), m_doubts.end(), [&](const doubtful_release& d) {
        return d.server == server && d.from <= to && from <= d.to && now < d.until;
    });
}

void key_coordinator::forget_holds(const incarnation& which, shard_key from, shard_key to,
                                   std::uint64_t fence) {
    std::vector<possible_hold> next;
    next.reserve(m_holds.size() + 1);
    for (const auto& h : m_holds) {
        if (h.server != which || h.to < from || h.from > to || h.fence > fence) {
            next.push_back(h);
            continue;
        }
        if (h.from < from) {
            next.push_back(h);
            next.back().to = from - 1;
        }
        if (h.to > to) {
            next.push_back(h);
            next.back().from = to + 1;
        }
    }
    m_holds = std::move(next);
}

void key_coordinator::end_hold(const order_state& o, std::uint64_t order, bool may_have_arrived,
                               time_point now) {
    const auto runs_out =
        now + std::chrono::duration_cast<duration>(o.hold * (1 + m_settings.clock_drift)) + m_settings.margin;
    for (auto& h : m_holds) {
        if (h.order == order) {
            h.until = may_have_arrived ? runs_out : now;
        }
    }
    // What has run out, and what this grant outlasts on the same keys, tells nothing any more.
    std::erase_if(m_holds, [&](const possible_hold& h) {
        const bool outlasted = may_have_arrived && h.order != order && h.server == o.server &&
                               h.from >= std::get<0>(o.run) && h.to <= std::get<1>(o.run) &&
                               h.until <= runs_out;
        return h.until <= now || outlasted;
    });
}

bool key_coordinator::cleared(const incarnation& previous, const key_run& run, const run_state& s,
                              time_point now) const {
    if (previous.id == run.owner.id && ended(previous)) {
        return true; // Whatever reached the address since its restart reached the owner.
    }
    const auto released = s.released.find(previous);
    if (released != s.released.end() && now >= released->second) {
        return true;
    }
    return !may_hold(previous, run.from, run.to, now) || !m_settings.rules.clear_previous;
}

bool key_coordinator::previous_cleared(const key_run& run, const run_state& s, time_point now) const {
    return std::all_of(run.previous.begin(), run.previous.end(),
                       [&](const incarnation& p) { return cleared(p, run, s, now); });
}

void key_coordinator::step_orders(time_point now, std::vector<coordinator_action>& out) {
    if (!leads(now) || !m_claimed) {
        return;
    }
    const auto hold = m_store_falters ? m_settings.longest_hold : m_settings.hold;
    std::map<incarnation, std::uint32_t> under_way;
    for (const auto& [order, o] : m_orders) {
        ++under_way[o.server];
    }
    const auto busy = [&](const incarnation& server) { return under_way[server] >= m_settings.most_orders; };
    for (const auto& run : m_view.runs) {
        auto& s = m_runs[{run.from, run.to, run.fence}];
        for (const auto& p : run.previous) {
            if (s.released.contains(p) || ended(p) || s.releases[p] != 0 || !m_addresses.contains(p) ||
                busy(p) || release_under_way(p, run.from, run.to)) {
                continue;
            }
            auto& again = s.release_again[p];
            if (now < again) {
                due(again);
                continue;
            }
            const auto order = m_next_order++;
            s.releases[p] = order;
            ++under_way[p];
            m_orders[order] = {{run.from, run.to, run.fence}, p, milliseconds{0}, now};
            out.emplace_back(send_release{order, p, address_of(p), run.from, run.to, run.fence});
        }
        if (run.owner.empty() || ended(run.owner) || s.order != 0 || s.refence ||
            !m_addresses.contains(run.owner) || busy(run.owner)) {
            continue;
        }
        if (!previous_cleared(run, s, now)) {
            due(now + milliseconds{50});
            continue;
        }
        const bool lengthen = m_store_falters && s.granted && s.hold < hold && s.failing_since == never;
        if (now < s.renew_at && !lengthen) {
            due(s.renew_at);
            continue;
        }
        const auto order = m_next_order++;
        s.order = order;
        ++under_way[run.owner];
        // Until the answer or the reset of its connection the grant may arrive at any time.
        m_holds.push_back({run.owner, run.from, run.to, time_point::max(), order, run.fence});
        m_orders[order] = {{run.from, run.to, run.fence}, run.owner, hold, now};
        out.emplace_back(send_grant{order, run.owner, address_of(run.owner), run.from, run.to, run.fence,
                                    hold, s.handover});
    }
}

void key_coordinator::grant_ended(std::uint64_t order, order_outcome outcome, time_point now) {
    const auto found = m_orders.find(order);
    if (found == m_orders.end()) {
        return;
    }
    const auto o = found->second;
    m_orders.erase(found);
    const auto& [from, to, fence] = o.run;
    const auto state = m_runs.find(o.run);
    const bool ok = outcome == order_outcome::done;
    const bool may_have_arrived =
        ok || (outcome == order_outcome::unknown && m_settings.rules.count_unanswered);
    end_hold(o, order, may_have_arrived, now);
    if (ok) {
        m_lapsed.erase(o.server);
    }
    if (state == m_runs.end()) {
        return;
    }
    auto& s = state->second;
    s.order = 0;
    if (ok) {
        s.granted = true;
        if (const auto* run = m_view.find(from); run != nullptr && run->moving()) {
            settle(*run, now);
        }
        s.hold = o.hold;
        s.handover.clear();
        s.failing_since = never;
        s.renew_at = o.sent + m_settings.renew_hold;
        return;
    }
    if (outcome == order_outcome::fenced) {
        m_fenced.push_back({from, to, o.server, false});
        s.renew_at = now + m_settings.renew_hold;
        return;
    }
    if (s.failing_since == never) {
        s.failing_since = o.sent;
    }
    s.renew_at = now + m_settings.retry_order;
}

void key_coordinator::release_ended(std::uint64_t order, order_outcome outcome, const std::string& handover,
                                    time_point now) {
    const auto found = m_orders.find(order);
    if (found == m_orders.end()) {
        return;
    }
    const auto o = found->second;
    m_orders.erase(found);
    const auto from = std::get<0>(o.run);
    const auto to = std::get<1>(o.run);
    const auto fence = std::get<2>(o.run);
    const auto state = m_runs.find(o.run);
    const bool in_doubt = doubtful(o.server, from, to, now);
    const auto ends = in_doubt ? now + m_settings.longest_work : now;
    if (outcome == order_outcome::done) {
        // Nothing begins there any more; what may still run has an end.
        forget_holds(o.server, from, to, fence);
        if (in_doubt && !ended(o.server)) {
            m_holds.push_back({o.server, from, to, ends, order, fence});
        }
    }
    if (outcome != order_outcome::done && outcome != order_outcome::not_sent) {
        std::erase_if(m_doubts, [&](const doubtful_release& d) { return d.until <= now; });
        m_doubts.push_back({o.server, from, to, now + m_settings.latest_order + m_settings.longest_work});
    }
    if (outcome == order_outcome::done) {
        // The table may have changed since: the release counts for every run of these keys.
        for (const auto& run : m_view.runs) {
            const bool granted_since =
                std::any_of(m_holds.begin(), m_holds.end(), [&](const possible_hold& h) {
                    return h.server == o.server && h.from <= run.to && run.from <= h.to && h.fence > fence;
                });
            if (run.from >= from && run.to <= to && !granted_since &&
                std::find(run.previous.begin(), run.previous.end(), o.server) != run.previous.end()) {
                auto& s = m_runs[{run.from, run.to, run.fence}];
                s.released[o.server] = ends;
                if (!handover.empty() && run.from == from && run.to == to) {
                    s.handover = handover;
                }
            }
        }
    }
    if (state == m_runs.end()) {
        return;
    }
    auto& s = state->second;
    s.releases[o.server] = 0;
    if (outcome == order_outcome::done) {
        return;
    }
    s.release_again[o.server] = now + m_settings.retry_order;
}

std::vector<coordinator_action> key_coordinator::step(time_point now) {
    m_next_due = now + std::chrono::seconds{1};
    std::vector<coordinator_action> out;
    step_tenure(now, out);
    // A server that has not answered for a while and whose grants have run out serves nothing, listed or not.
    if (leads(now) && m_claimed) {
        for (const auto& run : m_view.runs) {
            const auto s = m_runs.find({run.from, run.to, run.fence});
            if (s != m_runs.end() && s->second.failing_since != never && s->second.order == 0 &&
                now >= s->second.failing_since + silence && !may_hold(run.owner, 0, key_count - 1, now)) {
                m_lapsed.insert(run.owner);
            }
        }
    }
    step_table(now, out);
    step_orders(now, out);
    m_next_due = std::max<time_point>(m_next_due, now + shortest_wait);
    return out;
}

// Stored form

std::string to_json(const tenure_record& record) {
    return nlohmann::json{{"term", record.term},
                          {"holder", record.holder},
                          {"holder_at", to_string(record.holder_at)},
                          {"renewals", record.renewals}}
        .dump();
}

result<tenure_record> tenure_from_json(const std::string& text) {
    try {
        const auto value = nlohmann::json::parse(text);
        const auto at = parse_endpoint(value.at("holder_at").get<std::string>());
        if (!at) {
            return fail(error_code::protocol, "tenure: holder_at: " + at.error());
        }
        return tenure_record{value.at("term").get<std::uint64_t>(), value.at("holder").get<std::string>(),
                             *at, value.at("renewals").get<std::uint64_t>()};
    } catch (const nlohmann::json::exception& e) {
        return fail(error_code::protocol, std::string("tenure: ") + e.what());
    }
}

} // namespace balsampost::core
