// Replication of store changes between instances: the instance that watches the store sends the others the
// changes of each kind, so that they need no watches of their own. A segment holds the changes since a
// revision that the receiver names, and the age of the sender's data. No input or output.
#pragma once

#include "balsampost/entry/platform.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace balsampost::entry {

/// Stands for an age that the sender does not know.
inline constexpr std::uint32_t unknown_age_ms = 1U << 30U;

/// Changes of one kind. A receiver whose revision is between `from` and `to` reaches `to` by applying
/// `changes`.
struct feed_segment {
    struct change {
        std::string name;
        core::store::revision revision;
        std::string value;
        bool removed = false;
        /// The change was made at most this long before the segment was sent.
        std::uint32_t max_age_ms = unknown_age_ms;
        /// As in `object_change`; not sent.
        core::time_point not_before = core::never;

        MSGPACK_DEFINE(name, revision, value, removed, max_age_ms);
    };

    /// Kind of the objects in the store.
    std::string kind;
    /// Time since the store last answered the sender about this kind.
    std::uint32_t age_ms = 0;
    /// Remaining grace period: objects that are missing may still reappear within it.
    std::uint32_t grace_ms = 0;
    /// First revision at which `changes` can be applied.
    core::store::revision from;
    /// Revision after `changes` are applied.
    core::store::revision to;
    std::vector<change> changes;
    /// The sender's own revision; greater than `to` if not all changes fit into the message.
    core::store::revision latest;

    /// Returns whether the sender has further changes for a receiver that has applied this segment.
    bool has_more() const { return latest > to; }

    MSGPACK_DEFINE(kind, age_ms, grace_ms, from, to, changes, latest);
};

/// Size of a segment; two kinds, the names of a third one and a key table share one datagram of 60 KiB.
inline constexpr std::size_t max_segment_bytes = 20U << 10U;
/// Size of a segment of a kind whose objects count by their names only.
inline constexpr std::size_t max_name_segment_bytes = 4U << 10U;

/// Keeps the latest changes of one kind, to serve receivers at different revisions.
class change_log {
public:
    explicit change_log(std::size_t max_segment = max_segment_bytes) : m_max_segment(max_segment) {}

    /// Restarts the log from a complete list as of `revision`. Earlier changes are discarded.
    void reset(const core::store::revision& revision);
    /// Appends all changes between the log's current revision and `revision`. Many changes are cut into
    /// batches, so that each fits into a message.
    void append(const std::vector<object_change>& changes, const core::store::revision& revision);
    const core::store::revision& revision() const { return m_revision; }
    /// Returns the changes for a receiver at `revision`: the earliest ones if not all fit into a message. If
    /// the log does not reach back that far, or not even the first batch fits, the segment is empty and
    /// begins at the log's own revision, so that the receiver cannot apply it.
    feed_segment since(const core::store::revision& revision) const;
    /// Size of all values in the log.
    std::size_t content_bytes() const;

private:
    struct batch {
        core::store::revision from;
        core::store::revision to;
        std::vector<feed_segment::change> changes;
        std::size_t bytes = 0;
    };
    void add(batch b);

    std::size_t m_max_segment;
    /// Contiguous: each batch begins where the previous one ends, and the last one ends at m_revision.
    std::deque<batch> m_batches;
    core::store::revision m_revision;
};

/// Returns whether a receiver at `revision` can apply `segment`.
bool can_apply(const feed_segment& segment, const core::store::revision& revision);

} // namespace balsampost::entry
