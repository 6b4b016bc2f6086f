// Estimates of the work that requests cause at a server, learned from answered requests by class of request.
// A class consists of what the manifest and the message format bound (route, method, range of body lengths),
// so callers cannot invent classes with paths. Times are those at an average server without a queue.
#pragma once

#include "balsampost/core/key_table.h"
#include "balsampost/core/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace balsampost::core::cost {

/// What the cost of a request is estimated from, besides its service.
struct request_class {
    std::uint64_t id = 0;
    std::optional<shard_key> key = std::nullopt;
};

/// Methods that are not in common use count as one, and body lengths by their power of two.
request_class class_of(std::string_view route, std::string_view method, std::uint64_t body_bytes,
                       std::optional<shard_key> key);

/// Decaying means of values by id, in a table of fixed size. A new id takes the place of another one only
/// when that one has nearly decayed, so ids that are seen once never displace those in use.
class mean_table {
public:
    struct entry {
        std::uint64_t id = 0;
        double weight = 0; // Values behind the mean, decayed; below 1, the entry may be replaced.
        double mean = 0;
        double variance = 0;
        time_point updated_at = never;
    };

    /// `sets`: a power of two; the table has four entries for each.
    mean_table(std::size_t sets, milliseconds half_life);

    void learn(std::uint64_t id, double value, time_point now);
    /// The entry as of `now`, with its decayed weight.
    std::optional<entry> find(std::uint64_t id, time_point now) const;
    std::size_t capacity() const { return m_entries.size(); }

private:
    static constexpr std::size_t entries_per_set = 4;
    /// Weight above which new values count as much as old ones: a mean over about so many values.
    static constexpr double max_weight = 50;

    std::size_t set_of(std::uint64_t id) const;
    double decayed_weight(const entry& e, time_point now) const;

    std::vector<entry> m_entries;
    std::size_t m_sets;
    milliseconds m_half_life;
};

struct estimate {
    double ms = 0;
    double spread_ms = 0; // Standard deviation between requests of the class.
    /// From 1 (nothing of the class was learned; `ms` is the mean of the service) towards 0.
    double uncertainty = 1;
};

/// Estimates for one service. Not thread-safe.
class cost_estimates {
public:
    cost_estimates();

    /// Estimate for a request; while its class or key has few answers, it is drawn towards the mean of the
    /// service or the class.
    estimate of(const request_class& request, time_point now) const;
    /// `ms`: time that the request took, net of the queue and the speed of its server.
    void learn(const request_class& request, double ms, time_point now);
    /// Mean over all requests of the service.
    double mean_ms() const { return m_answers > 0 ? m_mean_ms : default_ms; }

private:
    static constexpr double default_ms = 100;

    estimate of_class(std::uint64_t id, time_point now) const;

    mean_table m_classes;
    mean_table m_keys; // Of the ratio of a key's cost to that of its class.
    double m_mean_ms = 0;
    double m_answers = 0;
};

} // namespace balsampost::core::cost
