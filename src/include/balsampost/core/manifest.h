// The manifest, which is one version of the operator's routes, services and limits, and the index that finds
// the route of a request.
#pragma once

#include "balsampost/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace balsampost::core {

/// How often a request of a route may be executed.
enum class execution_semantics : std::uint8_t {
    idempotent, ///< May be executed more than once.
    once,       ///< At most once for each request id.
    large_once, ///< As `once`, for requests with a large body.
};

/// One of the services that a route's requests are split between.
struct route_destination {
    std::string service;
    /// Share of the requests, relative to the route's other destinations.
    double weight = 1.0;
};

struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    execution_semantics semantics = execution_semantics::once;
    /// Maximum time until the caller gets an answer.
    milliseconds timeout{30'000};
    /// Latency up to which an answer has its full value to the caller.
    milliseconds target_latency{1'000};
    /// Lower values are served first.
    std::uint32_t priority = 0;
    /// Maximum number of attempts that may reach a server for one request.
    std::uint32_t max_attempts = 1;
    /// Never empty; the sum of the weights is positive.
    std::vector<route_destination> destinations;
    /// Regions whose servers may get the requests; empty: all.
    std::vector<std::string> allowed_regions;
    /// The servers' answers are large.
    bool large_answers = false;

    bool idempotent() const { return semantics == execution_semantics::idempotent; }
};

struct service {
    std::string name;
    /// Connections that one server accepts from all instances together.
    std::uint32_t max_connections = 100;
    /// Whether a server executes a request only while it owns the request's key.
    bool keyed = false;
    /// How long a server is cold after its start.
    milliseconds warmup{0};
    /// Requests per second that a cold server bears; 0: not limited.
    double warmup_per_s = 0;
};

/// Limits on callers' requests and connections.
struct caller_limits {
    std::uint32_t header_bytes = 16U << 10U;
    std::uint64_t body_bytes = 64U << 20U;
    /// Maximum time for receiving a request header.
    milliseconds header_timeout{10'000};
    /// Time after which an idle connection is closed.
    milliseconds idle_timeout{60'000};
};

/// A value that is not known and was replaced by the strictest one.
struct unknown_value {
    std::string route;
    std::string field;
    std::string value;
};

struct manifest {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service> services;
    caller_limits limits;
    std::vector<unknown_value> unknown_values;
};

/// One version of the manifest, with its routes indexed by host and path prefix. Immutable, so that a request
/// uses the same version from start to end.
class route_index {
public:
    explicit route_index(manifest m);

    const manifest& source() const { return m_manifest; }
    /// The route with the longest prefix that matches the path of `target`, ignoring any query string, or
    /// null if no route matches. The host is compared without case and port.
    const route* find(std::string_view host, std::string_view target) const;
    /// The service called `name`, or null.
    const service* find_service(const std::string& name) const;

private:
    manifest m_manifest;
    std::unordered_map<std::string, const route*> m_by_host_and_prefix; // Key: host, then prefix.
};

/// Smooth weighted round robin over a route's destinations: after any number of requests, each destination's
/// count stays close to its weighted share, without bursts to one destination.
class weighted_round_robin {
public:
    /// The index of the destination for the next request.
    std::size_t next(const std::vector<route_destination>& destinations);

private:
    std::vector<double> m_credit; // By destination.
};

} // namespace balsampost::core
