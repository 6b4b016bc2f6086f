// The manifest: routes, services and limits as one version of the operator's configuration, and the index
// that finds the route of a request.
#pragma once

#include "balsampost/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace balsampost::core {

/// How often a request of a route may run.
enum class repeatability : std::uint8_t {
    idempotent, ///< May run more than once.
    once,       ///< At most once for each request id.
    large_once, ///< As `once`, with a large body.
};

struct route_part {
    std::string service;
    double weight = 1.0;
};

struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    repeatability repeats = repeatability::once;
    milliseconds timeout{30'000};       ///< Longest time a caller is kept waiting.
    milliseconds target_latency{1'000}; ///< Time within which an answer has its full value.
    std::uint32_t priority = 0;         ///< 0 is served first.
    std::uint32_t most_servers = 1;     ///< Servers that one request may be sent to.
    std::vector<route_part> parts;      ///< Never empty; the weights sum to more than 0.

    bool idempotent() const { return repeats == repeatability::idempotent; }
};

struct service {
    std::string name;
    std::uint32_t max_connections = 100; ///< That one server accepts from all instances together.
    bool keyed = false;                  ///< Its servers run a request only while they hold its key.
};

/// Bounds on what a caller may send.
struct caller_limits {
    std::uint32_t header_bytes = 16U << 10U;
    std::uint64_t body_bytes = 64U << 20U;
    milliseconds header_time{10'000};
    milliseconds idle_time{60'000};
};

struct manifest {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service> services;
    caller_limits limits;
};

/// One version, with its routes indexed by host and prefix. Immutable, so that a request keeps what it began
/// with.
class route_index {
public:
    explicit route_index(manifest m);

    const manifest& source() const { return m_manifest; }
    /// The route of the longest prefix that begins the path of `target`; a query does not count. Null if none
    /// does.
    const route* find(std::string_view host, std::string_view target) const;
    const service* find_service(const std::string& name) const;

private:
    manifest m_manifest;
    std::unordered_map<std::string, const route*> m_by_host_and_prefix; // Key: host, then prefix.
};

/// Spreads a route's requests over its parts in an even sequence (smooth weighted round robin), so that any
/// run of requests is within one request of the weights.
class weighted_sequence {
public:
    /// The index of the part that the next request goes to.
    std::size_t next(const std::vector<route_part>& parts);

private:
    std::vector<double> m_credit;
};

} // namespace balsampost::core
