// Servers and table of a keyed service, and the main step of its coordinator.
#include "balsampost/core/key_coordinator.h"

#include <algorithm>
#include <limits>

namespace balsampost::core {

namespace {

// Service time of a server for which no instance has reported any.
constexpr double default_service_ms = 100;
// A server whose grants are unanswered for longer is marked lost; a single lost answer causes a shorter
// silence.
constexpr milliseconds order_silence_timeout{600};

// A store that counts its restores from 0 or 1 and has not been restored is in an epoch up to this one.
constexpr store::epoch max_unrestored_epoch{1};

// Minimum delay before the next step, so that the event loop can run other handlers in between.
constexpr milliseconds min_step_delay{10};

/// Owner and previous owners of a range.
std::vector<incarnation> servers_named_in(const key_range& range) {
    auto out = range.previous;
    if (!range.owner.empty()) {
        out.push_back(range.owner);
    }
    return out;
}

} // namespace

key_coordinator::key_coordinator(coordinator_settings settings, std::string service, std::string self,
                                 endpoint self_at, time_point now)
    : m_settings(settings), m_service(std::move(service)), m_self(std::move(self)),
      m_self_at(std::move(self_at)), m_started(now),
      m_tenure_poll_at(settings.initial_read_delay > milliseconds{0} ? now + settings.initial_read_delay
                                                                     : never) {}

// Servers

void key_coordinator::update_servers(const std::vector<const backend*>& listed, time_point now) {
    std::map<incarnation, backend> next;
    m_latest_by_id.clear();
    m_latest_by_address.clear();
    for (const auto* b : listed) {
        record_latest(*b);
        if (b->service != m_service) {
            continue;
        }
        next.emplace(b->self, *b);
        m_addresses.insert_or_assign(b->self, b->address);
        if (!m_servers.contains(b->self)) {
            m_last_server_added = now;
        }
    }
    m_servers = std::move(next);
    m_placement.set_servers(m_servers);
    std::erase_if(m_unreachable, [this](const auto& u) { return !m_servers.contains(u.first); });
    std::erase_if(m_leaving, [this](const incarnation& which) { return !m_servers.contains(which); });
    end_replaced_servers();
}

bool key_coordinator::limit_owner_regions(residency::region_limit limit,
                                          const std::map<std::string, std::string>& regions) {
    const bool changed = m_placement.set_limit(std::move(limit), regions);
    m_placement.set_servers(m_servers);
    return changed;
}

void key_coordinator::record_latest(const backend& listed) {
    const auto keep_later = [&](incarnation& latest) {
        if (latest.empty() || latest.started_ms < listed.self.started_ms) {
            latest = listed.self;
        }
    };
    keep_later(m_latest_by_id[listed.self.id]);
    keep_later(m_latest_by_address[listed.address]);
}

void key_coordinator::end_replaced_servers() {
    const auto is_later = [this](const incarnation& later, const incarnation& which) {
        return later != which &&
               (later.started_ms > which.started_ms || !m_settings.rules.only_later_start_ends_a_server);
    };
    for (const auto& [which, address] : m_addresses) {
        if (ended(which)) {
            continue;
        }
        const auto same_id = m_latest_by_id.find(which.id);
        const auto same_address = m_latest_by_address.find(address);
        if (same_id != m_latest_by_id.end() && is_later(same_id->second, which)) {
            // Grants meant for the earlier incarnation may have reached this one.
            for (auto& h : m_holds) {
                h.server = h.server == which ? same_id->second : h.server;
            }
            server_ended(which);
        } else if (same_address != m_latest_by_address.end() && is_later(same_address->second, which)) {
            server_ended(which);
        }
    }
}

void key_coordinator::server_ended(const incarnation& which) {
    if (m_ended.insert(which).second) {
        remove_holds(which, 0, key_count - 1, std::numeric_limits<std::uint64_t>::max());
        m_inherited_holds.erase(which);
    }
}

void key_coordinator::mark_lost(const incarnation& which, time_point now) {
    auto& contact = m_unreachable[which];
    if (!std::exchange(contact.lost, true)) {
        contact.probe_at = now + m_settings.probe_interval;
    }
}

void key_coordinator::probe_ended(const incarnation& which, bool reached, time_point now) {
    const auto found = m_unreachable.find(which);
    if (found == m_unreachable.end()) {
        return;
    }
    if (reached) {
        m_unreachable.erase(found);
        return;
    }
    found->second.probing = false;
    found->second.probe_at = now + m_settings.probe_interval;
}

void key_coordinator::update_reachability(const incarnation& server, order_outcome outcome, time_point now) {
    if (outcome == order_outcome::not_sent || outcome == order_outcome::unknown) {
        m_unreachable.try_emplace(server, unreachable_server{false, false, now + m_settings.probe_interval});
    } else {
        m_unreachable.erase(server);
    }
}

void key_coordinator::mark_silent_servers_lost(time_point now) {
    for (const auto& range : m_effective_table.ranges) {
        const auto s = m_range_states.find({range.from, range.to, range.fence});
        // No grants are sent of a range that needs a new token: their absence says nothing of the server.
        if (s == m_range_states.end() || s->second.needs_new_token || s->second.failing_since == never ||
            s->second.order != 0 || now < s->second.failing_since + order_silence_timeout) {
            continue;
        }
        // A server that confirmed a grant of this range may answer again until all its grants have expired;
        // one that never did is lost at once.
        if (!s->second.granted || !may_hold(range.owner, 0, key_count - 1, now)) {
            mark_lost(range.owner, now);
        }
    }
}

void key_coordinator::step_probes(time_point now, std::vector<coordinator_action>& out) {
    for (auto& [which, contact] : m_unreachable) {
        if (contact.probing || !m_servers.contains(which)) {
            continue;
        }
        if (now < contact.probe_at) {
            schedule_step(contact.probe_at);
            continue;
        }
        contact.probing = true;
        out.emplace_back(probe_server{which, address_of(which)});
    }
}

void key_coordinator::report(const key_report& r, time_point now) {
    m_rates.add(r, now);
    m_service_times.add(r);
    for (const auto& [id, started_ms] : r.leaving) {
        const incarnation which{id, started_ms};
        if (m_servers.contains(which) && m_leaving.insert(which).second) {
            schedule_step(now);
        }
    }
}

void key_coordinator::server_may_have_restarted(const incarnation& which) {
    for (const auto& range : m_effective_table.ranges) {
        if (range.owner == which) {
            auto& s = m_range_states[{range.from, range.to, range.fence}];
            s.needs_new_token = true;
        }
    }
}

void key_coordinator::update_evacuations(std::set<std::string> domains, time_point now) {
    if (domains == m_evacuated_domains) {
        return;
    }
    if (!std::includes(m_evacuated_domains.begin(), m_evacuated_domains.end(), domains.begin(),
                       domains.end())) {
        m_evacuated_since = now;
    }
    m_evacuated_domains = std::move(domains);
    schedule_step(now);
}

bool key_coordinator::evacuated(const incarnation& which) const {
    const auto found = m_evacuated_domains.empty() ? m_servers.end() : m_servers.find(which);
    return found != m_servers.end() && m_evacuated_domains.contains(found->second.failure_domain);
}

bool key_coordinator::has_keys_in(const std::string& domain) const {
    const auto inside = [&](const incarnation& which) {
        const auto found = m_servers.find(which);
        return found != m_servers.end() && found->second.failure_domain == domain;
    };
    return std::any_of(
        m_effective_table.ranges.begin(), m_effective_table.ranges.end(), [&](const key_range& r) {
            return inside(r.owner) || std::any_of(r.previous.begin(), r.previous.end(), inside);
        });
}

bool key_coordinator::is_usable(const incarnation& which) const {
    const auto found = m_servers.find(which);
    const auto contact = m_unreachable.find(which);
    const bool lost = contact != m_unreachable.end() && contact->second.lost;
    return found != m_servers.end() && !found->second.draining && !m_leaving.contains(which) &&
           !ended(which) && !lost && !evacuated(which);
}

std::vector<key_server> key_coordinator::owners(time_point now) const {
    std::vector<key_server> out;
    for (const auto& [id, b] : m_servers) {
        if (!can_own(id)) {
            continue;
        }
        const double ms = m_service_times.service_ms(id.id, default_service_ms);
        const auto slots = std::max<std::uint32_t>(b.slots, 1);
        const auto cold = m_cold_until.find(id);
        out.push_back({id, slots * 1000.0 / ms, !m_unreachable.contains(id),
                       cold != m_cold_until.end() && now < cold->second});
    }
    if (std::none_of(out.begin(), out.end(), [](const auto& s) { return s.reachable && !s.cold; })) {
        for (auto& s : out) {
            s.cold = false;
        }
    }
    return out;
}

endpoint key_coordinator::address_of(const incarnation& which) const {
    const auto found = m_addresses.find(which);
    return found == m_addresses.end() ? endpoint{} : found->second;
}

// Table

void key_coordinator::set_committed_table(key_table table, const store::revision& revision) {
    m_table = std::move(table);
    m_table_revision = revision;
    m_completed_moves = 0;
    m_write_completed_at = never;
    rebuild_range_states();
    m_effective_table = m_table;
    for (auto& range : m_effective_table.ranges) {
        const auto s = m_range_states.find({range.from, range.to, range.fence});
        if (s != m_range_states.end() && s->second.granted) {
            range.previous.clear();
        }
    }
}

void key_coordinator::complete_move(const key_range& range, time_point now) {
    for (auto& r : m_effective_table.ranges) {
        if (r.from == range.from && r.fence == range.fence && r.moving()) {
            r.previous.clear();
            ++m_completed_moves;
            if (m_write_completed_at == never) {
                m_write_completed_at = now + m_settings.completed_move_write_delay;
            }
        }
    }
}

void key_coordinator::rebuild_range_states() {
    std::map<range_id, range_state> next;
    for (const auto& range : m_table.ranges) {
        const range_id key{range.from, range.to, range.fence};
        auto found = m_range_states.find(key);
        if (found != m_range_states.end()) {
            next.emplace(key, std::move(found->second));
        } else {
            next.emplace(key, range_state{});
        }
    }
    m_range_states = std::move(next);
}

bool key_coordinator::finish_table_call() {
    m_table_call_pending = false;
    return !std::exchange(m_table_call_outdated, false) && m_holds_tenure;
}

void key_coordinator::table_read(const store::revision& revision, std::optional<key_table> table,
                                 time_point now) {
    epoch_began(revision.epoch(), now);
    if (!finish_table_call()) {
        return;
    }
    if (revision.epoch() != m_epoch) {
        m_table_retry_at = now + m_settings.store_retry_delay;
        return;
    }
    if (table && table->term > m_term) {
        lose_authority(); // The table was written under a later tenure.
        m_tenure_known = false;
        return;
    }
    m_table_known = true;
    if (m_owns_table) {
        compare_own_table(std::move(table), revision);
        return;
    }
    const bool never_existed = !m_table_seen && m_epoch <= max_unrestored_epoch;
    const bool complete = (table ? table->epoch.value_or(m_epoch) == m_epoch : never_existed) ||
                          m_epoch == store::epoch{} || !m_settings.rules.wait_out_lost_grants;
    m_table_claimed = complete && table && table->term == m_term && table->coordinator == m_self;
    m_owns_table = m_table_claimed;
    set_committed_table(table ? std::move(*table) : key_table{}, revision);
    if (std::exchange(m_first_table_read, false) || !complete) {
        inherit_grants(complete, now);
    }
}

void key_coordinator::compare_own_table(std::optional<key_table> stored, const store::revision& revision) {
    m_table_claimed = true;
    if (stored && *stored == m_pending_table) { // The unanswered write took effect.
        m_table_lost = false;
        set_committed_table(std::move(*stored), revision);
        return;
    }
    m_table_lost = !stored || *stored != m_table;
    m_table_revision = revision;
}

void key_coordinator::inherit_grants(bool complete, time_point now) {
    // Grants issued before this tenure are unknown here. They expire at the latest the maximum hold after the
    // last order that an earlier holder can have sent.
    m_inherited_holds.clear();
    const auto until =
        std::min<time_point>(now, m_previous_authority_until + m_settings.order_timeout) +
        std::chrono::duration_cast<duration>(m_settings.max_hold * (1 + m_settings.max_clock_drift)) +
        m_settings.margin;
    m_lost_grants_until = complete ? never : time_point{until};
    m_replaces_earlier_table = !complete && !m_table.ranges.empty();
    m_addresses.insert(m_table.addresses.begin(), m_table.addresses.end());
    end_replaced_servers();
    for (auto& [id, state] : m_range_states) {
        state.needs_new_token = state.needs_new_token || !complete;
    }
    for (const auto& range : m_table.ranges) {
        // An earlier coordinator may have sent releases that are unknown here.
        for (const auto& p : range.previous) {
            m_uncertain_releases.push_back(
                {p, range.from, range.to, now + m_settings.max_order_delay + m_settings.max_request_time});
        }
        for (const auto& server : servers_named_in(range)) {
            if (!ended(server) && m_settings.rules.wait_out_inherited_grants && now < until) {
                m_inherited_holds[server] = until;
            }
        }
    }
}

void key_coordinator::table_read_failed(time_point now) {
    finish_table_call();
    m_table_retry_at = now + m_settings.store_retry_delay;
}

void key_coordinator::table_written(write_outcome outcome, const store::revision& revision, time_point now) {
    epoch_began(revision.epoch(), now);
    if (!finish_table_call()) {
        return; // The table is read again before the next order.
    }
    if (outcome == write_outcome::done && !proves_write(m_table_condition, revision)) {
        outcome = write_outcome::unknown;
    }
    if (outcome == write_outcome::done) {
        m_table_known = true;
        m_table_claimed = true;
        m_owns_table = true;
        m_table_lost = false;
        m_table_seen = true;
        m_replaces_earlier_table = false;
        set_committed_table(std::move(m_pending_table), revision);
    } else if (outcome == write_outcome::failed) {
        m_table_retry_at = now + m_settings.store_retry_delay;
    } else {
        // It is unknown whether the write took effect, so the table is read before the next order.
        m_table_claimed = false;
        m_table_known = false;
        m_table_retry_at = now + m_settings.store_retry_delay;
    }
}

void key_coordinator::step_table(time_point now, std::vector<coordinator_action>& out) {
    if (!leads(now) || m_table_call_pending || m_tenure_written_in != m_epoch) {
        return;
    }
    if (now < m_table_retry_at) {
        schedule_step(m_table_retry_at);
        return;
    }
    if (!m_table_known) {
        m_table_call_pending = true;
        out.emplace_back(read_table{});
        return;
    }
    if (now < m_lost_grants_until) {
        schedule_step(m_lost_grants_until);
        return;
    }
    m_placement.update(
        m_servers, [this](const incarnation& which) { return is_usable(which); }, m_effective_table);
    std::vector<key_move> moves;
    bool changed = !m_table_claimed || m_table_lost;
    if (m_table_lost) {
        moves = {}; // The table by which keys are granted is committed again before another.
    } else if (m_replaces_earlier_table) {
        moves = moves_to_new_tokens();
        changed = true;
    } else if (m_effective_table.ranges.empty()) {
        moves = plan_initial(now);
        if (moves.empty()) {
            return;
        }
    } else {
        if (m_write_completed_at != never) {
            changed = changed || now >= m_write_completed_at;
            schedule_step(m_write_completed_at);
        }
        moves = plan(now);
    }
    if (!changed && moves.empty()) {
        return;
    }
    const auto planned = m_effective_table.ranges.empty() ? 0 : moves.size();
    auto draft = m_effective_table;
    draft.epoch = m_epoch;
    if (draft.ranges.empty()) {
        draft.ranges = {{0, key_count - 1, {}, 0, {}}};
    }
    apply_moves(draft, moves);
    draft.term = m_term;
    draft.coordinator = m_self;
    draft.coordinator_at = m_self_at;
    draft.addresses.clear();
    for (const auto& range : draft.ranges) {
        for (const auto& server : servers_named_in(range)) {
            if (const auto at = m_addresses.find(server); at != m_addresses.end()) {
                draft.addresses.insert(*at);
            }
        }
    }
    m_pending_table = std::move(draft);
    m_table_condition = m_table_revision;
    m_table_call_pending = true;
    out.emplace_back(write_table{m_pending_table, m_table_condition, planned,
                                 summarize(m_effective_table, owners(now), m_rates)});
}

std::vector<key_move> key_coordinator::plan_initial(time_point now) {
    const auto latest = m_started + m_settings.max_initial_wait;
    const auto settled = m_last_server_added == never
                             ? latest
                             : std::min(m_last_server_added + m_settings.server_list_settle_time, latest);
    if (now < settled) {
        schedule_step(settled);
        return {};
    }
    return initial_owners(owners(now));
}

std::vector<key_move> key_coordinator::moves_to_new_tokens() const {
    std::vector<key_move> moves;
    // Called in each step: ranges are looked up only if they need a token.
    for (const auto& [id, s] : m_range_states) {
        const auto* range = s.needs_new_token ? m_effective_table.find(std::get<0>(id)) : nullptr;
        if (range != nullptr && range_id{range->from, range->to, range->fence} == id &&
            !range->owner.empty()) {
            moves.push_back({range->from, range->to, range->owner, false});
        }
    }
    return moves;
}

std::vector<key_move> key_coordinator::plan(time_point now) {
    // Steps are frequent, so work per server is skipped unless there is something to plan.
    const bool any_lost =
        std::any_of(m_effective_table.ranges.begin(), m_effective_table.ranges.end(),
                    [this](const key_range& r) { return !can_own(r.owner) && !m_placement.waits(r); });
    auto new_tokens = moves_to_new_tokens();
    if (!any_lost && new_tokens.empty() && now < m_rebalance_at) {
        schedule_step(m_rebalance_at);
        return {};
    }
    const auto servers = owners(now);
    // Ranges of lost servers come first; nothing else is planned in the same batch.
    if (any_lost && !servers.empty()) {
        m_rates.advance(now);
        auto moves = plan_lost(servers, now);
        std::erase_if(moves, [this](const key_move& m) {
            const auto* range = m_effective_table.find(m.from);
            return range != nullptr && m_placement.waits(*range);
        });
        if (!moves.empty() || (m_evacuated_domains.empty() && new_tokens.empty())) {
            return moves;
        }
    }
    if (!new_tokens.empty()) {
        return new_tokens;
    }
    if (now < m_rebalance_at) {
        schedule_step(m_rebalance_at);
        return {};
    }
    m_rebalance_at = now + m_settings.rebalance_interval;
    schedule_step(m_rebalance_at);
    m_rates.advance(now);
    m_admitted_fractions = core::admitted_fractions(m_effective_table, servers, m_rates);
    const bool moving = std::any_of(m_effective_table.ranges.begin(), m_effective_table.ranges.end(),
                                    [](const key_range& r) { return r.moving(); });
    if (moving || m_store_degraded) {
        return {};
    }
    const plan_settings settings;
    auto moves = fill_new_servers(m_effective_table, servers, m_rates, settings);
    if (moves.empty()) {
        moves = spread_hot_ranges(m_effective_table, servers, m_rates, settings);
    }
    return moves;
}

std::vector<key_move> key_coordinator::plan_lost(const std::vector<key_server>& servers,
                                                 time_point now) const {
    const auto is_evacuated = [this](const incarnation& which) { return evacuated(which); };
    const auto& settings = m_settings.key_evacuation;
    if (m_evacuated_domains.empty() || now >= after(m_evacuated_since, settings.batch_time)) {
        return reassign_lost(m_effective_table, servers, m_rates);
    }
    // The next ranges move once most of those before them have arrived, since each batch is a write.
    const auto moving = evacuation::moving_by_rate(m_effective_table, m_rates, is_evacuated).size();
    const auto next = moving > settings.max_moving / 4 ? 0 : settings.max_moving - moving;
    return reassign_lost(evacuation::with_next_ranges(m_effective_table, m_rates, is_evacuated, next),
                         servers, m_rates);
}

// Steps

std::vector<coordinator_action> key_coordinator::step(time_point now) {
    m_next_due = now + std::chrono::seconds{1};
    std::vector<coordinator_action> out;
    step_tenure(now, out);
    if (leads(now) && m_table_claimed) {
        mark_silent_servers_lost(now);
        step_probes(now, out);
    }
    step_table(now, out);
    step_orders(now, out);
    m_next_due = std::max<time_point>(m_next_due, now + min_step_delay);
    return out;
}

} // namespace balsampost::core
