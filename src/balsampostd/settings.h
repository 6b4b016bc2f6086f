// The daemon's settings: one INI file, checked as a whole.
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
    core::endpoint callers;
    core::endpoint peer; ///< Control exchanges between instances.
    core::endpoint data; ///< Requests between instances.
    core::endpoint admin;
};

struct platform_settings {
    std::vector<core::endpoint> addresses;
};

struct security_settings {
    std::vector<std::string> keys; ///< id:secret; the first is used for connecting, all are accepted.
    std::string operator_token;    ///< Asked of operators for commands that change something.
};

struct log_section {
    std::string level = "info";
    std::string format = "text";
};

struct trace_settings {
    std::uint32_t sample_permille = 10; ///< Of requests without a caller's decision.
    std::uint32_t keep = 4096;          ///< Spans kept for queries.
    bool log = false;                   ///< Also write each span as an event.
};

struct limit_settings {
    std::uint32_t callers = 2000; ///< Callers' connections.
    std::uint32_t header_bytes = 16U << 10U;
    core::milliseconds header_time{10'000}; ///< For a whole request header to arrive.
    core::milliseconds idle_time{60'000};   ///< For the next request on a kept connection.
    core::milliseconds stall_time{30'000};  ///< For any progress of a body.
    core::milliseconds drain_time{30'000};  ///< Bound on the graceful shutdown.
    std::uint32_t links_per_peer = 64;      ///< Idle data links kept to one instance.
};

struct settings {
    instance_settings instance;
    listen_settings listen;
    platform_settings platform;
    security_settings security;
    log_section log;
    trace_settings trace;
    limit_settings limits;

    net::key_ring keys() const;
    telemetry::log_settings log_options() const;
};

/// Parses and checks the text of `file`. All faults at once.
tl::expected<settings, std::vector<core::ini_error>> parse_settings(const std::string& text,
                                                                    const std::string& file);

} // namespace balsampost::daemon
