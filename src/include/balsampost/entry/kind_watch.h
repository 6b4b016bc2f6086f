// Follows all objects of one kind in the store: a list, then changes, and a new list when the changes were
// lost. While another instance tells the changes, and its knowledge is young enough, nothing is asked of the
// store.
#pragma once

#include "balsampost/entry/change_feed.h"
#include "balsampost/entry/platform.h"
#include "balsampost/entry/timers.h"

#include <memory>

namespace balsampost::entry {

/// An outage of the store shorter than this lets no entry lapse.
inline constexpr core::milliseconds harmless_outage{500};

/// What a watch tells. Called on the watching thread.
struct watch_handlers {
    std::function<void(const std::vector<stored_object>&)> listed;
    std::function<void(const object_change&)> changed;
    /// After `listed` and after each run of `changed`.
    std::function<void()> settled;
    /// The store answers again, after it did not for `out`, to this instance.
    std::function<void(core::milliseconds out)> returned;
    std::function<void(store_fault)> lost;
    /// Who tells the changes says that for `time` what is missing may still come back; 0: it is gone.
    std::function<void(core::milliseconds time)> doubted = [](core::milliseconds) {};
};

/// What other instances expect of a watch.
enum class watch_role : std::uint8_t {
    follower,  ///< Nothing: it rests while others publish.
    relay,     ///< It passes updates on; when they grow old, it asks the store before its followers must.
    publisher, ///< It never rests.
};

/// Before a call is made again after `failures` in a row; longer while others try too and will say what they
/// learn.
core::milliseconds retry_pause(std::uint32_t failures, bool others_try);

class kind_watch : public std::enable_shared_from_this<kind_watch> {
public:
    /// `most_age`: of what is told; beyond it this instance asks the store itself.
    kind_watch(object_store& store, timers& clock, std::string kind, core::milliseconds most_age,
               watch_handlers handlers)
        : m_store(store), m_timers(clock), m_kind(std::move(kind)), m_most_age(most_age),
          m_handlers(std::move(handlers)) {}

    void start() { list(); }
    void stop() { m_stopped = true; }
    bool listed() const { return m_listed; }
    const std::string& kind() const { return m_kind; }
    std::uint64_t revision() const { return m_revision; }
    std::uint32_t own_watches() const { return m_own_watches; }

    void set_role(watch_role role);
    /// What to tell a receiver at `revision`; its age counts from the store's last answer to this instance or
    /// to the one that it was told by.
    feed_part told_since(std::uint64_t revision) const;
    /// Another instance's part arrived.
    void take(const feed_part& part);

private:
    void list();
    void watch();
    void list_arrived(store_result<object_list>& answer);
    void changes_arrived(store_result<object_changes>& answer);
    void apply(const std::vector<object_change>& changes, std::uint64_t revision);
    void failed(store_fault fault, bool again_from_list);
    void succeeded();
    /// Watches on, or waits while others tell.
    void go_on();
    void rest();
    /// Until when this watch rests.
    core::time_point rests_until() const;
    bool told_last() const { return m_as_of != core::never && m_as_of > m_answered_at; }

    object_store& m_store;
    timers& m_timers;
    std::string m_kind;
    core::milliseconds m_most_age;
    watch_handlers m_handlers;
    std::uint64_t m_revision = 0; // All changes up to it have been told to the handlers.
    change_log m_log;             // Ends at m_revision.
    bool m_listed = false;
    bool m_stopped = false;
    watch_role m_role = watch_role::follower;
    bool m_asleep = false; // Others tell: a timer will go on, and no call is under way.
    std::uint32_t m_own_watches = 0;
    core::time_point m_told_until = core::never;  // What others told is young enough until then.
    core::time_point m_update_at = core::never;   // Of the last update of another instance.
    core::time_point m_answered_at = core::never; // By the store.
    core::time_point m_as_of = core::never;       // What is known was true then, by whoever said so last.
    core::time_point m_told_grace_until = core::never; // By whom this instance was told last.
    core::time_point m_returned_at = core::never;      // First list, or the end of the last outage.
    core::time_point m_out_since = core::never;
    std::uint32_t m_failures = 0; // In a row.
    core::time_point m_careful_until = core::never;
};

} // namespace balsampost::entry
