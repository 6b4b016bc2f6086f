// Parses INI texts and binds their sections to structures through tables of member pointers. All errors found
// are reported, each with its file, section and key.
#pragma once

#include "balsampost/core/time.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace balsampost::core {

/// An error in an INI text; `section` and `key` are empty if the error is outside of one.
struct ini_error {
    std::string file;
    std::string section;
    std::string key;
    std::string reason;

    bool operator==(const ini_error&) const = default;
};

/// "file: [section] key: reason", the form shown to operators.
std::string to_string(const ini_error& error);

/// A section and its entries in the order of the text.
struct ini_section {
    std::string file;
    std::string name;
    std::vector<std::pair<std::string, std::string>> entries;
};

/// Splits `text` into sections. A duplicate section or key, or a key outside a section, is an error.
tl::expected<std::vector<ini_section>, ini_error> parse_ini(const std::string& text, const std::string& file);

/// An IP endpoint, written in settings as "127.0.0.1:8080". Host names are rejected.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

std::string to_string(const endpoint& value);
tl::expected<endpoint, std::string> parse_endpoint(const std::string& text);

/// Maps one key of a section to a member of `T`. `minimum` and `maximum` limit integers and milliseconds.
template <class T>
struct key_rule {
    const char* key;
    bool required;
    std::variant<std::string T::*, bool T::*, std::uint32_t T::*, milliseconds T::*,
                 std::vector<std::string> T::*, endpoint T::*, std::vector<endpoint> T::*>
        member;
    std::uint32_t minimum = 0;
    std::uint32_t maximum = std::numeric_limits<std::uint32_t>::max();
};

namespace detail {

/// Parsers of the member types. Each returns an empty string, or the reason for rejecting `text`.
std::string parse_value(const std::string& text, std::uint32_t minimum, std::uint32_t maximum,
                        std::string& out);
std::string parse_value(const std::string& text, std::uint32_t minimum, std::uint32_t maximum, bool& out);
std::string parse_value(const std::string& text, std::uint32_t minimum, std::uint32_t maximum,
                        std::uint32_t& out);
std::string parse_value(const std::string& text, std::uint32_t minimum, std::uint32_t maximum,
                        milliseconds& out);
std::string parse_value(const std::string& text, std::uint32_t minimum, std::uint32_t maximum,
                        std::vector<std::string>& out);
std::string parse_value(const std::string& text, std::uint32_t minimum, std::uint32_t maximum, endpoint& out);
std::string parse_value(const std::string& text, std::uint32_t minimum, std::uint32_t maximum,
                        std::vector<endpoint>& out);

} // namespace detail

/// Fills `out` from `section` and appends every unknown, missing or invalid key to `errors`.
template <class T>
void bind_section(const ini_section& section, std::span<const key_rule<T>> rules, T& out,
                  std::vector<ini_error>& errors) {
    for (const auto& entry : section.entries) {
        const std::string& key = entry.first;
        const std::string& text = entry.second;
        const key_rule<T>* found = nullptr;
        for (const auto& rule : rules) {
            if (key == rule.key) {
                found = &rule;
            }
        }
        if (found == nullptr) {
            errors.push_back({section.file, section.name, key, "unknown key"});
            continue;
        }
        std::string reason = std::visit(
            [&](auto member) {
                return detail::parse_value(text, found->minimum, found->maximum, out.*member);
            },
            found->member);
        if (!reason.empty()) {
            errors.push_back({section.file, section.name, key, std::move(reason)});
        }
    }
    for (const auto& rule : rules) {
        bool present = false;
        for (const auto& entry : section.entries) {
            present = present || entry.first == rule.key;
        }
        if (rule.required && !present) {
            errors.push_back({section.file, section.name, rule.key, "missing"});
        }
    }
}

} // namespace balsampost::core
