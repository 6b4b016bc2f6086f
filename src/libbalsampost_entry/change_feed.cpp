// The change log, and the segments that it serves.
#include "balsampost/entry/change_feed.h"

#include <algorithm>

namespace balsampost::entry {

namespace {

constexpr std::size_t max_batches = 64; // Several seconds of changes at the highest rate.
// Two kinds and a key table share one datagram of 60 KiB.
constexpr std::size_t max_segment_bytes = 20U << 10U;
constexpr std::size_t change_overhead_bytes = 48; // Name, revision and framing of one change.

} // namespace

void change_log::reset(std::uint64_t revision) {
    m_batches.clear();
    m_revision = revision;
}

void change_log::append(const std::vector<object_change>& changes, std::uint64_t revision) {
    if (revision <= m_revision && changes.empty()) {
        return;
    }
    batch b{m_revision, std::max(revision, m_revision), {}, 0};
    for (const auto& c : changes) {
        b.bytes += c.object.value.size() + change_overhead_bytes;
        b.changes.push_back({c.object.name, c.object.revision, c.object.value, c.removed});
    }
    m_revision = b.to;
    m_batches.push_back(std::move(b));
    if (m_batches.size() > max_batches) {
        m_batches.pop_front();
    }
}

feed_segment change_log::since(std::uint64_t revision) const {
    feed_segment segment;
    segment.from = segment.to = m_revision;
    if (revision >= m_revision) {
        return segment;
    }
    // The first batch may repeat changes that the receiver has applied. Applying them again in order leads to
    // the same state.
    auto first = m_batches.size();
    std::size_t bytes = 0;
    while (first > 0 && m_batches[first - 1].to > revision) {
        --first;
        bytes += m_batches[first].bytes;
    }
    if (first == m_batches.size() || m_batches[first].from > revision || bytes > max_segment_bytes) {
        return segment;
    }
    segment.from = m_batches[first].from;
    for (; first < m_batches.size(); ++first) {
        segment.changes.insert(segment.changes.end(), m_batches[first].changes.begin(),
                               m_batches[first].changes.end());
    }
    return segment;
}

bool can_apply(const feed_segment& segment, std::uint64_t revision) {
    return segment.from <= revision && revision <= segment.to;
}

} // namespace balsampost::entry
