// The entry's HTTP/1.1 server for one caller's connection: keep-alive, with bodies streamed in both
// directions.
#include "balsampost/net/connection_options.h"
#include "balsampost/net/http_rules.h"
#include "forwarder.h"

#include "balsampost/net/http.h"
#include "balsampost/telemetry/log.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <memory>

namespace balsampost::daemon {

namespace http = net::beast::http;
using net::ambiguity_in;
using net::awaitable;
using net::error_code;
using net::into;
using net::is_hop_by_hop;
using net::now;
using telemetry::event;

namespace {

constexpr unsigned http_1_1 = 11;
constexpr std::size_t chunk_bytes = 32U << 10U;
/// A body up to this size is sent in one frame with the request head and kept, so that the request can be
/// retried.
constexpr std::size_t max_inline_body_bytes = 64U << 10U;
/// Bounds on the time and the bytes for which a caller's input is read and discarded after its last response.
constexpr core::milliseconds linger_time{1000};
constexpr std::size_t max_linger_bytes = 1U << 20U;
constexpr std::int64_t max_deadline_ms = 600'000;
constexpr const char* deadline_header = "Balsampost-Deadline-Ms";
constexpr const char* caller_header = "Balsampost-Caller";

using request_parser = http::request_parser<http::buffer_body>;

class caller_session {
public:
    caller_session(traffic_thread& traffic, net::tcp::socket socket)
        : m_traffic(traffic), m_stream(std::move(socket)) {
        error_code ec;
        m_stream.socket().set_option(net::tcp::no_delay(true), ec);
        m_caller_address = m_stream.socket().remote_endpoint(ec).address().to_string();
    }

    awaitable<void> run() {
        bool keep_alive = true;
        bool first_request = true;
        while (keep_alive && m_traffic.accepting()) {
            keep_alive = co_await serve_request(first_request);
            first_request = false;
        }
        co_await lingering_close();
    }

private:
    awaitable<void> lingering_close();
    awaitable<bool> serve_request(bool first_request);
    awaitable<bool> route_request(request_parser& parser);
    awaitable<bool> forward(request_parser& parser, entry_request& request);
    awaitable<bool> read_body_prefix(request_parser& parser, net::request_head& head);
    awaitable<bool> send_remaining_body(request_parser& parser, net::link& link,
                                        core::traffic_class traffic_class, std::string region);
    awaitable<bool> send_answer(request_parser& parser, core::traffic_class traffic_class,
                                forward_result& result);
    awaitable<bool> stream_answer(http::response<http::buffer_body>& response,
                                  core::traffic_class traffic_class, forward_result& result);
    awaitable<bool> refuse(unsigned status, core::outcome outcome, std::string reason, std::string detail,
                           bool keep_alive);
    awaitable<bool> refuse(core::refusal_reason reason, std::string detail, bool keep_alive);
    void fill_head(const request_parser& parser, const core::route& route, entry_request& request);
    void record_span(const entry_request& request, core::duration elapsed, unsigned status);

    traffic_thread& m_traffic;
    net::beast::tcp_stream m_stream;
    net::beast::flat_buffer m_buffer{net::max_unparsed_bytes};
    std::string m_caller_address;
    std::string m_span_id;
    std::string m_parent_span;
};

unsigned parse_error_status(const error_code& ec) {
    if (ec == http::error::header_limit) {
        return 431;
    }
    return ec == http::error::body_limit ? 413 : 400;
}

/// Stops sending, then reads and discards the caller's input before the connection is closed. A socket closed
/// with unread input resets the connection, and the caller would lose a response that it has not read yet.
awaitable<void> caller_session::lingering_close() {
    error_code ec;
    m_stream.socket().shutdown(net::tcp::socket::shutdown_send, ec);
    std::size_t discarded = 0;
    m_stream.expires_after(linger_time);
    while (!ec && discarded < max_linger_bytes && m_traffic.accepting()) {
        m_buffer.clear();
        discarded += co_await m_stream.async_read_some(m_buffer.prepare(chunk_bytes), into(ec));
    }
}

awaitable<bool> caller_session::refuse(unsigned status, core::outcome outcome, std::string reason,
                                       std::string detail, bool keep_alive) {
    http::response<http::string_body> response(static_cast<http::status>(status), http_1_1);
    response.set("Balsampost-Outcome", std::string(core::to_string(outcome)));
    response.set("Balsampost-Reason", reason);
    response.set(http::field::content_type, "text/plain");
    response.body() = reason + ": " + detail + "\n";
    response.keep_alive(keep_alive && m_traffic.allows_keep_alive());
    response.prepare_payload();
    error_code ec;
    m_stream.expires_after(m_traffic.config().limits.stall_time);
    co_await http::async_write(m_stream, response, into(ec));
    co_return !ec && keep_alive && m_traffic.allows_keep_alive();
}

awaitable<bool> caller_session::refuse(core::refusal_reason reason, std::string detail, bool keep_alive) {
    m_traffic.daemon_metrics().refused(reason);
    const auto& rule = core::rule_of(reason);
    co_return co_await refuse(rule.http_status, rule.implied_outcome, std::string(rule.name),
                              std::move(detail), keep_alive);
}

awaitable<bool> caller_session::serve_request(bool first_request) {
    const auto& limits = m_traffic.config().limits;
    error_code ec;
    if (m_buffer.size() == 0 && !first_request) {
        // The idle timeout applies until the first byte of a request, the header timeout after it.
        m_stream.expires_after(limits.idle_time);
        const auto received = co_await m_stream.async_read_some(m_buffer.prepare(chunk_bytes), into(ec));
        if (ec) {
            co_return false;
        }
        m_buffer.commit(received);
    }
    request_parser parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    m_stream.expires_after(limits.header_time);
    co_await http::async_read_header(m_stream, m_buffer, parser, into(ec));
    if (ec) {
        const bool ended_or_timed_out = ec == http::error::end_of_stream ||
                                        ec == net::beast::error::timeout || !m_stream.socket().is_open() ||
                                        ec == net::asio::error::connection_reset;
        if (!ended_or_timed_out) {
            telemetry::log(event::caller_broke_protocol, {{"reason", ec.message()}});
            co_await refuse(parse_error_status(ec), core::outcome::not_run, "malformed", ec.message(), false);
        }
        co_return false;
    }
    const auto& message = parser.get();
    const auto ambiguous = ambiguity_in(message, message.version(),
                                        std::string_view(message.target().data(), message.target().size()));
    if (ambiguous) {
        telemetry::log(event::caller_broke_protocol, {{"reason", *ambiguous}});
        co_await refuse(400, core::outcome::not_run, "malformed", *ambiguous, false);
        co_return false;
    }
    ++m_traffic.in_flight();
    const bool keep_alive = co_await route_request(parser);
    --m_traffic.in_flight();
    co_return (keep_alive && parser.is_done());
}

void caller_session::fill_head(const request_parser& parser, const core::route& route,
                               entry_request& request) {
    const auto& message = parser.get();
    auto& head = request.head;
    head.service = route.service_name;
    head.method = std::string(message.method_string());
    head.target = std::string(message.target());
    head.idempotent = route.idempotent;
    const auto caller_name = message[caller_header];
    head.caller = caller_name.empty() ? m_caller_address : std::string(caller_name);
    const auto content_length = parser.content_length();
    head.body_length =
        content_length ? static_cast<std::int64_t>(*content_length) : (parser.chunked() ? -1 : 0);
    const net::connection_options connection(message);
    for (const auto& field : message) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (!is_hop_by_hop(name) && !connection.contains(name)) {
            head.headers.push_back({std::string(name), std::string(field.value())});
        }
    }
    const auto parent = telemetry::parse_traceparent(std::string(message["traceparent"]));
    head.sampled =
        parent ? parent->sampled : m_traffic.random()() % 1000 < m_traffic.config().trace.sample_permille;
    head.trace_id = parent ? parent->trace_id : telemetry::random_hex(16);
    m_parent_span = parent ? parent->span_id : "";
    m_span_id = telemetry::random_hex(8);
    head.parent_span = m_span_id;
    head.request_id = m_traffic.self().name + "-" + std::to_string(m_traffic.self().incarnation) + "-" +
                      std::to_string(m_traffic.next_request_number());
}

awaitable<bool> caller_session::route_request(request_parser& parser) {
    const auto& message = parser.get();
    entry_request request;
    request.objects = m_traffic.view().objects;
    const std::string_view target(message.target().data(), message.target().size());
    const std::string_view method(message.method_string().data(), message.method_string().size());
    const auto match = core::match_route(*request.objects, method, target.substr(0, target.find('?')));
    const bool body_complete = parser.is_done();
    if (!match) {
        co_return co_await refuse(core::refusal_reason::no_route, "no route matches", body_complete);
    }
    request.service = &request.objects->services.at(match->matched->service_name);
    request.key = net::percent_decode(match->key);
    if (match->key.empty() && !match->matched->key_header.empty()) {
        request.key = std::string(message[match->matched->key_header]);
    }
    if (request.service->divided_by_key && request.key.empty()) {
        co_return co_await refuse(400, core::outcome::not_run, "no_key", "the request contains no key",
                                  body_complete);
    }
    std::int64_t deadline_ms = match->matched->deadline.count();
    const auto deadline_field = message[deadline_header];
    if (!deadline_field.empty()) {
        const auto [parsed_end, error] = std::from_chars(
            deadline_field.data(), deadline_field.data() + deadline_field.size(), deadline_ms);
        if (error != std::errc() || parsed_end != deadline_field.data() + deadline_field.size() ||
            deadline_ms < 1 || deadline_ms > max_deadline_ms) {
            co_return co_await refuse(400, core::outcome::not_run, "malformed",
                                      std::string(deadline_header) + " is not a number of milliseconds",
                                      body_complete);
        }
    }
    request.deadline = now() + core::milliseconds(deadline_ms);
    request.traffic_class = core::traffic_class_of(match->matched->traffic_class);
    fill_head(parser, *match->matched, request);
    if (boost::algorithm::iequals(message[http::field::expect], "100-continue")) {
        http::response<http::empty_body> continue_response(http::status::continue_, http_1_1);
        error_code ec;
        co_await http::async_write(m_stream, continue_response, into(ec));
    }
    if (!co_await read_body_prefix(parser, request.head)) {
        co_return false;
    }
    co_return co_await forward(parser, request);
}

awaitable<bool> caller_session::read_body_prefix(request_parser& parser, net::request_head& head) {
    const std::size_t capacity = parser.is_done() ? 0 : max_inline_body_bytes;
    head.body.resize(capacity);
    std::size_t filled = 0;
    while (!parser.is_done() && filled < capacity) {
        error_code ec;
        auto& body = parser.get().body();
        body.data = head.body.data() + filled;
        body.size = capacity - filled;
        m_stream.expires_after(m_traffic.config().limits.stall_time);
        co_await http::async_read_some(m_stream, m_buffer, parser, into(ec));
        filled = capacity - body.size;
        if (ec && ec != http::error::need_buffer) {
            if (m_stream.socket().is_open() && ec != http::error::partial_message) {
                telemetry::log(event::caller_broke_protocol, {{"reason", ec.message()}});
                co_await refuse(parse_error_status(ec), core::outcome::not_run, "malformed", ec.message(),
                                false);
            }
            co_return false;
        }
    }
    head.body.resize(filled);
    head.whole_body = parser.is_done();
    if (head.whole_body) {
        head.body_length = static_cast<std::int64_t>(filled);
    }
    co_return true;
}

awaitable<bool> caller_session::send_remaining_body(request_parser& parser, net::link& link,
                                                    core::traffic_class traffic_class, std::string region) {
    auto buffer = std::make_unique<char[]>(chunk_bytes);
    const auto stall_time = m_traffic.config().limits.stall_time;
    while (!parser.is_done()) {
        error_code ec;
        auto& body = parser.get().body();
        body.data = buffer.get();
        body.size = chunk_bytes;
        m_stream.expires_after(stall_time);
        co_await http::async_read_some(m_stream, m_buffer, parser, into(ec));
        const std::size_t received = chunk_bytes - body.size;
        if (ec && ec != http::error::need_buffer) {
            co_return false;
        }
        if (received > 0) {
            net::frame chunk{net::frame_type::body_chunk, 0, std::string(buffer.get(), received)};
            if (!co_await link.write(std::move(chunk), now() + stall_time)) {
                co_return false;
            }
            if (region != m_traffic.config().instance.region) {
                co_await m_traffic.throttle(region, traffic_class, core::direction::out, received);
            }
        }
    }
    net::frame end_frame{net::frame_type::body_end, 0, ""};
    const auto written = co_await link.write(std::move(end_frame), now() + stall_time);
    co_return written.has_value();
}

awaitable<bool> caller_session::forward(request_parser& parser, entry_request& request) {
    const auto started = now();
    forwarder attempts(m_traffic, request, m_stream.socket(),
                       [&](net::link& link, const std::string& region) {
                           return send_remaining_body(parser, link, request.traffic_class, region);
                       });
    m_stream.expires_never();
    auto result = co_await attempts.run();
    const auto elapsed = now() - started;
    bool keep_alive = false;
    unsigned status = 0;
    if (result.answer) {
        status = result.answer->status;
        m_traffic.daemon_metrics().answered(elapsed);
        keep_alive = co_await send_answer(parser, request.traffic_class, result);
    } else {
        status = core::rule_of(result.refused).http_status;
        keep_alive =
            co_await refuse(result.refused, result.detail, parser.is_done() && parser.get().keep_alive());
    }
    record_span(request, now() - started, status);
    co_return keep_alive;
}

awaitable<bool> caller_session::send_answer(request_parser& parser, core::traffic_class traffic_class,
                                            forward_result& result) {
    const auto& answer = *result.answer;
    http::response<http::buffer_body> response(static_cast<http::status>(answer.status), http_1_1);
    for (const auto& field : answer.headers) {
        if (!is_hop_by_hop(field.name)) {
            response.insert(field.name, field.value);
        }
    }
    response.set("Balsampost-Outcome", "answered");
    const bool keep_alive = parser.get().keep_alive() && parser.is_done() && m_traffic.allows_keep_alive();
    response.keep_alive(keep_alive);
    const bool head_only = parser.get().method() == http::verb::head;
    const bool status_without_body = answer.status == 204 || answer.status == 304;
    if (answer.whole_body && !head_only && !status_without_body) {
        response.content_length(answer.body.size());
    } else if (answer.content_length >= 0 && !status_without_body) {
        response.content_length(static_cast<std::uint64_t>(answer.content_length));
    } else if (!head_only && !status_without_body) {
        response.chunked(true);
    }
    const bool written = co_await stream_answer(response, traffic_class, result);
    co_return (written && keep_alive);
}

awaitable<bool> caller_session::stream_answer(http::response<http::buffer_body>& response,
                                              core::traffic_class traffic_class, forward_result& result) {
    const auto stall_time = m_traffic.config().limits.stall_time;
    http::response_serializer<http::buffer_body> serializer(response);
    auto& answer = *result.answer;
    error_code ec;
    auto& body = response.body();
    body.data = answer.body.empty() ? nullptr : answer.body.data();
    body.size = answer.body.size();
    body.more = !answer.whole_body;
    m_stream.expires_after(stall_time);
    co_await http::async_write(m_stream, serializer, into(ec));
    if (answer.whole_body || (ec && ec != http::error::need_buffer)) {
        if (result.link) {
            result.link->close();
        }
        co_return !ec;
    }
    for (;;) {
        auto frame = co_await result.link->read(now() + stall_time);
        const bool complete = frame && frame->type == net::frame_type::body_end;
        if (!frame || (!complete && frame->type != net::frame_type::body_chunk)) {
            // The rest of the body did not arrive. The connection is closed without the last chunk or before
            // Content-Length bytes, so that the caller detects the truncation.
            m_traffic.daemon_metrics().cut_off.Increment();
            telemetry::log(event::answer_cut_off, {{"peer", core::to_string(result.peer)}});
            result.link->close();
            m_stream.socket().close(ec);
            co_return false;
        }
        body.data = frame->payload.empty() ? nullptr : frame->payload.data();
        body.size = frame->payload.size();
        body.more = !complete;
        m_stream.expires_after(stall_time);
        co_await http::async_write(m_stream, serializer, into(ec));
        if (ec && ec != http::error::need_buffer) {
            result.link->close();
            co_return false;
        }
        if (result.region != m_traffic.config().instance.region) {
            co_await m_traffic.throttle(result.region, traffic_class, core::direction::in,
                                        frame->payload.size());
        }
        if (complete) {
            m_traffic.links().give_back(result.peer, result.link);
            co_return true;
        }
    }
}

void caller_session::record_span(const entry_request& request, core::duration elapsed, unsigned status) {
    if (!request.head.sampled) {
        return;
    }
    telemetry::span span;
    span.trace_id = request.head.trace_id;
    span.span_id = m_span_id;
    span.parent_id = m_parent_span;
    span.name = "entry";
    span.duration_ns = elapsed.count();
    span.start_ns = std::chrono::system_clock::now().time_since_epoch().count() - elapsed.count();
    span.attributes = {{"service", request.head.service},
                       {"method", request.head.method},
                       {"status", std::to_string(status)},
                       {"request", request.head.request_id}};
    m_traffic.store_span(std::move(span));
}

} // namespace

awaitable<void> serve_caller(traffic_thread& traffic, net::tcp::socket socket) {
    ++traffic.m_open_caller_connections;
    caller_session session(traffic, std::move(socket));
    co_await session.run();
    --traffic.m_open_caller_connections;
}

} // namespace balsampost::daemon
