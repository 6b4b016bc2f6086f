// Epochs by the store's announcements, by other instances and by revisions that fall.
#include "balsampost/entry/store/epoch_tracker.h"

namespace balsampost::entry::store {

std::optional<epoch> epoch_tracker::answered(std::optional<epoch> announced, core::time_point sent,
                                             core::time_point now) {
    if (!announced || announced->number > epoch::max_number) { // As new as its call.
        return sent < m_heard_at ? std::nullopt : std::optional(m_current);
    }
    const auto number = announced->number + m_unannounced;
    if (number < m_current.number) {
        if (sent < m_heard_at) {
            return std::nullopt;
        }
        // The call was sent after the newer epoch was heard of, so the store has not announced that one.
        m_unannounced = m_current.number - announced->number;
        return m_current;
    }
    advance({number}, now);
    return m_current;
}

epoch epoch_tracker::listed(epoch e, std::uint64_t number, core::time_point sent, core::time_point now) {
    if (e != m_current) {
        return e;
    }
    if (number < m_highest_listed && sent >= m_listed_at) {
        ++m_unannounced;
        advance({m_current.number + 1}, now);
    }
    if (number > m_highest_listed) {
        m_highest_listed = number;
        m_listed_at = now;
    }
    return m_current;
}

void epoch_tracker::advance(epoch e, core::time_point now) {
    if (e <= m_current || e.number > epoch::max_number) {
        return;
    }
    const auto earlier = std::exchange(m_current, e);
    m_heard_at = now;
    m_highest_listed = 0;
    m_listed_at = core::never;
    m_on_change(earlier, e);
}

} // namespace balsampost::entry::store
