// Error values returned by the functions of the libraries.
#pragma once

#include <tl/expected.hpp>

#include <string>

namespace balsampost::core {

/// Kinds of error that callers handle differently.
enum class error_code {
    invalid_input,   ///< The input breaks a documented rule; the message says which part of it.
    not_found,       ///< The named object does not exist.
    conflict,        ///< A conditional update failed because another writer came first.
    unavailable,     ///< The peer could not be reached; the request was certainly not delivered.
    unknown_outcome, ///< The request may have been delivered, but no answer arrived.
    refused,         ///< The peer understood the request and refused it.
    protocol,        ///< The peer violated the protocol.
};

/// An error kind with a message for operators.
struct error {
    error_code code = error_code::invalid_input;
    std::string message;
};

template <class T>
using result = tl::expected<T, error>;

/// The short name of `code`, as used in logs.
const char* to_string(error_code code);

/// Builds the unexpected side of a `result`.
inline tl::unexpected<error> fail(error_code code, std::string message) {
    return tl::unexpected<error>(error{code, std::move(message)});
}

} // namespace balsampost::core
