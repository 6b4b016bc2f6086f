// The daemon's settings, read from one INI file. All errors in the file are reported together.
#pragma once

#include "balsampost/core/ini.h"
#include "balsampost/net/handshake.h"
#include "balsampost/telemetry/log.h"

#include <string>
#include <vector>

namespace balsampost::daemon {

struct instance_settings {
    std::string name;
    std::string region;
    std::string failure_domain;
    std::string cluster;
};

struct listen_settings {
    core::endpoint callers; ///< HTTP requests of callers.
    core::endpoint peer;    ///< Control frames between instances.
    core::endpoint data;    ///< Requests forwarded between instances.
    core::endpoint admin;   ///< Metrics, health checks, status and operator commands.
};

struct platform_settings {
    std::vector<core::endpoint> addresses; ///< Addresses of the platform's object store.
};

struct security_settings {
    /// Shared keys as ID:SECRET. Outgoing connections use the first; incoming ones may use any.
    std::vector<std::string> keys;
    std::string operator_token; ///< Required for operator commands.
};

struct log_section {
    std::string level = "info";
    std::string format = "text";
};

struct trace_settings {
    /// Share of requests that are traced, in 1/1000, unless the caller's trace context decides.
    std::uint32_t sample_permille = 10;
    std::uint32_t keep = 4096; ///< Number of spans kept in memory for /traces.
    bool log = false;          ///< Also write each span to the log.
};

struct limit_settings {
    std::uint32_t callers = 2000;            ///< Maximum number of open caller connections.
    std::uint32_t header_bytes = 16U << 10U; ///< Maximum size of a request header.
    core::milliseconds header_time{10'000};  ///< Timeout for receiving a complete request header.
    core::milliseconds idle_time{60'000};    ///< Timeout for the next request on a persistent connection.
    core::milliseconds stall_time{30'000};   ///< Timeout for progress in the transfer of a body.
    core::milliseconds drain_time{30'000};   ///< Maximum time of the graceful shutdown.
    std::uint32_t links_per_peer = 64;       ///< Maximum number of idle data links kept to one instance.
};

struct settings {
    instance_settings instance;
    listen_settings listen;
    platform_settings platform;
    security_settings security;
    log_section log;
    trace_settings trace;
    limit_settings limits;

    /// Returns the security keys, split into ID and secret.
    net::key_ring keys() const;
    telemetry::log_settings log_options() const;
};

/// Parses and checks `text`, read from `file`. Returns all errors at once; each names the file, section and
/// key.
tl::expected<settings, std::vector<core::ini_error>> parse_settings(const std::string& text,
                                                                    const std::string& file);

} // namespace balsampost::daemon
