// The operators' commands, each a function from its words to an exit code.
#pragma once

#include "balsampost/core/ini.h"

#include <string>
#include <vector>

namespace balsampost::cli {

/// What the options before the command say.
struct cli_options {
    std::vector<core::endpoint> instances; ///< Admin addresses; the first that answers is used.
    std::vector<core::endpoint> platform;
    std::string token;
    core::milliseconds wait{0}; ///< `apply`: how long to wait for every instance.
};

inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_usage = 2;

struct command_rule {
    const char* name;
    const char* arguments;
    const char* help;
    std::size_t least;
    std::size_t most;
    int (*run)(const cli_options& options, const std::vector<std::string>& words);
};

/// All commands, in the order of the help.
const std::vector<command_rule>& all_commands();

} // namespace balsampost::cli
