// Reading of a response's head, checked before any of its body is read.
#pragma once

#include "balsampost/net/asio.h"
#include "balsampost/net/http_rules.h"

#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

namespace balsampost::net {

/// Reads heads into `parser` up to that of the final response, and passes interim ones over. `prepare` sets
/// up each new parser. Bytes behind the head stay in `buffer`, which must be able to hold more than the
/// parser's limit of a head. Returns why there is no valid head, or nothing.
template <class Body, class Prepare>
awaitable<std::optional<std::string>>
read_response_head(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                   std::optional<beast::http::response_parser<Body>>& parser, Prepare prepare) {
    constexpr unsigned first_final_status = 200;
    constexpr int max_interim_responses = 16;
    constexpr std::size_t read_bytes = 32U << 10U;
    for (int interim_count = 0; interim_count <= max_interim_responses; ++interim_count) {
        parser.emplace();
        prepare(*parser);
        while (!parser->is_header_done()) {
            error_code ec;
            const auto used = buffer.size() > 0 ? parser->put(buffer.data(), ec) : 0;
            if (ec && ec != beast::http::error::need_more) {
                co_return ec.message();
            }
            if (parser->is_header_done()) {
                const auto& message = parser->get();
                const std::string_view text(static_cast<const char*>(buffer.data().data()), used);
                auto fault = fault_in_response_head(message, message.version(), message.result_int(), text);
                buffer.consume(used);
                if (fault || message.result_int() >= first_final_status) {
                    co_return fault;
                }
                continue;
            }
            buffer.consume(used);
            const auto received = co_await stream.async_read_some(
                buffer.prepare(std::min(read_bytes, buffer.max_size() - buffer.size())), into(ec));
            if (ec) {
                co_return ec.message();
            }
            buffer.commit(received);
        }
    }
    co_return "too many interim responses";
}

} // namespace balsampost::net
