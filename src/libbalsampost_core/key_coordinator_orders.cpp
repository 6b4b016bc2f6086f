// Grants and releases: what servers may hold, what clears the way for a grant, and what follows from each
// outcome.
#include "balsampost/core/key_coordinator.h"

#include <algorithm>
#include <iterator>

namespace balsampost::core {

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
    // What has run out, and what this grant outlasts on the same keys, tells nothing any more. A later
    // release may have ended this grant's own hold: then it outlasts nothing.
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
    order_room room{{}, m_settings.most_orders, m_settings.most_orders_in_all};
    for (const auto& [order, o] : m_orders) {
        room.take(o.server);
    }
    const auto& runs = m_view.runs;
    const auto first =
        std::find_if(runs.begin(), runs.end(), [&](const key_run& r) { return r.to >= m_next_run; });
    const auto begin = static_cast<std::size_t>(first == runs.end() ? 0 : first - runs.begin());
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const auto& run = runs[(begin + i) % runs.size()];
        if (room.full()) {
            m_next_run = run.from; // An order's end brings the next step.
            return;
        }
        step_releases(run, room, now, out);
        step_grant(run, room, now, out);
    }
}

void key_coordinator::step_releases(const key_run& run, order_room& room, time_point now,
                                    std::vector<coordinator_action>& out) {
    auto& s = m_runs[{run.from, run.to, run.fence}];
    for (const auto& p : run.previous) {
        if (s.released.contains(p) || ended(p) || s.releases[p] != 0 || !m_addresses.contains(p) ||
            !room.has_room(p) || release_under_way(p, run.from, run.to)) {
            continue;
        }
        const auto again = s.release_again[p];
        if (now < again) {
            due(again);
            continue;
        }
        const auto order = m_next_order++;
        s.releases[p] = order;
        room.take(p);
        m_orders[order] = {{run.from, run.to, run.fence}, p, milliseconds{0}, now};
        out.emplace_back(send_release{order, p, address_of(p), run.from, run.to, run.fence});
    }
}

void key_coordinator::step_grant(const key_run& run, order_room& room, time_point now,
                                 std::vector<coordinator_action>& out) {
    auto& s = m_runs[{run.from, run.to, run.fence}];
    if (run.owner.empty() || ended(run.owner) || s.order != 0 || s.refence ||
        !m_addresses.contains(run.owner) || !room.has_room(run.owner)) {
        return;
    }
    if (!previous_cleared(run, s, now)) {
        due(now + milliseconds{50});
        return;
    }
    const auto hold = m_store_falters ? m_settings.longest_hold : m_settings.hold;
    const bool lengthen = m_store_falters && s.granted && s.hold < hold && s.failing_since == never;
    if (now < s.renew_at && !lengthen) {
        due(s.renew_at);
        return;
    }
    const auto order = m_next_order++;
    s.order = order;
    room.take(run.owner);
    // Until the answer or the reset of its connection the grant may arrive at any time.
    m_holds.push_back({run.owner, run.from, run.to, time_point::max(), order, run.fence});
    m_orders[order] = {{run.from, run.to, run.fence}, run.owner, hold, now};
    out.emplace_back(
        send_grant{order, run.owner, address_of(run.owner), run.from, run.to, run.fence, hold, s.handover});
}

milliseconds key_coordinator::renew_pause() const {
    const auto all = milliseconds(static_cast<std::int64_t>(1000 * static_cast<double>(m_view.runs.size()) /
                                                            m_settings.renewals_per_s));
    return std::clamp(all, m_settings.renew_hold, m_settings.longest_renew);
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
    note_contact(o.server, outcome, now);
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
        s.renew_at = o.sent + renew_pause();
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
    note_contact(o.server, outcome, now);
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

} // namespace balsampost::core
