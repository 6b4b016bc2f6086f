// Logging of numbered events through Boost.Log: one line an event on standard error, as text or JSON.
#pragma once

#include "balsampost/telemetry/events.h"

#include <initializer_list>
#include <string>
#include <utility>

namespace balsampost::telemetry {

enum class log_format : std::uint8_t { text, json };

struct log_settings {
    severity least = severity::info;
    log_format format = log_format::text;
    std::string instance; ///< Stands in every line.
};

/// Once, before the first event.
void start_log(const log_settings& settings);

using log_field = std::pair<const char*, std::string>;

/// Writes the line of `code` with its fields, in their order.
void log(event code, std::initializer_list<log_field> fields);

/// The line as it would be written; `time` is ISO 8601.
std::string format_line(const log_settings& settings, const std::string& time, event code,
                        std::initializer_list<log_field> fields);

} // namespace balsampost::telemetry
