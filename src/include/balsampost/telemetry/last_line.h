// The last line of a process that std::terminate or a fatal signal ends.
#pragma once

#include "balsampost/telemetry/log.h"

namespace balsampost::telemetry {

/// From now on an exception that nothing catches, in any thread, and SIGSEGV, SIGBUS, SIGFPE, SIGILL and
/// SIGABRT write one `handler_failed` line to standard output before the process ends by the same signal.
/// Lines that still wait for the writing thread are lost. Call once, after `start_log`.
void write_last_line_on_failure(const log_settings& settings);

} // namespace balsampost::telemetry
