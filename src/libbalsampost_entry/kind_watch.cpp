// The list-and-watch loop, and the updates of other instances.
#include "balsampost/entry/kind_watch.h"

#include "balsampost/entry/event_loop.h"
#include "balsampost/telemetry/log.h"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <utility>

namespace balsampost::entry {

namespace {

// Timeout of a watch call without changes. A call lost in a network partition shows only by this timeout, and
// from three seconds after the partition on, an instance must learn of a leaving server within two seconds.
constexpr core::milliseconds max_watch_wait{2'500};
// Shorter timeout for a while after a failure, when a call is more likely to have been lost: updates then
// arrive within the bounds.
constexpr core::milliseconds cautious_wait{1'200};
constexpr core::milliseconds cautious_time{8'000};
// Timeout while no call has succeeded since a failure. A call lost at the end of a partition, its timeout and
// the delay after it must together stay within the three seconds after the partition.
constexpr core::milliseconds outage_wait{200};
// Delay before the next call, after changes, of a watch that other instances rely on: changes that follow
// closely then arrive in one answer. A follower's delay is half the maximum age of its data.
constexpr core::milliseconds batching_delay{300};
// Timeout of a watch that other instances rely on: it adds at most this much to the age of their data.
constexpr core::milliseconds publisher_wait{600};
// A relay queries the store this fraction of the maximum age before its followers would.
constexpr int relay_lead_percent = 25;
constexpr int percent = 100;
// A store without a fault answers a waiting watch within this time after a change.
constexpr core::milliseconds max_answer_delay{500};
// After an outage of the store, live servers re-create their expired entries within this time.
constexpr core::milliseconds recovery_grace{2'000};
constexpr core::milliseconds initial_retry_delay{
    100}; // Doubled after each further failure, up to the maximum.
constexpr core::milliseconds max_retry_delay{800};
// Maximum while another instance sends updates, however old: it retries as well, and passes on the store's
// answer. An instance cut off from it still learns of a change within three seconds after the partition.
constexpr core::milliseconds max_follower_retry_delay{2'400};
// Without an update for this long, the publisher is taken as lost.
constexpr core::milliseconds publisher_timeout{1'200};

constexpr std::size_t max_object_name_bytes = 253;

/// Reduces objects or changes to their names, without those that no store can have accepted.
template <class T, class Object>
void keep_names(std::vector<T>& all, Object object) {
    std::erase_if(all, [&](T& one) { return object(one).name.size() > max_object_name_bytes; });
    for (auto& one : all) {
        object(one).value.clear();
    }
}

} // namespace

const char* to_string(store_fault fault) {
    constexpr const char* names[] = {"conflict", "history_gone", "refused",
                                     "not_sent", "unknown",      "malformed"};
    return names[static_cast<std::size_t>(fault)];
}

core::milliseconds retry_delay(std::uint32_t failures, bool receives_updates) {
    constexpr std::uint32_t max_doublings = 5;
    const auto doubled = initial_retry_delay * (1U << std::min(std::max(failures, 1U) - 1, max_doublings));
    return std::min<core::milliseconds>(receives_updates ? max_follower_retry_delay : max_retry_delay,
                                        doubled);
}

void kind_watch::list() {
    m_store.list(m_kind, [self = shared_from_this(), sent = now(),
                          generation = m_generation](store_result<object_list> answer) {
        self->answer(generation, [&] { self->list_received(answer, sent); });
    });
}

template <class Step>
void kind_watch::answer(std::uint64_t generation, Step&& step) {
    if (m_stopped || generation != m_generation) {
        return;
    }
    try {
        step();
    } catch (const std::runtime_error&) {
        log_current_exception("watch of the store", "the kind is listed again");
        failed(store_fault::malformed, true);
    }
}

template <class Step>
void kind_watch::later(core::time_point at, Step&& step) {
    m_timers.at(at, [self = shared_from_this(), generation = m_generation, step = std::forward<Step>(step)] {
        if (!self->m_stopped && generation == self->m_generation) {
            step(*self);
        }
    });
}

void kind_watch::epoch_began(core::store::epoch newer, core::milliseconds delay) {
    if (!m_listed || m_revision.epoch() >= newer) {
        return; // A first list is under way, whose answer is of the newer epoch or is given up.
    }
    ++m_generation;
    m_paused = false;
    later(now() + delay, [](kind_watch& self) { self.list(); });
}

void kind_watch::list_received(store_result<object_list>& answer, core::time_point sent) {
    if (!answer) {
        failed(answer.error(), true);
        return;
    }
    if (m_content == watch_content::names) {
        keep_names(answer->objects, [](auto& o) -> stored_object& { return o; });
    }
    const auto not_before = m_known_as_of;
    succeeded(sent);
    if (m_listed && answer->revision.epoch() > m_revision.epoch()) {
        m_recovered_at = m_store_answered_at;
        m_handlers.store_restored();
        if (m_content == watch_content::names) {
            keep_missing_names(*answer);
        }
    }
    log_list(*answer, not_before);
    m_revision = answer->revision;
    if (!std::exchange(m_listed, true)) {
        m_recovered_at = m_store_answered_at; // An outage may have ended just before the first list.
    }
    m_handlers.listed(answer->objects, not_before);
    m_handlers.batch_complete();
    watch_or_pause();
}

void kind_watch::keep_missing_names(object_list& list) {
    std::set<std::string> listed;
    for (const auto& o : list.objects) {
        listed.insert(o.name);
    }
    for (const auto& [name, revision] : m_objects) {
        if (!listed.contains(name)) {
            list.objects.push_back({name, revision, ""});
        }
    }
    if (list.objects.size() > listed.size()) {
        later(now() + recovery_grace, [](kind_watch& self) {
            ++self.m_generation; // In place of the call or the timer that goes on now.
            self.m_paused = false;
            self.list();
        });
    }
}

void kind_watch::log_list(const object_list& list, core::time_point not_before) {
    const bool restored = list.revision.epoch() != m_revision.epoch();
    std::size_t missing = 0;
    std::vector<object_change> changes;
    std::map<std::string, core::store::revision> objects;
    for (const auto& o : list.objects) {
        objects.emplace(o.name, o.revision);
        const auto known = m_objects.find(o.name);
        if (known == m_objects.end() || known->second != o.revision) {
            changes.push_back({o, false, not_before});
        }
    }
    for (const auto& [name, revision] : m_objects) {
        if (!objects.contains(name)) {
            changes.push_back({{name, list.revision, ""}, true, not_before});
            ++missing;
        }
    }
    m_objects = std::move(objects);
    if (m_listed && restored) {
        telemetry::log(telemetry::event::history_replaced, {{"kind", m_kind},
                                                            {"revision_before", to_string(m_revision)},
                                                            {"revision", to_string(list.revision)},
                                                            {"objects", std::to_string(m_objects.size())},
                                                            {"missing", std::to_string(missing)}});
    }
    if (!m_listed || restored) {
        m_log.reset(list.revision); // No difference leads from one epoch to another.
        return;
    }
    std::sort(changes.begin(), changes.end(),
              [](const auto& a, const auto& b) { return a.object.revision < b.object.revision; });
    m_log.append(changes, list.revision);
}

void kind_watch::watch() {
    ++m_watch_calls;
    const auto wait = m_outage_since != core::never    ? outage_wait
                      : m_role != watch_role::follower ? publisher_wait
                      : now() < m_short_waits_until    ? cautious_wait
                                                       : max_watch_wait;
    m_store.watch(m_kind, m_revision, wait,
                  [self = shared_from_this(), sent = now(),
                   generation = m_generation](store_result<object_changes> answer) {
                      self->answer(generation, [&] { self->changes_received(answer, sent); });
                  });
}

core::time_point kind_watch::earliest_change(core::time_point sent) const {
    const bool was_waiting = m_outage_since == core::never && now() - sent >= max_answer_delay;
    return was_waiting ? std::max<core::time_point>(m_known_as_of, now() - max_answer_delay) : m_known_as_of;
}

void kind_watch::changes_received(store_result<object_changes>& answer, core::time_point sent) {
    if (!answer) {
        // A repeated watch would get the same malformed changes again; a list may do without them.
        failed(answer.error(),
               answer.error() == store_fault::history_gone || answer.error() == store_fault::malformed);
        return;
    }
    if (m_content == watch_content::names) {
        keep_names(answer->changes, [](auto& c) -> stored_object& { return c.object; });
    }
    for (auto& change : answer->changes) {
        change.not_before = earliest_change(sent);
    }
    succeeded(now());
    const bool has_changes = !answer->changes.empty() && answer->revision > m_revision;
    // An answer older than an update received meanwhile from another instance would revert that update.
    if (answer->revision >= m_revision) {
        apply(answer->changes, answer->revision);
    }
    if (!has_changes) {
        watch_or_pause();
        return;
    }
    later(now() + (m_role != watch_role::follower ? batching_delay : m_max_age / 2),
          [](kind_watch& self) { self.watch_or_pause(); });
}

void kind_watch::apply(const std::vector<object_change>& changes, const core::store::revision& revision) {
    m_log.append(changes, revision);
    m_revision = revision;
    for (const auto& change : changes) {
        if (change.removed) {
            m_objects.erase(change.object.name);
        } else {
            m_objects[change.object.name] = change.object.revision;
        }
        m_handlers.changed(change);
    }
    if (!changes.empty()) {
        m_handlers.batch_complete();
    }
}

void kind_watch::watch_or_pause() {
    if (m_role == watch_role::publisher || now() >= paused_until()) {
        watch();
        return;
    }
    m_paused = true;
    telemetry::log(telemetry::event::peer_updates_started,
                   {{"kind", m_kind}, {"revision", to_string(m_revision)}});
    schedule_resume();
}

core::time_point kind_watch::paused_until() const {
    if (m_role != watch_role::relay || m_peer_fresh_until == core::never) {
        return m_peer_fresh_until;
    }
    return m_peer_fresh_until - m_max_age * relay_lead_percent / percent;
}

void kind_watch::schedule_resume() {
    later(paused_until(), [](kind_watch& self) {
        if (!self.m_paused) {
            return;
        }
        if (now() < self.paused_until()) {
            self.schedule_resume();
            return;
        }
        self.m_paused = false;
        telemetry::log(telemetry::event::peer_updates_ended,
                       {{"kind", self.m_kind}, {"revision", to_string(self.m_revision)}});
        self.watch();
    });
}

// Updates from other instances

void kind_watch::set_role(watch_role role) {
    m_role = role;
    if (role == watch_role::publisher && std::exchange(m_paused, false)) {
        watch();
    }
}

feed_segment kind_watch::segment_since(const core::store::revision& revision) const {
    auto segment = m_log.since(revision);
    const auto at = now();
    const auto ms = [](core::duration d) {
        return static_cast<std::uint32_t>(
            std::max<std::int64_t>(0, std::chrono::duration_cast<core::milliseconds>(d).count()));
    };
    segment.kind = m_kind;
    for (auto& c : segment.changes) {
        c.max_age_ms = c.not_before == core::never ? unknown_age_ms : ms(at - c.not_before);
    }
    if (last_from_peer()) {
        segment.age_ms = ms(at - m_known_as_of);
        segment.grace_ms = m_peer_grace_until == core::never ? 0 : ms(m_peer_grace_until - at);
        return segment;
    }
    segment.age_ms = m_outage_since != core::never || m_store_answered_at == core::never
                         ? unknown_age_ms
                         : ms(at - m_store_answered_at);
    segment.grace_ms = m_recovered_at == core::never ? 0 : ms(m_recovered_at + recovery_grace - at);
    return segment;
}

bool kind_watch::receive(const feed_segment& segment) {
    m_last_peer_update = now();
    m_sender_revision = segment.latest;
    const auto until = now() + m_max_age - core::milliseconds{segment.age_ms};
    if (m_role == watch_role::publisher || until <= now()) {
        receive_changes(segment);
        return false;
    }
    if (!m_listed || !can_apply(segment, m_revision)) {
        return false;
    }
    const auto known_before = m_known_as_of;
    if (!segment.has_more()) { // Otherwise the data is only as recent as it was.
        m_peer_fresh_until = std::max(m_peer_fresh_until, until);
        const auto known_as_of = until - m_max_age;
        if (m_known_as_of == core::never || known_as_of > m_known_as_of) {
            m_known_as_of = known_as_of;
            m_peer_grace_until = now() + core::milliseconds{segment.grace_ms};
        }
        if (m_outage_since != core::never && known_as_of > m_outage_since) {
            end_outage("peer"); // The sender states the grace period that it began.
        }
    }
    m_handlers.grace_received(core::milliseconds{segment.grace_ms});
    apply(segment, known_before);
    return segment.has_more();
}

void kind_watch::receive_changes(const feed_segment& segment) {
    if (m_content == watch_content::names && m_listed && can_apply(segment, m_revision)) {
        apply(segment, m_known_as_of);
    }
}

void kind_watch::apply(const feed_segment& segment, core::time_point known_before) {
    if (segment.to == m_revision) {
        return;
    }
    std::vector<object_change> changes;
    for (const auto& c : segment.changes) {
        const auto not_before =
            c.max_age_ms < unknown_age_ms ? now() - core::milliseconds{c.max_age_ms} : core::never;
        // A change that is repeated was known before, so its time is the sender's alone.
        const bool repeated = m_content == watch_content::names && c.revision <= m_revision;
        changes.push_back({{c.name, c.revision, c.value},
                           c.removed,
                           repeated ? not_before : std::max<core::time_point>(known_before, not_before)});
    }
    apply(changes, segment.to);
}

// Failures of the store

void kind_watch::succeeded(core::time_point known_as_of) {
    m_failures = 0;
    m_store_answered_at = now();
    m_known_as_of = std::max(m_known_as_of, known_as_of);
    if (m_outage_since != core::never) {
        const auto outage = end_outage("store");
        if (outage >= tolerated_outage) {
            m_recovered_at = m_store_answered_at;
        }
        m_handlers.store_recovered(outage);
    }
}

core::milliseconds kind_watch::end_outage(const char* answered_by) {
    const auto since = std::exchange(m_outage_since, core::never);
    const auto outage = std::chrono::duration_cast<core::milliseconds>(now() - since);
    telemetry::log(
        telemetry::event::store_recovered,
        {{"kind", m_kind}, {"out_ms", std::to_string(outage.count())}, {"answered_by", answered_by}});
    return outage;
}

void kind_watch::failed(store_fault fault, bool relist) {
    const bool history_gone = fault == store_fault::history_gone;
    m_short_waits_until = now() + cautious_time;
    if (!history_gone) {
        if (m_outage_since == core::never) {
            m_outage_since = now();
            telemetry::log(telemetry::event::store_unavailable,
                           {{"kind", m_kind}, {"fault", to_string(fault)}});
            m_handlers.store_failed(fault);
        }
        ++m_failures;
    }
    const bool receives_updates = m_role == watch_role::follower && m_last_peer_update != core::never &&
                                  now() - m_last_peer_update < publisher_timeout;
    const auto delay = history_gone ? core::milliseconds{0} : retry_delay(m_failures, receives_updates);
    later(now() + delay, [relist](kind_watch& self) {
        if (relist || !self.m_listed) {
            self.list();
        } else {
            self.watch_or_pause();
        }
    });
}

} // namespace balsampost::entry
