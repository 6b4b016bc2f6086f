// Containment of what handlers throw: one task fails alone, or the process ends on purpose with a line.
#pragma once

#include "balsampost/net/asio.h"

#include <string_view>
#include <utility>

namespace balsampost::entry {

/// Logs the exception that is being handled as `handler_failed` with `place`. Never throws: without memory
/// for the line, there is no line.
void log_current_exception(std::string_view place, std::string_view consequence) noexcept;

/// Runs `task`, which serves one connection, datagram or request. Returns false if it threw: the exception
/// is logged, and the caller must end what the task served.
template <class Task>
bool contained(std::string_view place, Task&& task) noexcept {
    try {
        std::forward<Task>(task)();
        return true;
    } catch (...) {
        log_current_exception(place, "ends what the handler served");
        return false;
    }
}

/// Runs the handlers of `context` until it is stopped or has no work. A handler that fails with an error of
/// the system (`std::runtime_error`) is logged and the loop goes on. Any other exception may have left shared
/// state half changed: it is logged, and the function returns false so that the process ends on purpose.
bool run_event_loop(net::asio::io_context& context);

} // namespace balsampost::entry
