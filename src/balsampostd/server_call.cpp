// HTTP client side of a call to a backend server. docs/SERVERS.md specifies the protocol.
#include "server_call.h"

#include "balsampost/net/response_head.h"
#include "balsampost/telemetry/log.h"

#include <boost/beast/http.hpp>

#include <memory>

namespace balsampost::daemon {

namespace http = net::beast::http;
using net::awaitable;
using net::error_code;
using net::into;
using net::now;

namespace {

constexpr unsigned http_1_1 = 11;
constexpr std::size_t chunk_bytes = 32U << 10U;
/// A response body up to this size is sent to the entry in one frame together with its headers.
constexpr std::uint64_t max_inline_response_bytes = 64U << 10U;
constexpr std::uint32_t max_response_header_bytes = 64U << 10U;
constexpr unsigned conflict_status = 409;
constexpr unsigned unavailable_status = 503;

using response_parser = http::response_parser<http::buffer_body>;

} // namespace

struct server_call::http_exchange {
    http::request<http::buffer_body> request;
    http::request_serializer<http::buffer_body> serializer{request};
    std::optional<response_parser> parser; // Of the response that is read; set with its head.
    std::unique_ptr<char[]> body_buffer = std::make_unique<char[]>(chunk_bytes);
};

server_call::server_call(traffic_thread& traffic, server_gate& gate, connection_ptr connection,
                         net::link& link, const net::request_head& head, core::time_point deadline)
    : m_traffic(traffic), m_gate(gate), m_connection(std::move(connection)), m_link(link), m_head(head),
      m_deadline(deadline) {}

server_call::~server_call() {
    m_gate.discard_connection(std::move(m_connection));
}

call_result server_call::connection_lost(std::string detail) {
    return {core::run_result::failed, core::refusal_reason::connection_lost, std::move(detail)};
}

awaitable<call_result> server_call::run() {
    http_exchange exchange;
    auto& request = exchange.request;
    request.version(http_1_1);
    request.method_string(m_head.method);
    request.target(m_head.target);
    for (const auto& field : m_head.headers) {
        request.insert(field.name, field.value);
    }
    request.set("Balsampost-Request-Id", m_head.request_id);
    request.set("Balsampost-Idempotent", m_head.idempotent ? "yes" : "no");
    request.set("Balsampost-Deadline-Ms",
                std::to_string(std::max<std::int64_t>(1, core::milliseconds_between(now(), m_deadline))));
    if (!m_head.trace_id.empty()) {
        request.set("traceparent", telemetry::to_string(telemetry::trace_parent{
                                       m_head.trace_id, m_head.parent_span, m_head.sampled}));
    }
    if (m_head.since != core::epoch{}) {
        request.set("Balsampost-Slice", std::to_string(m_head.slice));
        request.set("Balsampost-Epoch", core::to_string(m_head.since));
    }
    if (m_head.body_length > 0) {
        request.content_length(static_cast<std::uint64_t>(m_head.body_length));
    } else if (m_head.body_length < 0) {
        request.chunked(true);
    } else if (m_head.method != "GET" && m_head.method != "HEAD") {
        request.content_length(0);
    }
    m_connection->stream.expires_at(m_deadline);
    if (!co_await send_head(exchange)) {
        co_return connection_lost("the connection to the server was lost while sending the request");
    }
    if (!m_head.whole_body && !co_await send_remaining_body(exchange)) {
        co_return connection_lost("the request body was not sent completely");
    }
    net::close_watch watch(m_link.stream().socket(), [this] {
        error_code ec;
        m_link.close();
        m_connection->stream.socket().close(ec); // Signals the caller's disconnect to the server.
    });
    const auto prepare = [is_head = m_head.method == "HEAD"](auto& parser) {
        parser.header_limit(max_response_header_bytes);
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        parser.skip(is_head);
    };
    const auto fault = co_await net::read_response_head(m_connection->stream, m_connection->buffer,
                                                        exchange.parser, prepare);
    if (fault) {
        co_return connection_lost("no response from the server: " + *fault);
    }
    co_return co_await handle_response(exchange);
}

awaitable<bool> server_call::send_head(http_exchange& exchange) {
    error_code ec;
    auto& body = exchange.request.body();
    body.data = m_head.body.empty() ? nullptr : const_cast<char*>(m_head.body.data());
    body.size = m_head.body.size();
    body.more = !m_head.whole_body;
    co_await http::async_write(m_connection->stream, exchange.serializer, into(ec));
    co_return !ec || ec == http::error::need_buffer;
}

awaitable<bool> server_call::send_remaining_body(http_exchange& exchange) {
    net::frame go_ahead{net::frame_type::go_ahead, 0, ""};
    const auto stall_time = m_traffic.config().limits.stall_time;
    const auto written = co_await m_link.write(std::move(go_ahead), now() + stall_time);
    if (!written) {
        co_return false;
    }
    for (;;) {
        auto frame = co_await m_link.read(now() + stall_time);
        if (!frame ||
            (frame->type != net::frame_type::body_chunk && frame->type != net::frame_type::body_end)) {
            co_return false;
        }
        error_code ec;
        auto& body = exchange.request.body();
        body.data = frame->payload.empty() ? nullptr : frame->payload.data();
        body.size = frame->payload.size();
        body.more = frame->type == net::frame_type::body_chunk;
        m_connection->stream.expires_after(stall_time);
        co_await http::async_write(m_connection->stream, exchange.serializer, into(ec));
        if (ec && ec != http::error::need_buffer) {
            co_return false;
        }
        if (!body.more) {
            m_connection->stream.expires_at(std::max(m_deadline, now() + stall_time));
            co_return true;
        }
    }
}

awaitable<call_result> server_call::handle_response(http_exchange& exchange) {
    const auto& message = exchange.parser->get();
    const auto status = message.result_int();
    const bool marked_not_run = message["Balsampost-Outcome"] == "not_run";
    if (marked_not_run && (status == conflict_status || status == unavailable_status)) {
        co_return co_await handle_refusal(exchange);
    }
    co_return co_await forward_response(exchange);
}

awaitable<call_result> server_call::handle_refusal(http_exchange& exchange) {
    const auto status = exchange.parser->get().result_int();
    error_code ec;
    while (!exchange.parser->is_done() && !ec) {
        exchange.parser->get().body().data = exchange.body_buffer.get();
        exchange.parser->get().body().size = chunk_bytes;
        co_await http::async_read(m_connection->stream, m_connection->buffer, *exchange.parser, into(ec));
        ec = ec == http::error::need_buffer ? error_code{} : ec;
    }
    if (!ec && exchange.parser->keep_alive()) {
        m_gate.release_connection(std::move(m_connection));
    }
    // Only status 503 indicates overload. Status 409 means that the server does not own the key.
    const auto result = status == unavailable_status ? core::run_result::shed : core::run_result::completed;
    co_return call_result{result, core::refusal_reason::server_refused, "the server did not run the request"};
}

awaitable<call_result> server_call::forward_response(http_exchange& exchange) {
    const auto& message = exchange.parser->get();
    net::answer_head head;
    head.status = message.result_int();
    head.load_permille = m_gate.load_permille();
    const auto length = exchange.parser->content_length();
    head.content_length = length ? static_cast<std::int64_t>(*length) : -1;
    for (const auto& field : message) {
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    const bool fits_one_frame =
        exchange.parser->is_done() || (length && *length <= max_inline_response_bytes);
    const auto stall_time = m_traffic.config().limits.stall_time;
    if (!fits_one_frame) {
        net::frame frame{net::frame_type::answer_head, 0, net::pack_message(head)};
        if (!co_await m_link.write(std::move(frame), now() + stall_time)) {
            co_return call_result{};
        }
    }
    while (!exchange.parser->is_done()) {
        error_code ec;
        auto& body = exchange.parser->get().body();
        body.data = exchange.body_buffer.get();
        body.size = chunk_bytes;
        if (!fits_one_frame) {
            m_connection->stream.expires_after(stall_time);
        }
        co_await http::async_read(m_connection->stream, m_connection->buffer, *exchange.parser, into(ec));
        if (ec && ec != http::error::need_buffer) {
            if (fits_one_frame) {
                co_return connection_lost("the response ended early");
            }
            m_link.close(); // The entry must not treat the partial body as complete.
            co_return call_result{};
        }
        const std::size_t received = chunk_bytes - body.size;
        if (fits_one_frame) {
            head.body.append(exchange.body_buffer.get(), received);
        } else if (received > 0) {
            net::frame frame{net::frame_type::body_chunk, 0,
                             std::string(exchange.body_buffer.get(), received)};
            if (!co_await m_link.write(std::move(frame), now() + stall_time)) {
                co_return call_result{};
            }
        }
    }
    net::frame final_frame{net::frame_type::body_end, 0, ""};
    if (fits_one_frame) {
        head.whole_body = true;
        final_frame = {net::frame_type::answer_head, 0, net::pack_message(head)};
    }
    co_await m_link.write(std::move(final_frame), now() + stall_time);
    if (exchange.parser->keep_alive()) {
        m_gate.release_connection(std::move(m_connection));
    }
    co_return call_result{core::run_result::completed, std::nullopt, ""};
}

} // namespace balsampost::daemon
