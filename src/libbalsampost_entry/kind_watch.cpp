// The loop of list and watch.
#include "balsampost/entry/kind_watch.h"

#include "balsampost/telemetry/log.h"

#include <algorithm>
#include <utility>

namespace balsampost::entry {

namespace {

// A watch that hears nothing ends after this. A call that a cut swallowed shows by nothing else, and an
// instance must know of a leaving server within the bound of two seconds, three seconds after the cut.
constexpr core::milliseconds longest_wait{2'500};
// After a failure a call may have been lost on the way, which nothing but its own end shows: for a while
// calls are short, so that news is no later than the bounds allow.
constexpr core::milliseconds careful_wait{1'200};
constexpr core::milliseconds careful_time{8'000};
// While no call has succeeded since: with its end and the pause after it, one that the last of a cut
// swallowed must not use up the three seconds after it.
constexpr core::milliseconds trying_wait{200};
// After changes, before the next call of a watch that others rely on: those that follow closely come in one
// answer. Another's pause is half the age that its knowledge may have.
constexpr core::milliseconds telling_pause{300};
// Of a watch that others rely on: their knowledge is at most this much older.
constexpr core::milliseconds telling_wait{600};
// A relay asks the store itself this part of the allowed age before its followers would.
constexpr int relay_lead_percent = 25;
constexpr int percent = 100;
constexpr std::uint32_t unknown_age_ms = 1U << 30U;
constexpr core::milliseconds return_time{2'000}; // Within it, lapsed entries of servers that live are back.
constexpr core::milliseconds first_pause{100};   // After a failed call; doubled up to the longest.
constexpr core::milliseconds longest_pause{800};
// The same while another instance sends updates, however old: it tries as well, and will pass the store's
// answer on. Those who are cut off from it still know of a change within the three seconds after a cut.
constexpr core::milliseconds longest_follower_pause{2'400};
constexpr core::milliseconds publisher_lost{1'200};

} // namespace

const char* to_string(store_fault fault) {
    constexpr const char* names[] = {"conflict", "history_gone", "refused",
                                     "not_sent", "unknown",      "malformed"};
    return names[static_cast<std::size_t>(fault)];
}

core::milliseconds retry_pause(std::uint32_t failures, bool others_try) {
    constexpr std::uint32_t most_doublings = 5;
    const auto doubled = first_pause * (1U << std::min(std::max(failures, 1U) - 1, most_doublings));
    return std::min<core::milliseconds>(others_try ? longest_follower_pause : longest_pause, doubled);
}

void kind_watch::list() {
    m_store.list(m_kind, [self = shared_from_this()](store_result<object_list> answer) {
        if (!self->m_stopped) {
            self->list_arrived(answer);
        }
    });
}

void kind_watch::list_arrived(store_result<object_list>& answer) {
    if (!answer) {
        failed(answer.error(), true);
        return;
    }
    succeeded();
    m_revision = answer->revision;
    m_log.listed(m_revision);
    if (!std::exchange(m_listed, true)) {
        m_returned_at = m_answered_at; // What was before is not known.
    }
    m_handlers.listed(answer->objects);
    m_handlers.settled();
    go_on();
}

void kind_watch::watch() {
    ++m_own_watches;
    const auto wait = m_out_since != core::never       ? trying_wait
                      : m_role != watch_role::follower ? telling_wait
                      : now() < m_careful_until        ? careful_wait
                                                       : longest_wait;
    m_store.watch(m_kind, m_revision, wait, [self = shared_from_this()](store_result<object_changes> answer) {
        if (!self->m_stopped) {
            self->changes_arrived(answer);
        }
    });
}

void kind_watch::changes_arrived(store_result<object_changes>& answer) {
    if (!answer) {
        failed(answer.error(), answer.error() == store_fault::history_gone);
        return;
    }
    succeeded();
    const bool news = !answer->changes.empty() && answer->revision > m_revision;
    // An answer from before what others told meanwhile would undo it.
    if (answer->revision >= m_revision) {
        apply(answer->changes, answer->revision);
    }
    if (!news) {
        go_on();
        return;
    }
    m_timers.at(now() + (m_role != watch_role::follower ? telling_pause : m_most_age / 2),
                [self = shared_from_this()] {
                    if (!self->m_stopped) {
                        self->go_on();
                    }
                });
}

void kind_watch::apply(const std::vector<object_change>& changes, std::uint64_t revision) {
    m_log.append(changes, revision);
    m_revision = revision;
    for (const auto& change : changes) {
        m_handlers.changed(change);
    }
    if (!changes.empty()) {
        m_handlers.settled();
    }
}

void kind_watch::go_on() {
    if (m_role == watch_role::publisher || now() >= rests_until()) {
        watch();
        return;
    }
    m_asleep = true;
    telemetry::log(telemetry::event::peer_updates_started,
                   {{"kind", m_kind}, {"revision", std::to_string(m_revision)}});
    rest();
}

core::time_point kind_watch::rests_until() const {
    if (m_role != watch_role::relay || m_told_until == core::never) {
        return m_told_until;
    }
    return m_told_until - m_most_age * relay_lead_percent / percent;
}

void kind_watch::rest() {
    m_timers.at(rests_until(), [self = shared_from_this()] {
        if (self->m_stopped || !self->m_asleep) {
            return;
        }
        if (now() < self->rests_until()) {
            self->rest();
            return;
        }
        self->m_asleep = false;
        telemetry::log(telemetry::event::peer_updates_ended,
                       {{"kind", self->m_kind}, {"revision", std::to_string(self->m_revision)}});
        self->watch();
    });
}

// What others tell

void kind_watch::set_role(watch_role role) {
    m_role = role;
    if (role == watch_role::publisher && std::exchange(m_asleep, false)) {
        watch();
    }
}

feed_part kind_watch::told_since(std::uint64_t revision) const {
    auto part = m_log.since(revision);
    const auto at = now();
    const auto ms = [](core::duration d) {
        return static_cast<std::uint32_t>(
            std::max<std::int64_t>(0, std::chrono::duration_cast<core::milliseconds>(d).count()));
    };
    part.kind = m_kind;
    if (told_last()) {
        part.age_ms = ms(at - m_as_of);
        part.doubt_ms = m_told_grace_until == core::never ? 0 : ms(m_told_grace_until - at);
        return part;
    }
    part.age_ms =
        m_out_since != core::never || m_answered_at == core::never ? unknown_age_ms : ms(at - m_answered_at);
    part.doubt_ms = m_returned_at == core::never ? 0 : ms(m_returned_at + return_time - at);
    return part;
}

void kind_watch::take(const feed_part& part) {
    m_update_at = now();
    const auto until = now() + m_most_age - core::milliseconds{part.age_ms};
    if (!m_listed || m_role == watch_role::publisher || !applies_at(part, m_revision) || until <= now()) {
        return;
    }
    m_told_until = std::max(m_told_until, until);
    const auto as_of = until - m_most_age;
    if (m_as_of == core::never || as_of > m_as_of) {
        m_as_of = as_of;
        m_told_grace_until = now() + core::milliseconds{part.doubt_ms};
    }
    m_handlers.doubted(core::milliseconds{part.doubt_ms});
    if (part.to == m_revision) {
        return;
    }
    std::vector<object_change> changes;
    for (const auto& c : part.changes) {
        changes.push_back({{c.name, c.revision, c.value}, c.removed});
    }
    apply(changes, part.to);
}

// The store's failures

void kind_watch::succeeded() {
    m_failures = 0;
    m_answered_at = m_as_of = now();
    if (m_out_since != core::never) {
        const auto out = std::chrono::duration_cast<core::milliseconds>(now() - m_out_since);
        m_out_since = core::never;
        if (out >= harmless_outage) {
            m_returned_at = m_answered_at;
        }
        telemetry::log(telemetry::event::store_recovered,
                       {{"kind", m_kind}, {"out_ms", std::to_string(out.count())}});
        m_handlers.returned(out);
    }
}

void kind_watch::failed(store_fault fault, bool again_from_list) {
    const bool gone = fault == store_fault::history_gone;
    m_careful_until = now() + careful_time;
    if (!gone) {
        if (m_out_since == core::never) {
            m_out_since = now();
            telemetry::log(telemetry::event::store_unavailable,
                           {{"kind", m_kind}, {"fault", to_string(fault)}});
            m_handlers.lost(fault);
        }
        ++m_failures;
    }
    const bool others_try =
        m_role == watch_role::follower && m_update_at != core::never && now() - m_update_at < publisher_lost;
    const auto pause = gone ? core::milliseconds{0} : retry_pause(m_failures, others_try);
    m_timers.at(now() + pause, [self = shared_from_this(), again_from_list] {
        if (self->m_stopped) {
            return;
        }
        if (again_from_list || !self->m_listed) {
            self->list();
        } else {
            self->go_on();
        }
    });
}

} // namespace balsampost::entry
