// Follows all objects of one kind in the store: reads a list, then watches for changes, and lists again when
// the store no longer has the changes. While another instance publishes changes that are recent enough, no
// call is made to the store.
#pragma once

#include "balsampost/entry/change_feed.h"
#include "balsampost/entry/platform.h"
#include "balsampost/entry/timers.h"

#include <map>
#include <memory>
#include <string>

namespace balsampost::entry {

/// During an outage of the store shorter than this, no server's entry expires.
inline constexpr core::milliseconds tolerated_outage{500};

/// Callbacks of a watch, called on its thread.
struct watch_handlers {
    /// A complete list was read. Its differences from the objects known before were made after `not_before`.
    std::function<void(const std::vector<stored_object>&, core::time_point not_before)> listed;
    std::function<void(const object_change&)> changed;
    /// Called after `listed`, and after each series of calls of `changed`.
    std::function<void()> batch_complete;
    /// The store answers this instance again after an outage that lasted `outage`.
    std::function<void(core::milliseconds outage)> store_recovered;
    /// The first call failed after a successful one.
    std::function<void(store_fault)> store_failed;
    /// The publisher of the changes reports that missing objects may still reappear within `grace`; with 0,
    /// they have been removed.
    std::function<void(core::milliseconds grace)> grace_received = [](core::milliseconds) {};
    /// Called before `listed` with the first list after the store was restored from an older copy: objects
    /// that are missing from it may be written again.
    std::function<void()> store_restored = [] {};
};

/// What other instances rely on a watch for.
enum class watch_role : std::uint8_t {
    follower,  ///< No instance relies on it; it makes no calls while others publish.
    relay,     ///< Forwards updates. When they grow old, it queries the store before its followers have to.
    publisher, ///< Always watches the store.
};

/// What the objects of a kind mean to their followers.
enum class watch_content : std::uint8_t {
    values, ///< Their values count, and only as long as they are known to be recent.
    /// Only their names count, also after the store has become unavailable: changes are applied whatever the
    /// age of the sender's data, and by a publisher as well. Values and names of more than 253 bytes are
    /// dropped, so that the changes always fit into a message.
    names,
};

/// Returns the delay before a call is repeated after `failures` consecutive failures. The delay is longer if
/// the instance receives updates from a publisher, which retries as well and passes on the store's answer.
core::milliseconds retry_delay(std::uint32_t failures, bool receives_updates);

class kind_watch : public std::enable_shared_from_this<kind_watch> {
public:
    /// `max_age`: maximum age of data received from other instances; when it is older, this instance queries
    /// the store itself.
    kind_watch(object_store& store, timers& clock, std::string kind, core::milliseconds max_age,
               watch_handlers handlers, watch_content content = watch_content::values)
        : m_store(store), m_timers(clock), m_kind(std::move(kind)), m_max_age(max_age), m_content(content),
          m_handlers(std::move(handlers)),
          m_log(content == watch_content::names ? max_name_segment_bytes : max_segment_bytes) {}

    void start() { list(); }
    void stop() { m_stopped = true; }
    bool listed() const { return m_listed; }
    const std::string& kind() const { return m_kind; }
    const core::store::revision& revision() const { return m_revision; }
    /// Number of watch calls that this instance has made to the store.
    std::uint32_t watch_calls() const { return m_watch_calls; }

    /// The store was restored from an older copy. Unless this watch knows the new epoch already, the
    /// revisions it knows are void: it ends its call, and lists the objects again after `delay`.
    void epoch_began(core::store::epoch newer, core::milliseconds delay);

    void set_role(watch_role role);
    watch_role role() const { return m_role; }
    /// Returns the update for a receiver at `revision`. Its age counts from the store's last answer, given
    /// either to this instance or to the publisher whose update it last applied.
    feed_segment segment_since(const core::store::revision& revision) const;
    /// Applies a segment of another instance if it is recent enough and adjoins the current revision. Returns
    /// whether the sender has further changes for this instance.
    bool receive(const feed_segment& segment);
    /// Applies the changes that an instance reports to this one, without relying on the age of its data.
    void receive_changes(const feed_segment& segment);
    /// Revision of the sender of the last segment of an update; 0 if there was none.
    const core::store::revision& sender_revision() const { return m_sender_revision; }

private:
    void list();
    void watch();
    /// Runs `step` unless the watch has stopped or has begun anew since the call of `generation`. An error of
    /// the system in it leads to another list.
    template <class Step>
    void answer(std::uint64_t generation, Step&& step);
    /// Runs `step` at `at`, unless the watch has stopped or begun anew by then.
    template <class Step>
    void later(core::time_point at, Step&& step);
    /// Adds the objects that a copy of the store lacks to the list read from it, and lists again when their
    /// writers have had time to write them again.
    void keep_missing_names(object_list& list);
    void list_received(store_result<object_list>& answer, core::time_point sent);
    void changes_received(store_result<object_changes>& answer, core::time_point sent);
    /// Earliest time at which the changes in the answer to a watch call sent at `sent` may have been made.
    core::time_point earliest_change(core::time_point sent) const;
    /// Appends the difference between the known objects and a new complete list to the log, so that followers
    /// need no list of their own.
    void log_list(const object_list& list, core::time_point not_before);
    void apply(const std::vector<object_change>& changes, const core::store::revision& revision);
    /// Applies the changes of a segment. `known_before`: the data was complete as of then.
    void apply(const feed_segment& segment, core::time_point known_before);
    void failed(store_fault fault, bool relist);
    /// Ends the current outage, which the store's answer to this instance or to another one shows; returns
    /// its length.
    core::milliseconds end_outage(const char* answered_by);
    /// The store answered: the data is complete as of `known_as_of`.
    void succeeded(core::time_point known_as_of);
    /// Makes the next watch call, or pauses while another instance publishes.
    void watch_or_pause();
    void schedule_resume();
    /// When a paused watch makes its next call.
    core::time_point paused_until() const;
    /// Whether the latest data came from another instance rather than from the store.
    bool last_from_peer() const {
        return m_known_as_of != core::never && m_known_as_of > m_store_answered_at;
    }

    object_store& m_store;
    timers& m_timers;
    std::string m_kind;
    core::milliseconds m_max_age;
    watch_content m_content;
    watch_handlers m_handlers;
    /// All changes up to it have been passed to the handlers.
    core::store::revision m_revision;
    /// Ends at m_revision.
    change_log m_log;
    /// Revision of each object as of m_revision, by name.
    std::map<std::string, core::store::revision> m_objects;
    bool m_listed = false;
    bool m_stopped = false;
    /// Number of epochs begun: answers and timers of an earlier one change nothing.
    std::uint64_t m_generation = 0;
    core::store::revision m_sender_revision;
    watch_role m_role = watch_role::follower;
    /// Another instance publishes: a timer resumes the watch, and no call is pending.
    bool m_paused = false;
    std::uint32_t m_watch_calls = 0;
    /// Data received from other instances is recent enough until then.
    core::time_point m_peer_fresh_until = core::never;
    /// When the last update of another instance arrived.
    core::time_point m_last_peer_update = core::never;
    /// When the store last answered this instance.
    core::time_point m_store_answered_at = core::never;
    /// Time at which the current data was read from the store, by this instance or by the publisher.
    core::time_point m_known_as_of = core::never;
    /// End of the grace period in the last update of another instance.
    core::time_point m_peer_grace_until = core::never;
    /// When this instance read its first list, or when the last outage ended.
    core::time_point m_recovered_at = core::never;
    /// Start of the current outage of the store; never if there is none. It ends with the store's next
    /// answer, also with one to another instance, whose data arrives here.
    core::time_point m_outage_since = core::never;
    /// Consecutive failures.
    std::uint32_t m_failures = 0;
    /// Watch calls use the shorter wait until then.
    core::time_point m_short_waits_until = core::never;
};

} // namespace balsampost::entry
