// The loop of list and watch.
#include "balsampost/entry/kind_watch.h"

#include "balsampost/telemetry/log.h"

#include <algorithm>

namespace balsampost::entry {

namespace {

// A watch that hears nothing ends after this. A call that a cut swallowed shows by nothing else, and an
// instance must know of a leaving server within the bound of two seconds, three seconds after the cut.
constexpr core::milliseconds longest_wait{2'500};
// After a failure a call may have been lost on the way, which nothing but its own end shows: for a while
// calls are short, so that news is no later than the bounds allow.
constexpr core::milliseconds careful_wait{1'200};
constexpr core::milliseconds careful_time{8'000};
// After changes, before the next call: those that follow closely come in one answer. Small beside the bounds
// within which a change must be acted on.
constexpr core::milliseconds batch_pause{300};
constexpr core::milliseconds first_pause{100}; // After a failed call; doubled up to the longest.
constexpr core::milliseconds longest_pause{800};

} // namespace

const char* to_string(store_fault fault) {
    constexpr const char* names[] = {"conflict", "history_gone", "refused",
                                     "not_sent", "unknown",      "malformed"};
    return names[static_cast<std::size_t>(fault)];
}

void kind_watch::list() {
    m_store.list(m_kind, [self = shared_from_this()](store_result<object_list> answer) {
        if (self->m_stopped) {
            return;
        }
        if (!answer) {
            self->failed(answer.error(), true);
            return;
        }
        self->succeeded();
        self->m_revision = answer->revision;
        self->m_listed = true;
        self->m_handlers.listed(answer->objects);
        self->m_handlers.settled();
        self->watch();
    });
}

void kind_watch::watch() {
    const auto wait = now() < m_careful_until ? careful_wait : longest_wait;
    m_store.watch(m_kind, m_revision, wait, [self = shared_from_this()](store_result<object_changes> answer) {
        if (self->m_stopped) {
            return;
        }
        if (!answer) {
            self->failed(answer.error(), answer.error() == store_fault::history_gone);
            return;
        }
        self->succeeded();
        self->m_revision = std::max(self->m_revision, answer->revision);
        for (const auto& change : answer->changes) {
            self->m_handlers.changed(change);
        }
        if (answer->changes.empty()) {
            self->watch();
            return;
        }
        self->m_handlers.settled();
        self->m_timers.at(now() + batch_pause, [self] {
            if (!self->m_stopped) {
                self->watch();
            }
        });
    });
}

void kind_watch::succeeded() {
    m_failures = 0;
    if (m_out_since != core::never) {
        const auto out = std::chrono::duration_cast<core::milliseconds>(now() - m_out_since);
        m_out_since = core::never;
        telemetry::log(telemetry::event::store_back,
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
    const auto pause =
        gone ? core::milliseconds{0}
             : std::min(longest_pause, first_pause * (1U << std::min<std::uint32_t>(m_failures - 1, 3)));
    m_timers.at(now() + pause, [self = shared_from_this(), again_from_list] {
        if (self->m_stopped) {
            return;
        }
        if (again_from_list || !self->m_listed) {
            self->list();
        } else {
            self->watch();
        }
    });
}

} // namespace balsampost::entry
