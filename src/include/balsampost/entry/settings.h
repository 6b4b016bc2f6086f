// Settings of an instance: one INI file, validated as a whole.
#pragma once

#include "balsampost/core/ini.h"
#include "balsampost/core/time.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace balsampost::entry {

struct instance_settings {
    std::string name;
    std::string region;
    std::string failure_domain;
    std::string address; ///< IP address of this instance.
};

struct listen_settings {
    core::endpoint callers;
    core::endpoint readiness;
    core::endpoint peers;   ///< UDP, for reports and updates between instances.
    core::endpoint metrics; ///< Port 0: no metrics are served.
};

struct store_settings {
    core::endpoint address;
};

/// Guarantees and requirements of the operator.
struct bound_settings {
    /// From the stop signal until the process is killed.
    core::milliseconds stop_time{6'000};
    /// Interval between a server's heartbeats in the store.
    core::milliseconds backend_heartbeat{1'000};
    /// Maximum hold time that a server accepts in a grant.
    core::milliseconds max_hold{10'000};
    /// A server that is leaving must receive no new request after this time.
    core::milliseconds leaving_time{2'000};
    /// An accepted manifest must be in force after this time.
    core::milliseconds apply_time{2'000};
    /// Retries allowed per thousand requests of a service.
    std::uint32_t repeat_permille = 200;
    /// Additional retries that all instances together may make in one window.
    std::uint32_t repeat_slack = 10;
    core::milliseconds repeat_window{10'000};
    /// An evacuated failure domain must receive no request after this time. 0: there are no evacuations, and
    /// nothing is read of them.
    core::milliseconds evacuation_time{0};
    /// A cold server may get this multiple of its rate, in thousandths ...
    std::uint32_t warmup_overage_permille = 1'500;
    /// ... and this many further requests in any second, from all instances together.
    std::uint32_t warmup_slack = 8;
};

struct resource_settings {
    std::uint32_t memory_mb = 256;
    std::uint32_t descriptors = 4'096;
    /// Fraction of one core, as text.
    std::string cpu_share = "1";
    /// Bandwidth of this instance's link in Mbit/s, as text.
    std::string link_mbps = "1000";

    /// Returns 0 for an instance with ample capacity to coordinate others, up to 1 for one with next to none.
    double capacity_shortage() const;
    double link_bytes_per_s() const;
};

/// Limits of what callers and servers may make the instance hold.
struct limit_settings {
    /// Part of the memory for all that is held for callers and servers, in percent; the rest is the process's
    /// own.
    std::uint32_t memory_percent = 50;
    /// Part of the memory that one caller's connection may hold.
    std::uint32_t connection_percent = 40;
    /// Part of the memory that all connections from one client address may hold.
    std::uint32_t address_percent = 45;
    /// Bytes per second that a caller must send of a body, or take of an answer, on average over a window.
    std::uint32_t min_rate = 256;
    core::milliseconds rate_window{10'000};
    /// Requests of one connection that are read before earlier ones are answered.
    std::uint32_t requests_ahead = 16;
};

struct log_settings {
    std::string level = "info";
};

struct selection_section {
    /// Servers are chosen by the estimated costs of requests instead of their number.
    bool by_cost = false;
};

struct settings {
    instance_settings instance;
    listen_settings listen;
    store_settings store;
    bound_settings bounds;
    resource_settings resources;
    limit_settings limits;
    log_settings log;
    selection_section selection;
    std::map<std::string, std::string> regions; ///< Region of each failure domain.
};

/// Parses and validates the text of `file`. On failure returns all faults, each with its section and key.
tl::expected<settings, std::vector<core::ini_error>> parse_settings(const std::string& text,
                                                                    const std::string& file);

} // namespace balsampost::entry
