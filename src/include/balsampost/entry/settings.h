// Settings of an entry: one INI file, checked as a whole.
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
    std::string address; ///< IP of this instance.
};

struct listen_settings {
    core::endpoint callers;
    core::endpoint readiness;
    core::endpoint peers; ///< UDP: reports between instances.
    core::endpoint metrics;
};

struct store_settings {
    core::endpoint address;
};

/// What the operator promises and asks for.
struct bound_settings {
    core::milliseconds stop_time{6'000};     ///< From the stop signal to the end by force.
    core::milliseconds backend_beat{1'000};  ///< Between a server's signs of life in the store.
    core::milliseconds longest_hold{10'000}; ///< That a server accepts in a grant.
    core::milliseconds leaving_time{2'000};  ///< Within it, a leaving server must get no new request.
    core::milliseconds apply_time{2'000};    ///< Within it, an accepted manifest must be in force.
    std::uint32_t repeat_permille = 200;     ///< Repeats for each thousand requests of a service.
    std::uint32_t repeat_slack = 10;         ///< Repeats that all instances have besides, in one window.
    core::milliseconds repeat_window{10'000};
};

struct resource_settings {
    std::uint32_t memory_mb = 256;
    std::uint32_t descriptors = 4'096;
    std::string cpu_share = "1";    ///< Of one core.
    std::string link_mbps = "1000"; ///< Of this instance's own link.

    /// 0 for an instance that can well coordinate others, up to 1 for one that should leave it to them.
    double weakness() const;
};

struct log_settings {
    std::string level = "info";
};

struct settings {
    instance_settings instance;
    listen_settings listen;
    store_settings store;
    bound_settings bounds;
    resource_settings resources;
    log_settings log;
    std::map<std::string, std::string> regions; ///< Region by failure domain.
};

/// Parses and checks the text of `file`. All faults at once, each naming its section and key.
tl::expected<settings, std::vector<core::ini_error>> parse_settings(const std::string& text,
                                                                    const std::string& file);

} // namespace balsampost::entry
