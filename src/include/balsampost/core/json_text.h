// JSON from and for other parties. Everything that another party wrote is read through these functions: they
// bound the size and depth of a text before it is parsed, report every fault as an error, and take a document
// apart without decoding its parts, so that one unreadable part does not spoil the others.
#pragma once

#include "balsampost/core/error.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace balsampost::core {

struct json_limits {
    std::size_t max_bytes = 2U << 20U;
    /// Nested arrays and objects, the outermost one included.
    std::size_t max_depth = 32;
};

/// Parses a complete JSON text within the limits. The error names the fault, in a bounded number of bytes.
result<nlohmann::json> parse_json(std::string_view text, const json_limits& limits = {});

/// Whether `text` stays within the limits. It need not be valid JSON.
bool within_limits(std::string_view text, const json_limits& limits);

/// Serializes `value`. Never fails: bytes that are not UTF-8 are written as U+FFFD.
std::string json_to_string(const nlohmann::json& value);

/// Returns the raw texts of the elements of an array. Only the nesting of brackets and strings is checked:
/// the elements themselves may be invalid. Does not recurse.
result<std::vector<std::string_view>> json_elements(std::string_view array);

/// A member's raw key, without its quotes, and its raw value.
using json_member = std::pair<std::string_view, std::string_view>;

/// Returns the members of an object, with the guarantees of `json_elements`.
result<std::vector<json_member>> json_members(std::string_view object);

/// The raw value of the last member `key`, or an empty text if there is none. Keys that are written with
/// escape sequences are not found.
std::string_view find_member(const std::vector<json_member>& members, std::string_view key);

/// Whether `text` is valid UTF-8.
bool is_utf8(std::string_view text);

} // namespace balsampost::core
