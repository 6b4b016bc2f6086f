// The operators' objects: regions, services, routes, placements, budgets and profiles, which refer to one
// another by name. The whole set is parsed and checked together; a set with an error is never published.
#pragma once

#include "balsampost/core/ini.h"
#include "balsampost/core/time.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace balsampost::core {

/// A region and its failure domains.
struct region {
    std::vector<std::string> failure_domains;
    /// The platform's store is in this region; set for exactly one region of a set.
    bool store = false;
};

/// Weights and time lengths of the ownership protocol. `check_timing` checks the lengths against each other.
struct profile {
    std::uint32_t w_unavailable = 1;
    std::uint32_t w_churn = 1;
    std::uint32_t w_imbalance = 1;
    /// Interval between renewals of a lease or promise.
    milliseconds renew_interval{100};
    /// Silence after which a peer is suspected to have failed and its lease is no longer renewed.
    milliseconds suspect_timeout{250};
    /// Length of the lease of a home or a server (`right_ms`).
    milliseconds lease_length{500};
    /// Length of a standby's promise not to take over.
    milliseconds promise_length{300};
    /// How long a home's lease may outlast the authority of its coordinator.
    milliseconds lease_margin{250};
    /// Length of a holder's lease while it has no standby.
    milliseconds solo_lease_length{2000};
    /// Allowance for clocks that run at different rates.
    std::uint32_t drift_percent = 2;
    /// Limit on planned slice moves per minute and cell.
    std::uint32_t churn_per_minute = 60;
};

/// Checks the time lengths of `p` against each other. Returns the key in error and the reason, or an empty
/// pair.
std::pair<std::string, std::string> check_timing(const profile& p);

/// Constraints on the owners of a service's slices.
struct placement {
    std::vector<std::string> regions;      ///< Regions whose servers may own slices.
    std::uint32_t max_share_percent = 100; ///< Upper bound on one server's share of the slices.
};

/// A service and the limits of its servers.
struct service {
    bool divided_by_key = false;
    std::uint32_t slices = 256;             ///< Slices of the key space; a power of two.
    std::uint32_t cells = 1;                ///< Cells that the slices and servers are divided into.
    std::uint32_t slots = 1;                ///< Requests that one server runs at once.
    std::uint32_t connections = 16;         ///< Connections that one server accepts.
    std::uint32_t queue_requests = 200;     ///< Limit of the home's queue for one server.
    std::uint32_t queue_bytes = 16U << 20U; ///< Limit of that queue in bytes of buffered bodies.
    bool verifies_grants = false;           ///< The server checks the fencing token of lease orders.
    std::string placement_name;
    std::string profile_name;
};

/// Maps requests by path and method to a service.
struct route {
    /// Template of literal segments, `{key}` for the key, and `{*}` as the last segment for any remaining
    /// path.
    std::string path;
    std::vector<std::string> methods;
    std::string service_name;
    /// Header that carries the key if the path does not.
    std::string key_header;
    bool idempotent = false;
    milliseconds deadline{2000};
    /// read, write or upload; selects the share of the regional budget.
    std::string traffic_class = "read";
};

/// Bandwidth between two regions and its division among traffic classes.
struct budget {
    std::vector<std::string> between; ///< The two regions.
    std::uint32_t megabits_per_second = 0;
    std::uint32_t reads_percent = 50;
    std::uint32_t writes_percent = 20;
    std::uint32_t uploads_percent = 25;
    std::uint32_t control_percent = 5;
};

/// One checked set of objects. Immutable once published; `version` is assigned at publication.
struct object_set {
    std::uint64_t version = 0;
    std::map<std::string, region> regions;
    std::map<std::string, profile> profiles;
    std::map<std::string, placement> placements;
    std::map<std::string, service> services;
    std::map<std::string, route> routes;
    std::map<std::string, budget> budgets;

    const profile& profile_of(const service& s) const { return profiles.at(s.profile_name); }
};

/// An input file of `parse_objects`.
struct object_file {
    std::string name;
    std::string text;
};

/// Parses and checks `files` as one set. On failure returns every error found.
tl::expected<object_set, std::vector<ini_error>> parse_objects(std::span<const object_file> files);

/// A route that matched a caller's request.
struct route_match {
    const std::string* route_name;
    const route* matched;
    std::string_view key; ///< Empty if the route's path has no key.
};

/// Finds the most specific route for `method` and `path` (without query).
std::optional<route_match> match_route(const object_set& objects, std::string_view method,
                                       std::string_view path);

} // namespace balsampost::core
