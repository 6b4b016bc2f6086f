// HTTP rules for callers' messages: which headers are forwarded, and which requests are ambiguous.
#pragma once

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace balsampost::net {

/// Returns whether a header must not be forwarded as received: it belongs to one connection or message
/// framing, is set anew by the next hop, or has the prefix `Balsampost-`, which is reserved for the router.
bool is_hop_by_hop(std::string_view name);

/// Returns whether a header describes one connection or the framing of one message. Every hop sets its own.
bool is_connection_header(std::string_view name);

/// Checks a parsed request for forms that another parser could interpret as a different message (request
/// smuggling). Returns the reason to refuse the request, or nothing if it is unambiguous.
std::optional<std::string> ambiguity_in(const boost::beast::http::fields& fields, unsigned version,
                                        std::string_view target);

/// Checks the head of a response for what the parser accepts though it is invalid, or what another parser
/// could understand in another way. `text`: the bytes of the header fields, which the status line may
/// precede. Returns the fault, or nothing if the head is valid.
std::optional<std::string> fault_in_response_head(const boost::beast::http::fields& fields, unsigned version,
                                                  unsigned status, std::string_view text);

} // namespace balsampost::net
