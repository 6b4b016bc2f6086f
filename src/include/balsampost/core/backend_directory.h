// Directory of the backend servers that the platform lists. An entry that disappears around an outage of the
// list is kept for a grace period, because the server may only have failed to renew its entry; an entry that
// disappears at any other time is removed at once.
#pragma once

#include "balsampost/core/ini.h"
#include "balsampost/core/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsampost::core {

/// One process lifetime of a backend server. A server restarted under the same id is a new incarnation and
/// owns no keys.
struct incarnation {
    std::string id;
    /// Wall-clock start time, in milliseconds since the Unix epoch.
    std::int64_t started_ms = 0;

    auto operator<=>(const incarnation&) const = default;
    bool empty() const { return id.empty(); }
};

/// A backend server's entry in the platform's list.
struct backend {
    incarnation self;
    std::string service;
    endpoint address;
    std::string failure_domain;
    /// Requests that the server can run at once.
    std::uint32_t slots = 1;
    bool draining = false;
    /// Increases with each report of this incarnation.
    std::uint64_t sequence = 0;
    /// Warm-up time remaining at `read_at`.
    milliseconds warmup_left{0};
    /// Whether the entry states `warmup_left`.
    bool warmup_stated = true;
    /// When an entry with this content was first read; set by `backend_directory`.
    time_point read_at{};
    /// Earliest time at which the server may have reported that it is leaving, if `draining`; set by
    /// `backend_directory`.
    time_point draining_since = never;
    /// When this incarnation was first listed; set by `backend_directory`.
    time_point listed_at{};
    /// This incarnation was in the first list that was read; set by `backend_directory`.
    bool in_first_list = false;

    time_point warmup_end() const { return read_at + warmup_left; }
};

/// Entries of all backend servers, by id.
class backend_directory {
public:
    /// `grace`: how long after the list has become readable again an entry that is missing from it is kept.
    explicit backend_directory(milliseconds grace = milliseconds{2'000}) : m_grace(grace) {}

    /// Replaces all entries with the complete list read at `now`, whose changes were made after `not_before`.
    void replace(std::vector<backend> entries, time_point now, time_point not_before);
    /// Adds or updates one entry, read at `now` and changed after `not_before`.
    void put(backend entry, time_point now, time_point not_before);
    /// As above, for entries that are read as soon as they change.
    void replace(std::vector<backend> entries, time_point now) { replace(std::move(entries), now, now); }
    void put(backend entry, time_point now) { put(std::move(entry), now, now); }
    /// Removes an entry at once, or at the end of the grace period if one is running. A draining server is
    /// always removed at once, since it left on purpose.
    void remove(const std::string& id, time_point now);
    /// Starts the grace period: the list is readable again after an outage.
    void list_recovered(time_point now) { m_grace_end = now + m_grace; }
    /// The list is about to be read for the first time since its store was restored from an older copy.
    /// Starts the grace period, as servers write their missing entries again; entries of the copy do not make
    /// a server usable that is known as leaving, replaced or gone by a later one.
    void list_restored(time_point now);
    /// Sets the end of the grace period as reported by a reader that has followed the list without
    /// interruption. It overrides the period started by `list_recovered`, since an outage seen by this
    /// instance alone may have been a fault of its own connection.
    void set_grace_end(time_point until);
    /// Removes missing entries whose grace period has ended. Returns whether anything changed.
    bool expire(time_point now);
    /// The time at which `expire` is next due, or `time_point::max()` if no entry is missing.
    time_point next_expiry() const;

    const std::map<std::string, backend>& entries() const { return m_entries; }
    /// The entry of server `id`, or null.
    const backend* find(const std::string& id) const;
    /// Increases with every change.
    std::uint64_t version() const { return m_version; }

private:
    /// The last that was known of a server.
    struct last_report {
        incarnation self;
        std::uint64_t sequence = 0;
        bool leaving = false;
        time_point at{}; // When it became known.
    };
    /// Whether `entry` is no later than what was known of the server before a restore, and contradicts it.
    bool is_outdated(const backend& entry, time_point now) const;
    void erase(const std::string& id, time_point now);

    milliseconds m_grace;
    std::map<std::string, backend> m_entries;    // By id.
    std::map<std::string, time_point> m_missing; // Expiry times of missing entries, by id.
    time_point m_grace_end = never;
    std::map<std::string, last_report> m_gone;           // Removed servers, by id.
    std::map<std::string, last_report> m_before_restore; // As known at the last restore.
    std::uint64_t m_version = 0;
    bool m_first_list = true; // No complete list has been read yet.
};

} // namespace balsampost::core
