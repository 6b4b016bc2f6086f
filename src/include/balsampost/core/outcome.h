// Outcomes of callers' requests, as reported to the caller.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace balsampost::core {

/// What happened to a request. `not_run` guarantees that no backend server executed it.
enum class outcome : std::uint8_t {
    answered, ///< A backend server answered, and the complete answer was forwarded.
    not_run,  ///< Certainly not executed; the caller can safely send it again.
    unknown,  ///< It may or may not have been executed.
};

std::string_view to_string(outcome value);
std::optional<outcome> outcome_from_string(std::string_view text);

/// Why a request did not get a server's answer. Each reason implies an outcome and an HTTP status.
enum class refusal_reason : std::uint8_t {
    no_route,           ///< No route matches the path and method.
    no_owner,           ///< The key's slice has no live owner before the deadline.
    not_home,           ///< This instance is not the server's home; the sender's routing is out of date.
    queue_full,         ///< The server's queue has reached its limit of requests or bytes.
    deadline,           ///< The deadline cannot be met, or passed while the request was queued.
    server_refused,     ///< The server reported that it did not execute the request.
    server_unreachable, ///< No byte of the request reached the server.
    connection_lost,    ///< The connection broke after the request may have reached the server.
    budget,             ///< The byte budget between the two regions is used up.
    duplicate,          ///< A request with this id was already received.
    shutting_down,      ///< The instance is shutting down.
    overloaded,         ///< The instance has reached its limit of concurrent requests from callers.
};

inline constexpr std::size_t refusal_reason_count = 12;

/// How a refusal reason is reported.
struct refusal_rule {
    std::string_view name;
    outcome implied_outcome;
    unsigned http_status;
};

const refusal_rule& rule_of(refusal_reason reason);

} // namespace balsampost::core
