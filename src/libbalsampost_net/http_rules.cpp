// Header forwarding rules and checks for ambiguous requests.
#include "balsampost/net/http_rules.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <array>

namespace balsampost::net {

namespace http = boost::beast::http;

namespace {

constexpr std::array<std::string_view, 13> unforwarded_headers{
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
    "te",         "trailer",    "upgrade",          "transfer-encoding",  "content-length",
    "expect",     "host",       "traceparent"};

// The first 11 headers of the array describe the connection or the message framing. The others are replaced
// at each hop between instances.
constexpr std::size_t framing_header_count = 11;

constexpr std::string_view reserved_prefix = "balsampost-";

constexpr unsigned http_1_0 = 10;
constexpr unsigned http_1_1 = 11;

constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;

} // namespace

bool is_hop_by_hop(std::string_view name) {
    return boost::algorithm::istarts_with(name, reserved_prefix) ||
           std::any_of(unforwarded_headers.begin(), unforwarded_headers.end(),
                       [&](std::string_view h) { return boost::algorithm::iequals(name, h); });
}

bool is_connection_header(std::string_view name) {
    const auto end = unforwarded_headers.begin() + framing_header_count;
    return std::any_of(unforwarded_headers.begin(), end,
                       [&](std::string_view h) { return boost::algorithm::iequals(name, h); });
}

std::optional<std::string> ambiguity_in(const http::fields& fields, unsigned version,
                                        std::string_view target) {
    const auto lengths = fields.count(http::field::content_length);
    const auto encodings = fields.count(http::field::transfer_encoding);
    if (lengths > 0 && encodings > 0) {
        return "both Content-Length and Transfer-Encoding";
    }
    if (lengths > 1 || encodings > 1) {
        return "a body length is given more than once";
    }
    if (encodings == 1 && !boost::algorithm::iequals(fields[http::field::transfer_encoding], "chunked")) {
        return "unknown Transfer-Encoding";
    }
    if (encodings == 1 && version < http_1_1) {
        return "Transfer-Encoding in HTTP/1.0";
    }
    if (version >= http_1_1 && fields.count(http::field::host) != 1) {
        return "needs exactly one Host";
    }
    if (target.empty() || target.front() != '/') {
        return "the target is not a path";
    }
    const bool has_control_character =
        std::any_of(target.begin(), target.end(), [](unsigned char c) { return c <= 0x20 || c == 0x7f; });
    return has_control_character ? std::optional<std::string>("the target holds control characters")
                                 : std::nullopt;
}

std::optional<std::string> fault_in_response_head(const http::fields& fields, unsigned version,
                                                  unsigned status, std::string_view text) {
    if (status < min_status || status > max_status) {
        return "the status " + std::to_string(status) + " is out of range";
    }
    if (version != http_1_0 && version != http_1_1) {
        return "unknown HTTP version";
    }
    // The parser takes such a line for a continuation of the field before it.
    if (text.find("\n ") != std::string_view::npos || text.find("\n\t") != std::string_view::npos) {
        return "a header line begins with white space";
    }
    if (fields.count(http::field::transfer_encoding) > 0 &&
        (version < http_1_1 || fields.count(http::field::transfer_encoding) > 1 ||
         !boost::algorithm::iequals(fields[http::field::transfer_encoding], "chunked"))) {
        return "unknown Transfer-Encoding";
    }
    return std::nullopt;
}

} // namespace balsampost::net
