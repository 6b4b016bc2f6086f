// Updates of the directory of backend servers, and the grace period for missing entries.
#include "balsampost/core/backend_directory.h"

#include <algorithm>
#include <utility>

namespace balsampost::core {

namespace {

// What was known of a server is kept for longer than a store's copy is old.
constexpr milliseconds memory_of_servers{60'000};

} // namespace

void backend_directory::replace(std::vector<backend> entries, time_point now, time_point not_before) {
    std::map<std::string, backend> next;
    for (auto& e : entries) {
        auto id = e.self.id;
        next.insert_or_assign(std::move(id), std::move(e));
    }
    std::vector<std::string> removed;
    for (const auto& [id, old] : m_entries) {
        if (!next.contains(id)) {
            removed.push_back(id);
        }
    }
    for (const auto& id : removed) {
        remove(id, now);
    }
    const bool first = std::exchange(m_first_list, false);
    for (auto& [id, e] : next) {
        e.in_first_list = first;
        put(std::move(e), now, not_before);
    }
}

void backend_directory::put(backend entry, time_point now, time_point not_before) {
    if (is_outdated(entry, now)) {
        return;
    }
    const auto known = m_entries.find(entry.self.id);
    // The warm-up time counts from the first read of unchanged content.
    const bool unchanged = known != m_entries.end() && known->second.self == entry.self &&
                           known->second.draining == entry.draining &&
                           known->second.warmup_left == entry.warmup_left &&
                           known->second.warmup_stated == entry.warmup_stated;
    entry.read_at = unchanged ? known->second.read_at : now;
    const bool same = known != m_entries.end() && known->second.self == entry.self;
    entry.listed_at = same ? known->second.listed_at : now;
    entry.in_first_list = same ? known->second.in_first_list : entry.in_first_list;
    const bool was_draining = same && known->second.draining;
    entry.draining_since = !entry.draining ? never : was_draining ? known->second.draining_since : not_before;
    m_missing.erase(entry.self.id);
    auto id = entry.self.id;
    m_entries.insert_or_assign(std::move(id), std::move(entry));
    ++m_version;
}

void backend_directory::remove(const std::string& id, time_point now) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    if (now < m_grace_end && !found->second.draining) {
        m_missing.emplace(id, m_grace_end);
        return;
    }
    m_missing.erase(id);
    erase(id, now);
}

void backend_directory::erase(const std::string& id, time_point now) {
    const auto found = m_entries.find(id);
    std::erase_if(m_gone, [now](const auto& g) { return now - g.second.at > memory_of_servers; });
    m_gone[id] = {found->second.self, found->second.sequence, true, now};
    m_entries.erase(found);
    ++m_version;
}

void backend_directory::list_restored(time_point now) {
    list_recovered(now);
    m_before_restore = m_gone;
    for (const auto& [id, b] : m_entries) {
        m_before_restore[id] = {b.self, b.sequence, b.draining, now};
    }
}

bool backend_directory::is_outdated(const backend& entry, time_point now) const {
    const auto found = m_before_restore.find(entry.self.id);
    if (found == m_before_restore.end() || now - found->second.at > memory_of_servers) {
        return false;
    }
    const auto& last = found->second;
    if (entry.self.started_ms != last.self.started_ms) {
        return entry.self.started_ms < last.self.started_ms;
    }
    return last.leaving && !entry.draining && entry.sequence <= last.sequence;
}

void backend_directory::set_grace_end(time_point until) {
    m_grace_end = until;
    for (auto& [id, expires_at] : m_missing) {
        expires_at = std::min(expires_at, until);
    }
}

bool backend_directory::expire(time_point now) {
    const auto before = m_version;
    for (auto it = m_missing.begin(); it != m_missing.end();) {
        if (it->second <= now) {
            erase(it->first, now);
            it = m_missing.erase(it);
        } else {
            ++it;
        }
    }
    return m_version != before;
}

time_point backend_directory::next_expiry() const {
    auto earliest = time_point::max();
    for (const auto& [id, until] : m_missing) {
        earliest = std::min(earliest, until);
    }
    return earliest;
}

const backend* backend_directory::find(const std::string& id) const {
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

} // namespace balsampost::core
