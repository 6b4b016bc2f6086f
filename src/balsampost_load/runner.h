// Sends a workload at a fixed open-loop rate and records what each caller was told.
#pragma once

#include "workload.h"

#include "balsampost/core/ini.h"
#include "balsampost/core/outcome.h"
#include "balsampost/core/time.h"

#include <optional>
#include <string>
#include <vector>

namespace balsampost::load {

struct run_settings {
    std::vector<core::endpoint> entries;
    const workload* work = nullptr;
    double rate = 100; ///< Requests a second, whatever the answers.
    core::milliseconds length{10'000};
    std::uint64_t seed = 1;
    std::uint32_t keys = 1000;
    double zipf = 0.9;
    core::milliseconds deadline{2000};
    bool keyed_only = false;
};

/// What one caller saw.
struct caller_record {
    std::string tag; ///< Unique; the server's audit carries it.
    const request_kind* kind = nullptr;
    std::string key;
    core::time_point began{};
    core::time_point ended{};
    unsigned status = 0;               ///< 0: no answer, or a connection that broke.
    std::optional<core::outcome> told; ///< The Balsampost-Outcome header.
    std::string reason;                ///< The Balsampost-Reason header.
    bool crossed = false;              ///< The answer was another caller's.
    bool truncated = false;            ///< The answer was complete to HTTP, but not the whole one.

    bool answered() const { return status == 200; }
};

std::vector<caller_record> run_workload(const run_settings& settings);

} // namespace balsampost::load
