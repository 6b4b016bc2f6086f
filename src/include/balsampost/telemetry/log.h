// Logging of numbered events through Boost.Log: one line an event, as text or JSON.
#pragma once

#include "balsampost/telemetry/events.h"

#include <initializer_list>
#include <string>
#include <utility>

namespace balsampost::telemetry {

enum class log_format : std::uint8_t { text, json };

enum class log_output : std::uint8_t {
    stderr_now,     ///< Standard error, each line at once.
    bounded_stdout, ///< Standard output, by a thread of its own; lines beyond a bound are dropped and
                    ///< counted.
};

struct log_settings {
    severity least = severity::info;
    log_format format = log_format::text;
    std::string instance; ///< Stands in every line.
    log_output output = log_output::stderr_now;
};

/// Once, before the first event.
void start_log(const log_settings& settings);

/// Writes what is left; nothing is logged after it.
void stop_log();

using log_field = std::pair<const char*, std::string>;

/// Writes the line of `code` with its fields, in their order.
void log(event code, std::initializer_list<log_field> fields);

/// The line as it would be written; `time` is ISO 8601.
std::string format_line(const log_settings& settings, const std::string& time, event code,
                        std::initializer_list<log_field> fields);

} // namespace balsampost::telemetry
