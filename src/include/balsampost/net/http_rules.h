// Rules of HTTP that the entry applies to callers' messages.
#pragma once

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace balsampost::net {

/// Whether a header belongs to one connection only and is not passed on.
bool is_hop_by_hop(std::string_view name);

/// Whether a header describes one connection or the framing of one message, so that every hop sets its own.
bool is_connection_header(std::string_view name);

/// Whether the `Connection` header of `fields` names `name`, which makes it belong to the connection.
bool named_by_connection(const boost::beast::http::fields& fields, std::string_view name);

/// Why a request that was parsed must still be refused: forms by which two parsers could see different
/// messages.
std::optional<std::string> ambiguity_in(const boost::beast::http::fields& fields, unsigned version,
                                        std::string_view target);

} // namespace balsampost::net
