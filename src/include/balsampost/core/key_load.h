// How often keys are asked for and how fast the servers that own them are: what instances report to the
// coordinator of a keyed service, and the estimate that it keeps of all reports.
#pragma once

#include "balsampost/core/key_table.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include <msgpack.hpp>

namespace balsampost::core {

/// Neighbours that are looked at together: a hot spot shows in their sum before it shows in any one key.
inline constexpr shard_key keys_per_group = 16;

/// What one instance saw since its last report.
struct key_report {
    std::string service;
    std::vector<std::pair<shard_key, std::uint32_t>> keys; ///< Key and requests; the busiest, bounded.
    std::uint32_t unlisted = 0;                            ///< Requests for keys beyond the bound.
    std::vector<std::tuple<std::string, std::uint32_t, std::uint32_t>>
        service_ms;                       ///< Server id, answers, their time
                                          ///< in all, without waiting.
    std::vector<std::string> unreachable; ///< Ids of servers that refused a connection.

    MSGPACK_DEFINE(service, keys, unlisted, service_ms, unreachable);
};

/// Counts requests by key until they are reported.
class key_counter {
public:
    void count(shard_key key) { ++m_counts[key]; }
    bool empty() const { return m_counts.empty(); }
    /// Moves the counts of at most `most` keys into `report`.
    void take(key_report& report, std::size_t most);

private:
    std::unordered_map<std::uint32_t, std::uint32_t> m_counts;
};

/// Puts the reports of several instances together, for a relay.
class report_merger {
public:
    void add(const key_report& report);
    /// Moves what was added into `report`, with at most `most` keys.
    void take(key_report& report, std::size_t most);

private:
    std::unordered_map<shard_key, std::uint32_t> m_keys;
    std::uint32_t m_unlisted = 0;
    std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> m_service_ms; // Answers, time in all.
    std::set<std::string> m_unreachable;
};

/// Requests a second by key. Two memories: a long one against noise, and a short one that shows a hot spot as
/// soon as it stands out. Sums over ranges are exact for each key, so that one key's load is not taken for
/// its neighbours'.
class key_rates {
public:
    void add(const key_report& report, time_point now);
    /// Works the rates out as of `now`; call it before reading.
    void advance(time_point now);
    /// Requests a second for keys `from` to `to`, both inclusive.
    double rate(shard_key from, shard_key to) const;

private:
    /// Weighted counts that forget exponentially: each is kept in units that grow with time, so that only
    /// reading and adding cost anything.
    struct memory {
        explicit memory(std::chrono::duration<double> l) : length(l) {}
        void add(shard_key key, double requests);
        void move_to(time_point now);
        double rate(shard_key key) const {
            return counts.empty() ? 0.0 : counts[key] / unit / length.count();
        }

        std::chrono::duration<double> length;
        std::vector<double> counts; // Empty until the first report.
        double unit = 1;            // What one request counts now.
        time_point at = never;
    };

    memory m_long{std::chrono::duration<double>(2.0)};
    memory m_short{std::chrono::duration<double>(0.35)};
    std::vector<double> m_sums; // m_sums[k]: rate of all keys below k; empty: all 0.
};

/// Time that each server takes for one request, from the answers that instances report.
class server_speeds {
public:
    void add(const key_report& report);
    /// Of `server`: what was learned, drawn towards the mean of all known ones while its answers are few;
    /// `assumed` if nothing is known of any.
    double service_ms(const std::string& server, double assumed) const;

private:
    struct state {
        double ms = 0;
        double answers = 0; // Weight of `ms`, bounded.
    };
    double mean_ms() const;

    std::map<std::string, state> m_servers;
    double m_answers = 0;  // Of all servers.
    double m_total_ms = 0; // Of all servers: time by answers.
};

} // namespace balsampost::core
