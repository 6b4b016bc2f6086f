// The event loop's rule for exceptions that no task contained.
#include "balsampost/entry/event_loop.h"

#include "balsampost/telemetry/log.h"

#include <exception>
#include <stdexcept>
#include <string>

namespace balsampost::entry {

void log_current_exception(std::string_view place, std::string_view consequence) noexcept {
    try {
        std::string reason = "unknown exception";
        try {
            throw;
        } catch (const std::exception& e) {
            reason = e.what();
        } catch (...) { // NOLINT(bugprone-empty-catch): `reason` says so.
        }
        telemetry::log(
            telemetry::event::handler_failed,
            {{"place", std::string(place)}, {"reason", reason}, {"consequence", std::string(consequence)}});
    } catch (...) { // NOLINT(bugprone-empty-catch): nothing is left to report it with.
    }
}

bool run_event_loop(net::asio::io_context& context) {
    while (true) {
        try {
            context.run();
            return true;
        } catch (const std::runtime_error&) { // Includes std::system_error.
            log_current_exception("event loop", "the loop goes on");
        } catch (...) {
            log_current_exception("event loop", "the process ends");
            return false;
        }
    }
}

} // namespace balsampost::entry
