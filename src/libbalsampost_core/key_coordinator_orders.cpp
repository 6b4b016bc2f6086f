// Grants and releases: the keys that servers may hold, the conditions for a grant, and the handling of
// outcomes.
#include "balsampost/core/key_coordinator.h"

#include <algorithm>
#include <iterator>

namespace balsampost::core {

bool key_coordinator::may_hold(const incarnation& which, shard_key from, shard_key to, time_point now) const {
    const auto unknown = m_inherited_holds.find(which);
    if (unknown != m_inherited_holds.end() && now < unknown->second) {
        return true;
    }
    return std::any_of(m_holds.begin(), m_holds.end(), [&](const possible_hold& h) {
        const bool same = h.server == which || (h.server.id == which.id && ended(which));
        return same && h.from <= to && from <= h.to && now < h.until;
    });
}

bool key_coordinator::release_in_flight(const incarnation& server, shard_key from, shard_key to) const {
    return std::any_of(m_orders.begin(), m_orders.end(), [&](const auto& entry) {
        const auto& o = entry.second;
        return o.server == server && o.hold == milliseconds{0} && std::get<0>(o.range) <= to &&
               from <= std::get<1>(o.range);
    });
}

bool key_coordinator::has_uncertain_release(const incarnation& server, shard_key from, shard_key to,
                                            time_point now) const {
    return std::any_of(m_uncertain_releases.begin(), m_uncertain_releases.end(),
                       [&](const uncertain_release& d) {
                           return d.server == server && d.from <= to && from <= d.to && now < d.until;
                       });
}

void key_coordinator::remove_holds(const incarnation& which, shard_key from, shard_key to,
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

void key_coordinator::update_holds(const order_state& o, std::uint64_t order, bool may_have_arrived,
                                   time_point now) {
    const auto expires = now +
                         std::chrono::duration_cast<duration>(o.hold * (1 + m_settings.max_clock_drift)) +
                         m_settings.margin;
    for (auto& h : m_holds) {
        if (h.order == order) {
            h.until = may_have_arrived ? expires : now;
        }
    }
    // Remove expired holds and holds on the same keys that this grant outlasts. If a later release has
    // already ended the hold of this grant, it outlasts nothing.
    std::vector<possible_hold> own;
    std::copy_if(m_holds.begin(), m_holds.end(), std::back_inserter(own),
                 [&](const possible_hold& h) { return h.order == order && h.until > now; });
    std::erase_if(m_holds, [&](const possible_hold& h) {
        return h.until <= now || std::any_of(own.begin(), own.end(), [&](const possible_hold& longer) {
                   return h.order != order && h.server == longer.server && h.from >= longer.from &&
                          h.to <= longer.to && h.fence <= longer.fence && h.until <= longer.until;
               });
    });
}

bool key_coordinator::is_cleared(const incarnation& previous, const key_range& range, const range_state& s,
                                 time_point now) const {
    if (previous.id == range.owner.id && ended(previous)) {
        return true; // Orders sent to the address since the restart reached the owner itself.
    }
    const auto released = s.released.find(previous);
    if (released != s.released.end() && now >= released->second) {
        return true;
    }
    return !may_hold(previous, range.from, range.to, now) || !m_settings.rules.clear_previous_owners;
}

bool key_coordinator::all_previous_cleared(const key_range& range, const range_state& s,
                                           time_point now) const {
    return std::all_of(range.previous.begin(), range.previous.end(),
                       [&](const incarnation& p) { return is_cleared(p, range, s, now); });
}

void key_coordinator::step_orders(time_point now, std::vector<coordinator_action>& out) {
    if (!leads(now) || !m_table_claimed) {
        return;
    }
    order_budget budget{{}, m_settings.max_orders_per_server, m_settings.max_orders};
    for (const auto& [order, o] : m_orders) {
        budget.consume(o.server);
    }
    step_evacuation(budget, now, out);
    const auto& ranges = m_effective_table.ranges;
    const auto first =
        std::find_if(ranges.begin(), ranges.end(), [&](const key_range& r) { return r.to >= m_next_range; });
    const auto begin = static_cast<std::size_t>(first == ranges.end() ? 0 : first - ranges.begin());
    for (std::size_t i = 0; i < ranges.size(); ++i) {
        const auto& range = ranges[(begin + i) % ranges.size()];
        if (budget.exhausted()) {
            m_next_range = range.from; // The end of an order triggers the next step.
            return;
        }
        step_releases(range, budget, now, out);
        step_grant(range, budget, now, out);
    }
}

void key_coordinator::step_evacuation(order_budget& budget, time_point now,
                                      std::vector<coordinator_action>& out) {
    if (m_evacuated_domains.empty()) {
        return;
    }
    // A release lasts until the requests for the keys have ended; grants of all other keys are renewed
    // meanwhile.
    budget.kept_for_grants = m_settings.max_orders / 2;
    const auto is_evacuated = [this](const incarnation& which) { return evacuated(which); };
    for (const auto i : evacuation::moving_by_rate(m_effective_table, m_rates, is_evacuated)) {
        step_releases(m_effective_table.ranges[i], budget, now, out);
        step_grant(m_effective_table.ranges[i], budget, now, out);
    }
}

void key_coordinator::step_releases(const key_range& range, order_budget& budget, time_point now,
                                    std::vector<coordinator_action>& out) {
    auto& s = m_range_states[{range.from, range.to, range.fence}];
    for (const auto& p : range.previous) {
        if (s.released.contains(p) || ended(p) || s.releases[p] != 0 || !m_addresses.contains(p) ||
            !budget.available_for_release(p) || release_in_flight(p, range.from, range.to)) {
            continue;
        }
        const auto retry_at = s.release_retry_at[p];
        if (now < retry_at) {
            schedule_step(retry_at);
            continue;
        }
        const auto order = m_next_order++;
        s.releases[p] = order;
        budget.consume(p);
        m_orders[order] = {{range.from, range.to, range.fence}, p, milliseconds{0}, now};
        out.emplace_back(send_release{order, p, address_of(p), range.from, range.to, range.fence});
    }
}

void key_coordinator::step_grant(const key_range& range, order_budget& budget, time_point now,
                                 std::vector<coordinator_action>& out) {
    auto& s = m_range_states[{range.from, range.to, range.fence}];
    if (range.owner.empty() || ended(range.owner) || s.order != 0 || s.needs_new_token ||
        !m_addresses.contains(range.owner) || !budget.available_for(range.owner)) {
        return;
    }
    if (!all_previous_cleared(range, s, now)) {
        schedule_step(now + milliseconds{50});
        return;
    }
    const auto hold = m_store_degraded ? m_settings.max_hold : m_settings.hold;
    const bool extend = m_store_degraded && s.granted && s.hold < hold && s.failing_since == never;
    if (now < s.renew_at && !extend) {
        schedule_step(s.renew_at);
        return;
    }
    const auto order = m_next_order++;
    s.order = order;
    budget.consume(range.owner);
    // Until it is answered or its connection is reset, the grant may arrive at any time.
    m_holds.push_back({range.owner, range.from, range.to, time_point::max(), order, range.fence});
    m_orders[order] = {{range.from, range.to, range.fence}, range.owner, hold, now};
    out.emplace_back(send_grant{order, range.owner, address_of(range.owner), range.from, range.to,
                                range.fence, hold, s.handover});
}

milliseconds key_coordinator::grant_renew_interval() const {
    const auto all = milliseconds(static_cast<std::int64_t>(
        1000 * static_cast<double>(m_effective_table.ranges.size()) / m_settings.max_renewals_per_s));
    return std::clamp(all, m_settings.min_grant_renew_interval, m_settings.max_grant_renew_interval);
}

void key_coordinator::grant_ended(std::uint64_t order, order_outcome outcome, time_point now) {
    const auto found = m_orders.find(order);
    if (found == m_orders.end()) {
        return;
    }
    const auto o = found->second;
    m_orders.erase(found);
    const auto& [from, to, fence] = o.range;
    const auto state = m_range_states.find(o.range);
    const bool ok = outcome == order_outcome::done;
    const bool may_have_arrived =
        ok || (outcome == order_outcome::unknown && m_settings.rules.assume_unanswered_granted);
    update_holds(o, order, may_have_arrived, now);
    update_reachability(o.server, outcome, now);
    if (state == m_range_states.end()) {
        return;
    }
    auto& s = state->second;
    s.order = 0;
    if (ok) {
        s.granted = true;
        if (const auto* range = m_effective_table.find(from); range != nullptr && range->moving()) {
            complete_move(*range, now);
        }
        s.hold = o.hold;
        s.handover.clear();
        s.failing_since = never;
        s.renew_at = o.sent + grant_renew_interval();
        return;
    }
    if (outcome == order_outcome::fenced) {
        s.needs_new_token = true;
        return;
    }
    if (s.failing_since == never) {
        s.failing_since = o.sent;
    }
    s.renew_at = now + m_settings.order_retry_delay;
}

void key_coordinator::release_ended(std::uint64_t order, order_outcome outcome, const std::string& handover,
                                    time_point now) {
    const auto found = m_orders.find(order);
    if (found == m_orders.end()) {
        return;
    }
    const auto o = found->second;
    m_orders.erase(found);
    const auto from = std::get<0>(o.range);
    const auto to = std::get<1>(o.range);
    const auto fence = std::get<2>(o.range);
    update_reachability(o.server, outcome, now);
    const auto state = m_range_states.find(o.range);
    const bool uncertain = has_uncertain_release(o.server, from, to, now);
    const auto ends = uncertain ? now + m_settings.max_request_time : now;
    if (outcome == order_outcome::done) {
        // No new request starts on these keys; requests that may still run end within a known time.
        remove_holds(o.server, from, to, fence);
        if (uncertain && !ended(o.server)) {
            m_holds.push_back({o.server, from, to, ends, order, fence});
        }
    }
    if (outcome != order_outcome::done && outcome != order_outcome::not_sent) {
        std::erase_if(m_uncertain_releases, [&](const uncertain_release& d) { return d.until <= now; });
        m_uncertain_releases.push_back(
            {o.server, from, to, now + m_settings.max_order_delay + m_settings.max_request_time});
    }
    if (outcome == order_outcome::done) {
        // The table may have changed since the release was sent: it counts for every range within these keys.
        for (const auto& range : m_effective_table.ranges) {
            const bool granted_since =
                std::any_of(m_holds.begin(), m_holds.end(), [&](const possible_hold& h) {
                    return h.server == o.server && h.from <= range.to && range.from <= h.to &&
                           h.fence > fence;
                });
            if (range.from >= from && range.to <= to && !granted_since &&
                std::find(range.previous.begin(), range.previous.end(), o.server) != range.previous.end()) {
                auto& s = m_range_states[{range.from, range.to, range.fence}];
                s.released[o.server] = ends;
                if (!handover.empty() && range.from == from && range.to == to) {
                    s.handover = handover;
                }
            }
        }
    }
    if (state == m_range_states.end()) {
        return;
    }
    auto& s = state->second;
    s.releases[o.server] = 0;
    if (outcome == order_outcome::done) {
        return;
    }
    s.release_retry_at[o.server] = now + m_settings.order_retry_delay;
}

} // namespace balsampost::core
