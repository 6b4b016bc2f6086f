// Request rates of keys and service times of their servers: the reports that instances send to the
// coordinator of a keyed service, and the estimates that the coordinator derives from them.
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

/// Number of adjacent keys whose rates are also checked as a sum: a hot spot shows in the sum before it shows
/// in any single key.
inline constexpr shard_key keys_per_group = 16;

/// Requests and service times that one instance measured since its last report.
struct key_report {
    std::string service;
    std::vector<std::pair<shard_key, std::uint32_t>>
        keys;                   ///< Busiest keys, bounded, with their request counts.
    std::uint32_t unlisted = 0; ///< Requests for keys that did not fit into `keys`.
    /// Server id, number of answers, and their total service time without queueing.
    std::vector<std::tuple<std::string, std::uint32_t, std::uint32_t>> service_ms;
    std::vector<std::string> unreachable; ///< Ids of servers that refused a connection.
    std::uint32_t covered_ms = 0;         ///< Time over which the requests were counted; 0 if not known.
    /// Servers that say in their answers that they leave: id and start.
    std::vector<std::pair<std::string, std::int64_t>> leaving;

    /// Removes the request counts; the service times stay.
    void drop_counts() {
        keys.clear();
        unlisted = 0;
    }

    MSGPACK_DEFINE(service, keys, unlisted, service_ms, unreachable, covered_ms, leaving);
};

/// Limits the counts of one reporter to the time that has passed. Reports that a network partition held up
/// arrive all at once; added up as they come, they would look like a burst of many times the real load.
class report_credit {
public:
    /// Returns whether the counts of a report received at `now` are to be used.
    bool accept(const key_report& report, time_point now);

private:
    time_point m_last_report_at = never;
    duration m_credit{0}; // Time for which counts may still be accepted.
};

/// Counts requests per key until they are reported.
class key_counter {
public:
    void count(shard_key key) { ++m_counts[key]; }
    bool empty() const { return m_counts.empty(); }
    /// Moves the counts into `report`: at most the `max_keys` busiest keys one by one, the others as a sum.
    void take(key_report& report, std::size_t max_keys);

private:
    std::unordered_map<std::uint32_t, std::uint32_t> m_counts;
};

/// Merges the reports of several instances in a relay.
class report_merger {
public:
    void add(const key_report& report);
    /// Merges the added reports into `report`, listing at most `max_keys` keys, and resets the merger.
    void take(key_report& report, std::size_t max_keys);

private:
    std::unordered_map<shard_key, std::uint32_t> m_keys;
    std::uint32_t m_unlisted = 0;
    std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> m_service_ms; // Answers, total time.
    std::set<std::string> m_unreachable;
    std::set<std::pair<std::string, std::int64_t>> m_leaving;
};

/// Request rate per key in requests per second. Each key has two exponentially decaying averages: one with a
/// long time constant, which smooths noise, and one with a short time constant, which is used for a key or
/// group as soon as it shows a burst. Rates are kept per key, so the load of one key is not attributed
/// to its neighbours.
class key_rates {
public:
    void add(const key_report& report, time_point now);
    /// Computes the rates as of `now`. Call it before `rate`.
    void advance(time_point now);
    /// Requests per second for the keys `from` to `to`, both inclusive.
    double rate(shard_key from, shard_key to) const;

private:
    /// Counts with exponential decay. Instead of decaying all counts, the weight of a new event grows with
    /// time, so that only reads and additions cost time.
    struct decaying_counts {
        explicit decaying_counts(std::chrono::duration<double> l) : time_constant(l) {}
        void add(shard_key key, double requests);
        void decay_until(time_point now);
        double rate(shard_key key) const {
            return counts.empty() ? 0.0 : counts[key] / event_weight / time_constant.count();
        }

        std::chrono::duration<double> time_constant;
        std::vector<double> counts; // Empty until the first report.
        double event_weight = 1;    // Weight of an event counted now.
        time_point updated_at = never;
    };

    decaying_counts m_long_window{std::chrono::duration<double>(2.0)};
    decaying_counts m_short_window{std::chrono::duration<double>(0.35)};
    std::vector<double> m_prefix_sums; // m_prefix_sums[k]: sum of the rates of keys below k. Empty: all 0.
};

/// Estimates the service time of one request at each server from the answers that instances report.
class service_time_estimates {
public:
    void add(const key_report& report);
    /// Estimate for `server`. While it has few answers, the estimate is drawn towards the mean of all
    /// servers. Returns `default_ms` if no server has been measured.
    double service_ms(const std::string& server, double default_ms) const;

private:
    struct state {
        double ms = 0;
        double answers = 0; // Number of answers behind `ms`, bounded.
    };
    double mean_ms() const;

    std::map<std::string, state> m_servers;
    double m_answers = 0;  // Sum over all servers.
    double m_total_ms = 0; // Sum over all servers of `ms * answers`.
};

} // namespace balsampost::core
