// How often keys are asked for and how fast the servers that own them are: what instances report to the coordinator
// of a keyed service, and the estimate that it keeps of all reports.
#pragma once

#include "balsampost/core/key_table.h"

#include <array>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <msgpack.hpp>

namespace balsampost::core {

/// Keys are counted in bins of neighbours: a hot spot lies in a few bins, and a cut at a bin's edge is close enough.
inline constexpr shard_key keys_per_bin = 16;
inline constexpr std::uint32_t bin_count = key_count / keys_per_bin;

constexpr std::uint32_t bin_of(shard_key key) {
    return key / keys_per_bin;
}

/// What one instance saw since its last report.
struct key_report {
    std::string service;
    std::uint32_t period_ms = 0;
    std::vector<std::pair<std::uint32_t, std::uint32_t>> bins;      ///< Bin and requests; the busiest, bounded.
    std::uint32_t unlisted = 0;                                     ///< Requests in bins beyond the bound.
    std::vector<std::pair<std::string, std::uint32_t>> service_ms;  ///< Server id, time of one request there.
    std::vector<std::string> unreachable;                           ///< Ids of servers that refused a connection.

    MSGPACK_DEFINE(service, period_ms, bins, unlisted, service_ms, unreachable);
};

/// Counts requests by bin until they are reported.
class key_counter {
public:
    void count(shard_key key) { ++m_counts[bin_of(key)]; }
    bool empty() const { return m_counts.empty(); }
    /// Moves the counts of at most `most` bins into `report`.
    void take(key_report& report, std::size_t most);

private:
    std::unordered_map<std::uint32_t, std::uint32_t> m_counts;
};

/// Requests a second by bin, weighted to the last seconds.
class key_rates {
public:
    void add(const key_report& report);
    /// Ages the rates to `now`; call it before reading.
    void advance(time_point now);
    /// Requests a second for keys `from` to `to`, both inclusive.
    double rate(shard_key from, shard_key to) const;
    double of_bin(std::uint32_t bin) const { return m_rates[bin]; }
    double total() const;

private:
    std::array<double, bin_count> m_rates{};
    time_point m_aged = never;
};

} // namespace balsampost::core
