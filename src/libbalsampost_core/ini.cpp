// Parses INI texts with Boost.PropertyTree, and the value types used by settings and objects.
#include "balsampost/core/ini.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <arpa/inet.h>

#include <charconv>
#include <sstream>

namespace balsampost::core {

namespace {

std::vector<std::string> split_list(const std::string& text) {
    std::vector<std::string> items;
    if (!text.empty()) {
        boost::algorithm::split(items, text, boost::algorithm::is_any_of(" ,\t"),
                                boost::algorithm::token_compress_on);
    }
    std::erase(items, "");
    return items;
}

bool is_ip_address(const std::string& text) {
    in_addr v4{};
    in6_addr v6{};
    return inet_pton(AF_INET, text.c_str(), &v4) == 1 || inet_pton(AF_INET6, text.c_str(), &v6) == 1;
}

} // namespace

std::string to_string(const ini_error& error) {
    std::string text = error.file + ":";
    if (!error.section.empty()) {
        text += " [" + error.section + "]";
    }
    if (!error.key.empty()) {
        text += " " + error.key + ":";
    }
    return text + " " + error.reason;
}

tl::expected<std::vector<ini_section>, ini_error> parse_ini(const std::string& text,
                                                            const std::string& file) {
    boost::property_tree::ptree tree;
    std::istringstream input(text);
    try {
        boost::property_tree::ini_parser::read_ini(input, tree);
    } catch (const boost::property_tree::ini_parser_error& e) {
        return tl::unexpected(
            ini_error{file, "", "", "line " + std::to_string(e.line()) + ": " + e.message()});
    }
    std::vector<ini_section> sections;
    for (const auto& [name, node] : tree) {
        if (node.empty() && !node.data().empty()) {
            return tl::unexpected(ini_error{file, "", name, "key outside a section"});
        }
        ini_section section{file, name, {}};
        for (const auto& [key, value] : node) {
            section.entries.emplace_back(key, value.data());
        }
        sections.push_back(std::move(section));
    }
    return sections;
}

std::string to_string(const endpoint& value) {
    const bool v6 = value.address.find(':') != std::string::npos;
    return (v6 ? "[" + value.address + "]" : value.address) + ":" + std::to_string(value.port);
}

tl::expected<endpoint, std::string> parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return tl::unexpected("'" + text + "' has no port; write ADDRESS:PORT");
    }
    std::string address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
    }
    if (!is_ip_address(address)) {
        return tl::unexpected("'" + address + "' is not an IP number; host names are not resolved");
    }
    std::uint32_t port = 0;
    if (auto reason = detail::parse_value(text.substr(colon + 1), 1, 65535, port); !reason.empty()) {
        return tl::unexpected("port: " + reason);
    }
    return endpoint{address, static_cast<std::uint16_t>(port)};
}

namespace detail {

std::string parse_value(const std::string& text, std::uint32_t, std::uint32_t, std::string& out) {
    if (text.empty()) {
        return "empty value";
    }
    out = text;
    return "";
}

std::string parse_value(const std::string& text, std::uint32_t, std::uint32_t, bool& out) {
    if (text != "yes" && text != "no") {
        return "'" + text + "' is neither yes nor no";
    }
    out = text == "yes";
    return "";
}

std::string parse_value(const std::string& text, std::uint32_t minimum, std::uint32_t maximum,
                        std::uint32_t& out) {
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc() || end != text.data() + text.size()) {
        return "'" + text + "' is not a whole number";
    }
    if (value < minimum || value > maximum) {
        return "'" + text + "' is outside " + std::to_string(minimum) + ".." + std::to_string(maximum);
    }
    out = static_cast<std::uint32_t>(value);
    return "";
}

std::string parse_value(const std::string& text, std::uint32_t minimum, std::uint32_t maximum,
                        milliseconds& out) {
    std::uint32_t count = 0;
    auto reason = parse_value(text, minimum, maximum, count);
    if (reason.empty()) {
        out = milliseconds(count);
    }
    return reason;
}

std::string parse_value(const std::string& text, std::uint32_t, std::uint32_t,
                        std::vector<std::string>& out) {
    out = split_list(text);
    return out.empty() ? "empty list" : "";
}

std::string parse_value(const std::string& text, std::uint32_t, std::uint32_t, endpoint& out) {
    auto parsed = parse_endpoint(text);
    if (!parsed) {
        return parsed.error();
    }
    out = *parsed;
    return "";
}

std::string parse_value(const std::string& text, std::uint32_t minimum, std::uint32_t maximum,
                        std::vector<endpoint>& out) {
    out.clear();
    for (const auto& item : split_list(text)) {
        endpoint parsed;
        if (auto reason = parse_value(item, minimum, maximum, parsed); !reason.empty()) {
            return reason;
        }
        out.push_back(parsed);
    }
    return out.empty() ? "empty list" : "";
}

} // namespace detail

} // namespace balsampost::core
