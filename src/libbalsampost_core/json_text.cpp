// A scanner for the structure of JSON, and the bounded use of the JSON library.
#include "balsampost/core/json_text.h"

#include <boost/locale/utf.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace balsampost::core {

namespace {

constexpr std::size_t max_reason_bytes = 200; // The library quotes the input, which may be long.
constexpr std::size_t no_end = std::string_view::npos;

bool is_space(char c) {
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

std::size_t skip_space(std::string_view text, std::size_t at) {
    while (at < text.size() && is_space(text[at])) {
        ++at;
    }
    return at;
}

/// Returns the position after the string whose opening quote is at `at`.
std::size_t string_end(std::string_view text, std::size_t at) {
    for (++at; at < text.size(); ++at) {
        if (text[at] == '\\') {
            ++at;
        } else if (text[at] == '"') {
            return at + 1;
        }
    }
    return no_end;
}

/// Returns the position after the value that begins at `at`.
std::size_t value_end(std::string_view text, std::size_t at) {
    std::size_t depth = 0;
    const auto begin = at;
    while (at < text.size()) {
        switch (text[at]) {
        case '"':
            at = string_end(text, at);
            if (at == no_end || depth == 0) {
                return at;
            }
            continue;
        case '[':
        case '{':
            ++depth;
            break;
        case ']':
        case '}':
            if (depth == 0) {
                return at > begin ? at : no_end; // The end of a scalar, and of what encloses it.
            }
            if (--depth == 0) {
                return at + 1;
            }
            break;
        case ',':
            if (depth == 0) {
                return at > begin ? at : no_end;
            }
            break;
        default:
            if (depth == 0 && is_space(text[at])) {
                return at;
            }
            break;
        }
        ++at;
    }
    return depth == 0 && at > begin ? at : no_end;
}

/// Calls `item` at each position where an element or member of the container begins; it returns the position
/// after it. Returns whether the container is complete and nothing follows it.
template <class Item>
bool scan_container(std::string_view text, char open, char close, const Item& item) {
    auto at = skip_space(text, 0);
    if (at >= text.size() || text[at] != open) {
        return false;
    }
    at = skip_space(text, at + 1);
    if (at < text.size() && text[at] == close) {
        return skip_space(text, at + 1) == text.size();
    }
    while (at < text.size()) {
        at = item(at);
        if (at == no_end) {
            return false;
        }
        at = skip_space(text, at);
        if (at < text.size() && text[at] == close) {
            return skip_space(text, at + 1) == text.size();
        }
        if (at >= text.size() || text[at] != ',') {
            return false;
        }
        at = skip_space(text, at + 1);
    }
    return false;
}

} // namespace

bool within_limits(std::string_view text, const json_limits& limits) {
    if (text.size() > limits.max_bytes) {
        return false;
    }
    std::size_t depth = 0;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char c = text[at];
        if (c == '"') {
            const auto end = string_end(text, at);
            if (end == no_end) {
                return true; // The rest is one incomplete string.
            }
            at = end - 1;
        } else if (c == '[' || c == '{') {
            if (++depth > limits.max_depth) {
                return false;
            }
        } else if (c == ']' || c == '}') {
            depth -= std::min<std::size_t>(depth, 1);
        }
    }
    return true;
}

result<nlohmann::json> parse_json(std::string_view text, const json_limits& limits) {
    if (!within_limits(text, limits)) {
        return fail(error_code::invalid_input,
                    text.size() > limits.max_bytes
                        ? "JSON of " + std::to_string(text.size()) + " bytes is too large"
                        : "JSON is nested deeper than " + std::to_string(limits.max_depth) + " levels");
    }
    try {
        return nlohmann::json::parse(text.begin(), text.end());
    } catch (const nlohmann::json::exception& e) {
        return fail(error_code::invalid_input, std::string(e.what()).substr(0, max_reason_bytes));
    }
}

std::string json_to_string(const nlohmann::json& value) {
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<std::vector<std::string_view>> json_elements(std::string_view array) {
    std::vector<std::string_view> out;
    const bool complete = scan_container(array, '[', ']', [&](std::size_t at) {
        const auto end = value_end(array, at);
        if (end != no_end) {
            out.push_back(array.substr(at, end - at));
        }
        return end;
    });
    if (!complete) {
        return fail(error_code::invalid_input, "not a complete JSON array");
    }
    return out;
}

result<std::vector<json_member>> json_members(std::string_view object) {
    std::vector<json_member> out;
    const bool complete = scan_container(object, '{', '}', [&](std::size_t at) {
        const auto key_end = object[at] == '"' ? string_end(object, at) : no_end;
        if (key_end == no_end) {
            return no_end;
        }
        auto value = skip_space(object, key_end);
        if (value >= object.size() || object[value] != ':') {
            return no_end;
        }
        value = skip_space(object, value + 1);
        const auto end = value < object.size() ? value_end(object, value) : no_end;
        if (end != no_end) {
            out.emplace_back(object.substr(at + 1, key_end - at - 2), object.substr(value, end - value));
        }
        return end;
    });
    if (!complete) {
        return fail(error_code::invalid_input, "not a complete JSON object");
    }
    return out;
}

std::string_view find_member(const std::vector<json_member>& members, std::string_view key) {
    const auto found =
        std::find_if(members.rbegin(), members.rend(), [&](const json_member& m) { return m.first == key; });
    return found == members.rend() ? std::string_view() : found->second;
}

bool is_utf8(std::string_view text) {
    using utf8 = boost::locale::utf::utf_traits<char>;
    for (auto at = text.begin(); at != text.end();) {
        const auto code = utf8::decode(at, text.end());
        if (code == boost::locale::utf::illegal || code == boost::locale::utf::incomplete) {
            return false;
        }
    }
    return true;
}

} // namespace balsampost::core
