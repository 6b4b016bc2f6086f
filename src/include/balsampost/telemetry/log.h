// Logging of numbered events through Boost.Log: one line per event, as text or JSON.
#pragma once

#include "balsampost/telemetry/events.h"

#include <initializer_list>
#include <string>
#include <utility>

namespace balsampost::telemetry {

enum class log_format : std::uint8_t { text, json };

enum class log_output : std::uint8_t {
    /// Standard error; each line is flushed before `log` returns.
    sync_stderr,
    /// Standard output, written by a background thread. Lines beyond the buffer's limit are dropped and
    /// counted.
    async_stdout,
};

struct log_settings {
    /// Events below this level are not logged.
    severity min_level = severity::info;
    log_format format = log_format::text;
    /// Name of the instance, part of every line.
    std::string instance;
    log_output output = log_output::sync_stderr;
};

/// Installs the log sink. Must be called once, before the first event is logged.
void start_log(const log_settings& settings);

/// Writes the buffered lines and removes the sink of `async_stdout`. No event may be logged afterwards.
void stop_log();

using log_field = std::pair<const char*, std::string>;

/// Logs event `code` with `fields` in the given order.
void log(event code, std::initializer_list<log_field> fields);

/// Returns the line that `log` writes; `time` is in ISO 8601 format.
std::string format_line(const log_settings& settings, const std::string& time, event code,
                        std::initializer_list<log_field> fields);

} // namespace balsampost::telemetry
