// The change log, and the segments that it serves.
#include "balsampost/entry/change_feed.h"

#include <algorithm>
#include <utility>

namespace balsampost::entry {

namespace {

constexpr std::size_t max_batches = 64; // Several seconds of changes at the highest rate.
// Batches are cut at this part of a segment, so that a burst of changes is sent in several segments.
constexpr std::size_t max_batch_percent = 40;
constexpr std::size_t percent = 100;
constexpr std::size_t change_overhead_bytes = 48; // Name, revision and framing of one change ...
constexpr std::size_t usual_name_bytes = 24;      // ... if the name is no longer than this.

} // namespace

void change_log::reset(const core::store::revision& revision) {
    m_batches.clear();
    m_revision = revision;
}

void change_log::append(const std::vector<object_change>& changes, const core::store::revision& revision) {
    if (revision <= m_revision && changes.empty()) {
        return;
    }
    // A receiver's position is a revision: a batch ends only where all later changes have higher revisions.
    std::vector<core::store::revision> lowest_from(changes.size() + 1, std::max(revision, m_revision));
    for (auto i = changes.size(); i-- > 0;) {
        lowest_from[i] = std::min(lowest_from[i + 1], changes[i].object.revision);
    }
    batch b{m_revision, std::max(revision, m_revision), {}, 0};
    const auto max_batch_bytes = m_max_segment * max_batch_percent / percent;
    auto highest = m_revision;
    for (std::size_t i = 0; i < changes.size(); ++i) {
        const auto& c = changes[i];
        if (b.bytes >= max_batch_bytes && highest > b.from && highest < lowest_from[i]) {
            const auto end = std::exchange(b.to, highest);
            add(std::exchange(b, batch{highest, end, {}, 0}));
        }
        b.bytes += c.object.value.size() + change_overhead_bytes +
                   (std::max(c.object.name.size(), usual_name_bytes) - usual_name_bytes);
        b.changes.push_back(
            {c.object.name, c.object.revision, c.object.value, c.removed, unknown_age_ms, c.not_before});
        highest = std::max(highest, c.object.revision);
    }
    add(std::move(b));
}

void change_log::add(batch b) {
    m_revision = b.to;
    if (b.bytes > m_max_segment) {
        b.changes = {}; // Never sent: without its content, the size of the log is bounded.
    }
    m_batches.push_back(std::move(b));
    if (m_batches.size() > max_batches) {
        m_batches.pop_front();
    }
}

feed_segment change_log::since(const core::store::revision& revision) const {
    feed_segment segment;
    segment.from = segment.to = segment.latest = m_revision;
    if (revision >= m_revision) {
        return segment;
    }
    // The first batch may repeat changes that the receiver has applied. Applying them again in order leads to
    // the same state.
    auto first = m_batches.size();
    while (first > 0 && m_batches[first - 1].to > revision) {
        --first;
    }
    if (first == m_batches.size() || m_batches[first].from > revision ||
        m_batches[first].bytes > m_max_segment) {
        return segment;
    }
    segment.from = m_batches[first].from;
    std::size_t bytes = 0;
    for (; first < m_batches.size() && bytes + m_batches[first].bytes <= m_max_segment; ++first) {
        const auto& b = m_batches[first];
        bytes += b.bytes;
        segment.to = b.to;
        segment.changes.insert(segment.changes.end(), b.changes.begin(), b.changes.end());
    }
    return segment;
}

std::size_t change_log::content_bytes() const {
    std::size_t out = 0;
    for (const auto& b : m_batches) {
        for (const auto& c : b.changes) {
            out += c.value.size();
        }
    }
    return out;
}

bool can_apply(const feed_segment& segment, const core::store::revision& revision) {
    return segment.from <= revision && revision <= segment.to;
}

} // namespace balsampost::entry
