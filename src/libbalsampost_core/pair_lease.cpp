// Implementation of the two-party lease.
#include "balsampost/core/pair_lease.h"

#include <algorithm>

namespace balsampost::core {

namespace {

/// Two unresolved writes are enough: once either of them takes effect, the condition of the other fails.
constexpr std::size_t max_unresolved_writes = 2;

} // namespace

pair_timing pair_timing_of(const profile& p) {
    return {p.promise_length, p.solo_lease_length, p.suspect_timeout, p.renew_interval, p.drift_percent};
}

pair_lease::pair_lease(instance_id self, pair_timing timing, pair_rules rules)
    : m_self(std::move(self)), m_timing(timing), m_rules(rules) {}

void pair_lease::observe(const lease_object& object, time_point now) {
    if (object.version <= m_known.version) {
        return;
    }
    time_point solo_until = never;
    for (const auto& write : m_pending) {
        const bool same_pair = write.value.holder == object.holder && write.value.standby == object.standby;
        const bool own_write = m_rules.reuse_write_id ? write.value.write_id == object.write_id : same_pair;
        if (own_write && same_pair && write.value.solo() && write.value.holder == m_self) {
            solo_until = std::max(solo_until,
                                  after(write.sent, m_timing.shortened_by_drift(m_timing.solo_lease_length)));
        }
    }
    std::erase_if(m_pending, [&](const pending_write& w) { return w.based_on < object.version; });
    m_known = object;
    m_observed = now;
    m_solo_until = solo_until;
    if (m_known.holder != m_self) {
        m_last_request = now; // Gives a new holder the suspect timeout to request a promise.
    }
}

time_point pair_lease::promise_expiry(const instance_id& standby) const {
    const auto at = m_received_promises.find(standby);
    return at == m_received_promises.end() ? never : at->second;
}

time_point pair_lease::authority_until() const {
    if (!is_holder()) {
        return never;
    }
    time_point until = m_known.solo() ? m_solo_until : promise_expiry(m_known.standby);
    if (!m_rules.require_both_bases) {
        return until;
    }
    for (const auto& write : m_pending) {
        if (write.value.holder != m_self) {
            continue;
        }
        if (!write.value.solo()) {
            until = std::min(until, promise_expiry(write.value.standby));
        } else if (!m_known.solo()) {
            // Others count the solo lease from when the write takes effect, which is never before it was
            // sent.
            until =
                std::min(until, after(write.sent, m_timing.shortened_by_drift(m_timing.solo_lease_length)));
        }
    }
    return until;
}

bool pair_lease::takeover_unresolved() const {
    return std::any_of(m_pending.begin(), m_pending.end(), [&](const pending_write& w) {
        return w.value.holder == m_self && m_known.holder != m_self;
    });
}

std::optional<duration> pair_lease::grant_promise(const instance_id& holder, time_point now) {
    if (m_known.version == 0 || m_known.holder != holder || holder == m_self) {
        return std::nullopt;
    }
    if (m_rules.no_promise_while_pending && takeover_unresolved()) {
        return std::nullopt;
    }
    m_last_request = now;
    m_own_promise_until = std::max(m_own_promise_until, now + m_timing.promise_length);
    return m_timing.promise_length;
}

void pair_lease::promised(const instance_id& standby, time_point sent_at) {
    auto& until = m_received_promises.try_emplace(standby, never).first->second;
    until = std::max(until, after(sent_at, m_timing.shortened_by_drift(m_timing.promise_length)));
}

std::optional<lease_object> pair_lease::holder_write(const pair_view& view, time_point now) const {
    lease_object next = m_known;
    if (view.resigning && !m_known.solo()) {
        return std::nullopt; // A leaving holder lets the promise expire, and the standby takes over.
    }
    const bool candidate_promised = !view.next_standby.empty() && now < promise_expiry(view.next_standby);
    if (m_known.solo()) {
        if (candidate_promised) {
            next.standby = view.next_standby;
            return next;
        }
        const bool renewal_due =
            now >= after(m_solo_until, -m_timing.solo_lease_length / 2) || m_solo_until == never;
        return renewal_due ? std::optional(next) : std::nullopt;
    }
    const time_point last_promise_sent =
        after(promise_expiry(m_known.standby), -m_timing.shortened_by_drift(m_timing.promise_length));
    const bool silent = last_promise_sent == never || now - last_promise_sent >= m_timing.suspect_timeout;
    const bool standby_had_time = now - m_observed >= m_timing.suspect_timeout;
    if (view.standby_removed || (silent && standby_had_time)) {
        next.standby =
            candidate_promised && view.next_standby != m_known.standby ? view.next_standby : instance_id{};
        return next;
    }
    return std::nullopt;
}

bool pair_lease::may_take_over(const pair_view& view, time_point now) const {
    if (view.resigning || (m_rules.wait_promise && now < m_own_promise_until)) {
        return false;
    }
    if (m_known.version == 0) {
        return view.first_candidate;
    }
    if (is_standby()) {
        return view.holder_removed || now - m_last_request >= m_timing.suspect_timeout;
    }
    if (m_known.solo()) {
        const bool lapsed = !m_rules.observe_solo_lease || now - m_observed >= m_timing.solo_lease_length;
        return lapsed && view.first_candidate;
    }
    // Holder and standby must both have been removed, and the last promise of the standby must have expired.
    const bool waited = now - m_observed >= m_timing.promise_length;
    return view.holder_removed && view.standby_removed && view.first_candidate && waited;
}

std::optional<lease_object> pair_lease::next_write(const pair_view& view, time_point now) const {
    std::optional<lease_object> next;
    if (is_holder()) {
        next = holder_write(view, now);
    } else if (may_take_over(view, now)) {
        next = lease_object{m_known.version, m_self, {}, m_known.term + 1, 0, 0};
    }
    if (!next) {
        return std::nullopt;
    }
    // Repeating a change resends the same write: it takes effect at most once, and a lease won by it counts
    // from the first sending.
    for (const auto& write : m_pending) {
        if (m_rules.reuse_write_id && write.based_on == m_known.version &&
            write.value.holder == next->holder && write.value.standby == next->standby) {
            return write.value;
        }
    }
    next->write_id = 0;
    return m_pending.size() < max_unresolved_writes ? next : std::nullopt;
}

void pair_lease::sent(const lease_object& value, time_point now) {
    m_pending.push_back({m_known.version, value, now});
}

void pair_lease::discard_write(std::uint64_t write_id) {
    std::erase_if(m_pending, [&](const pending_write& w) { return w.value.write_id == write_id; });
}

void pair_lease::append_state(std::string& out) const {
    const auto add_number = [&](std::int64_t n) { out.append(reinterpret_cast<const char*>(&n), sizeof n); };
    const auto add_time = [&](time_point t) { add_number(t == never ? -1 : t.time_since_epoch().count()); };
    const auto add_object = [&](const lease_object& o) {
        add_number(static_cast<std::int64_t>(o.version));
        out += o.holder.name + "/" + o.standby.name + ",";
        add_number(static_cast<std::int64_t>(o.write_id));
    };
    add_object(m_known);
    add_time(m_observed);
    add_time(m_last_request);
    for (const auto& [grantor, until] : m_received_promises) {
        out += grantor.name;
        add_time(until);
    }
    add_time(m_own_promise_until);
    add_time(m_solo_until);
    for (const auto& write : m_pending) {
        add_object(write.value);
        add_number(static_cast<std::int64_t>(write.based_on));
        add_time(write.sent);
    }
}

} // namespace balsampost::core
