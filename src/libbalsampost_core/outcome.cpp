// Names of outcomes, refusal reasons and error codes, and how refusals are reported.
#include "balsampost/core/outcome.h"

#include "balsampost/core/error.h"

#include <array>

namespace balsampost::core {

namespace {

constexpr std::array<std::string_view, 3> outcome_names{"answered", "not_run", "unknown"};

constexpr std::array<refusal_rule, refusal_reason_count> refusal_rules{{
    {"no_route", outcome::not_run, 404},
    {"no_owner", outcome::not_run, 503},
    {"not_home", outcome::not_run, 503},
    {"queue_full", outcome::not_run, 503},
    {"deadline", outcome::not_run, 504},
    {"server_refused", outcome::not_run, 503},
    {"server_unreachable", outcome::not_run, 503},
    {"connection_lost", outcome::unknown, 502},
    {"budget", outcome::not_run, 503},
    {"duplicate", outcome::unknown, 409},
    {"shutting_down", outcome::not_run, 503},
    {"overloaded", outcome::not_run, 503},
}};

} // namespace

std::string_view to_string(outcome value) {
    return outcome_names.at(static_cast<std::size_t>(value));
}

std::optional<outcome> outcome_from_string(std::string_view text) {
    for (std::size_t i = 0; i < outcome_names.size(); ++i) {
        if (outcome_names[i] == text) {
            return static_cast<outcome>(i);
        }
    }
    return std::nullopt;
}

const refusal_rule& rule_of(refusal_reason reason) {
    return refusal_rules.at(static_cast<std::size_t>(reason));
}

const char* to_string(error_code code) {
    constexpr std::array names{"invalid_input",   "not_found", "conflict", "unavailable",
                               "unknown_outcome", "refused",   "protocol"};
    return names.at(static_cast<std::size_t>(code));
}

} // namespace balsampost::core
