// The entry's side towards a caller: HTTP/1.1 with keep-alive, bodies streamed both ways.
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
using net::named_by_connection;
using net::now;
using telemetry::event;

namespace {

constexpr unsigned http_1_1 = 11;
constexpr std::size_t chunk_bytes = 32U << 10U;
/// Bodies up to this size travel with the head, so that they can be sent again.
constexpr std::size_t inline_body_bytes = 64U << 10U;
/// What a caller still sends after its last answer is read and dropped up to these bounds.
constexpr core::milliseconds linger_time{1000};
constexpr std::size_t linger_bytes = 1U << 20U;
constexpr std::int64_t longest_deadline_ms = 600'000;
constexpr const char* deadline_header = "Balsampost-Deadline-Ms";
constexpr const char* caller_header = "Balsampost-Caller";

using request_parser = http::request_parser<http::buffer_body>;

class caller_session {
public:
    caller_session(traffic& owner, net::tcp::socket socket) : m_owner(owner), m_stream(std::move(socket)) {
        error_code ec;
        m_stream.socket().set_option(net::tcp::no_delay(true), ec);
        m_address = m_stream.socket().remote_endpoint(ec).address().to_string();
    }

    awaitable<void> run() {
        bool keep = true;
        bool first = true;
        while (keep && m_owner.accepts()) {
            keep = co_await serve_one(first);
            first = false;
        }
        co_await close_gently();
    }

private:
    awaitable<void> close_gently();
    awaitable<bool> serve_one(bool first);
    awaitable<bool> route_request(request_parser& parser);
    awaitable<bool> forward(request_parser& parser, entry_request& request);
    awaitable<bool> read_begin(request_parser& parser, net::request_head& head);
    awaitable<bool> send_rest(request_parser& parser, net::link& link, core::traffic_class traffic,
                              std::string region);
    awaitable<bool> send_answer(request_parser& parser, core::traffic_class traffic, forwarded& end);
    awaitable<bool> stream_answer(http::response<http::buffer_body>& response, core::traffic_class traffic,
                                  forwarded& end);
    awaitable<bool> refuse(unsigned status, core::outcome outcome, std::string reason, std::string detail,
                           bool keep);
    awaitable<bool> refuse(core::refusal_reason reason, std::string detail, bool keep);
    void fill_head(const request_parser& parser, const core::route& route, entry_request& request);
    void record_span(const entry_request& request, core::duration took, unsigned status);

    traffic& m_owner;
    net::beast::tcp_stream m_stream;
    net::beast::flat_buffer m_buffer;
    std::string m_address;
    std::string m_span_id;
    std::string m_parent_span;
};

unsigned status_of(const error_code& ec) {
    if (ec == http::error::header_limit) {
        return 431;
    }
    return ec == http::error::body_limit ? 413 : 400;
}

/// Closing with unread bytes resets the connection, and the caller would lose the answer it has not read yet.
awaitable<void> caller_session::close_gently() {
    error_code ec;
    m_stream.socket().shutdown(net::tcp::socket::shutdown_send, ec);
    std::size_t discarded = 0;
    m_stream.expires_after(linger_time);
    while (!ec && discarded < linger_bytes && m_owner.accepts()) {
        m_buffer.clear();
        discarded += co_await m_stream.async_read_some(m_buffer.prepare(chunk_bytes), into(ec));
    }
}

awaitable<bool> caller_session::refuse(unsigned status, core::outcome outcome, std::string reason,
                                       std::string detail, bool keep) {
    http::response<http::string_body> response(static_cast<http::status>(status), http_1_1);
    response.set("Balsampost-Outcome", std::string(core::to_string(outcome)));
    response.set("Balsampost-Reason", reason);
    response.set(http::field::content_type, "text/plain");
    response.body() = reason + ": " + detail + "\n";
    response.keep_alive(keep && m_owner.keeps_connections());
    response.prepare_payload();
    error_code ec;
    m_stream.expires_after(m_owner.config().limits.stall_time);
    co_await http::async_write(m_stream, response, into(ec));
    co_return !ec && keep && m_owner.keeps_connections();
}

awaitable<bool> caller_session::refuse(core::refusal_reason reason, std::string detail, bool keep) {
    m_owner.measured().refused(reason);
    const auto& rule = core::rule_of(reason);
    co_return co_await refuse(rule.http_status, rule.implied_outcome, std::string(rule.name),
                              std::move(detail), keep);
}

awaitable<bool> caller_session::serve_one(bool first) {
    const auto& limits = m_owner.config().limits;
    error_code ec;
    if (m_buffer.size() == 0 && !first) {
        // The idle time ends with the first byte; from then on the header time counts.
        m_stream.expires_after(limits.idle_time);
        const auto got = co_await m_stream.async_read_some(m_buffer.prepare(chunk_bytes), into(ec));
        if (ec) {
            co_return false;
        }
        m_buffer.commit(got);
    }
    request_parser parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    m_stream.expires_after(limits.header_time);
    co_await http::async_read_header(m_stream, m_buffer, parser, into(ec));
    if (ec) {
        const bool silent = ec == http::error::end_of_stream || ec == net::beast::error::timeout ||
                            !m_stream.socket().is_open() || ec == net::asio::error::connection_reset;
        if (!silent) {
            telemetry::log(event::caller_broke_protocol, {{"reason", ec.message()}});
            co_await refuse(status_of(ec), core::outcome::not_run, "malformed", ec.message(), false);
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
    ++m_owner.in_flight();
    const bool keep = co_await route_request(parser);
    --m_owner.in_flight();
    co_return keep&& parser.is_done();
}

void caller_session::fill_head(const request_parser& parser, const core::route& route,
                               entry_request& request) {
    const auto& message = parser.get();
    auto& head = request.head;
    head.service = route.service_name;
    head.method = std::string(message.method_string());
    head.target = std::string(message.target());
    head.idempotent = route.idempotent;
    const auto named = message[caller_header];
    head.caller = named.empty() ? m_address : std::string(named);
    const auto length = parser.content_length();
    head.body_length = length ? static_cast<std::int64_t>(*length) : (parser.chunked() ? -1 : 0);
    for (const auto& field : message) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (!is_hop_by_hop(name) && !named_by_connection(message, name)) {
            head.headers.push_back({std::string(name), std::string(field.value())});
        }
    }
    const auto parent = telemetry::parse_traceparent(std::string(message["traceparent"]));
    head.sampled =
        parent ? parent->sampled : m_owner.random()() % 1000 < m_owner.config().trace.sample_permille;
    head.trace_id = parent ? parent->trace_id : telemetry::random_hex(16);
    m_parent_span = parent ? parent->span_id : "";
    m_span_id = telemetry::random_hex(8);
    head.parent_span = m_span_id;
    head.request_id = m_owner.self().name + "-" + std::to_string(m_owner.self().incarnation) + "-" +
                      std::to_string(m_owner.next_number());
}

awaitable<bool> caller_session::route_request(request_parser& parser) {
    const auto& message = parser.get();
    entry_request request;
    request.objects = m_owner.view().objects;
    const std::string_view target(message.target().data(), message.target().size());
    const std::string_view method(message.method_string().data(), message.method_string().size());
    const auto match = core::match_route(*request.objects, method, target.substr(0, target.find('?')));
    const bool no_body = parser.is_done();
    if (!match) {
        co_return co_await refuse(core::refusal_reason::no_route, "no route matches", no_body);
    }
    request.service = &request.objects->services.at(match->matched->service_name);
    request.key = net::percent_decode(match->key);
    if (match->key.empty() && !match->matched->key_header.empty()) {
        request.key = std::string(message[match->matched->key_header]);
    }
    if (request.service->divided_by_key && request.key.empty()) {
        co_return co_await refuse(400, core::outcome::not_run, "no_key", "the request names no key", no_body);
    }
    std::int64_t allowed = match->matched->deadline.count();
    const auto given = message[deadline_header];
    if (!given.empty()) {
        const auto [end, status] = std::from_chars(given.data(), given.data() + given.size(), allowed);
        if (status != std::errc() || end != given.data() + given.size() || allowed < 1 ||
            allowed > longest_deadline_ms) {
            co_return co_await refuse(400, core::outcome::not_run, "malformed",
                                      std::string(deadline_header) + " is not a number of milliseconds",
                                      no_body);
        }
    }
    request.deadline = now() + core::milliseconds(allowed);
    request.traffic = core::traffic_class_of(match->matched->traffic_class);
    fill_head(parser, *match->matched, request);
    if (boost::algorithm::iequals(message[http::field::expect], "100-continue")) {
        http::response<http::empty_body> go_on(http::status::continue_, http_1_1);
        error_code ec;
        co_await http::async_write(m_stream, go_on, into(ec));
    }
    if (!co_await read_begin(parser, request.head)) {
        co_return false;
    }
    co_return co_await forward(parser, request);
}

awaitable<bool> caller_session::read_begin(request_parser& parser, net::request_head& head) {
    const std::size_t room = parser.is_done() ? 0 : inline_body_bytes;
    head.body.resize(room);
    std::size_t filled = 0;
    while (!parser.is_done() && filled < room) {
        error_code ec;
        auto& body = parser.get().body();
        body.data = head.body.data() + filled;
        body.size = room - filled;
        m_stream.expires_after(m_owner.config().limits.stall_time);
        co_await http::async_read_some(m_stream, m_buffer, parser, into(ec));
        filled = room - body.size;
        if (ec && ec != http::error::need_buffer) {
            if (m_stream.socket().is_open() && ec != http::error::partial_message) {
                telemetry::log(event::caller_broke_protocol, {{"reason", ec.message()}});
                co_await refuse(status_of(ec), core::outcome::not_run, "malformed", ec.message(), false);
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

awaitable<bool> caller_session::send_rest(request_parser& parser, net::link& link,
                                          core::traffic_class traffic, std::string region) {
    auto storage = std::make_unique<char[]>(chunk_bytes);
    const auto stall = m_owner.config().limits.stall_time;
    while (!parser.is_done()) {
        error_code ec;
        auto& body = parser.get().body();
        body.data = storage.get();
        body.size = chunk_bytes;
        m_stream.expires_after(stall);
        co_await http::async_read_some(m_stream, m_buffer, parser, into(ec));
        const std::size_t got = chunk_bytes - body.size;
        if (ec && ec != http::error::need_buffer) {
            co_return false;
        }
        if (got > 0) {
            net::frame chunk{net::frame_type::body_chunk, 0, std::string(storage.get(), got)};
            if (!co_await link.write(std::move(chunk), now() + stall)) {
                co_return false;
            }
            if (region != m_owner.config().instance.region) {
                co_await m_owner.pace(region, traffic, core::direction::out, got);
            }
        }
    }
    net::frame end{net::frame_type::body_end, 0, ""};
    const auto written = co_await link.write(std::move(end), now() + stall);
    co_return written.has_value();
}

awaitable<bool> caller_session::forward(request_parser& parser, entry_request& request) {
    const auto began = now();
    forwarder attempts(m_owner, request, m_stream.socket(), [&](net::link& link, const std::string& region) {
        return send_rest(parser, link, request.traffic, region);
    });
    m_stream.expires_never();
    auto end = co_await attempts.run();
    const auto took = now() - began;
    bool keep = false;
    unsigned status = 0;
    if (end.answer) {
        status = end.answer->status;
        m_owner.measured().answered(took);
        keep = co_await send_answer(parser, request.traffic, end);
    } else {
        status = core::rule_of(end.refused).http_status;
        keep = co_await refuse(end.refused, end.detail, parser.is_done() && parser.get().keep_alive());
    }
    record_span(request, now() - began, status);
    co_return keep;
}

awaitable<bool> caller_session::send_answer(request_parser& parser, core::traffic_class traffic,
                                            forwarded& end) {
    const auto& answer = *end.answer;
    http::response<http::buffer_body> response(static_cast<http::status>(answer.status), http_1_1);
    for (const auto& field : answer.headers) {
        if (!is_hop_by_hop(field.name)) {
            response.insert(field.name, field.value);
        }
    }
    response.set("Balsampost-Outcome", "answered");
    const bool keep = parser.get().keep_alive() && parser.is_done() && m_owner.keeps_connections();
    response.keep_alive(keep);
    const bool head_only = parser.get().method() == http::verb::head;
    const bool bodyless = answer.status == 204 || answer.status == 304;
    if (answer.whole_body && !head_only && !bodyless) {
        response.content_length(answer.body.size());
    } else if (answer.content_length >= 0 && !bodyless) {
        response.content_length(static_cast<std::uint64_t>(answer.content_length));
    } else if (!head_only && !bodyless) {
        response.chunked(true);
    }
    const bool written = co_await stream_answer(response, traffic, end);
    co_return written&& keep;
}

awaitable<bool> caller_session::stream_answer(http::response<http::buffer_body>& response,
                                              core::traffic_class traffic, forwarded& end) {
    const auto stall = m_owner.config().limits.stall_time;
    http::response_serializer<http::buffer_body> serializer(response);
    auto& answer = *end.answer;
    error_code ec;
    auto& body = response.body();
    body.data = answer.body.empty() ? nullptr : answer.body.data();
    body.size = answer.body.size();
    body.more = !answer.whole_body;
    m_stream.expires_after(stall);
    co_await http::async_write(m_stream, serializer, into(ec));
    if (answer.whole_body || (ec && ec != http::error::need_buffer)) {
        if (end.link) {
            end.link->close();
        }
        co_return !ec;
    }
    for (;;) {
        auto f = co_await end.link->read(now() + stall);
        const bool whole = f && f->type == net::frame_type::body_end;
        if (!f || (!whole && f->type != net::frame_type::body_chunk)) {
            // The rest never came. Closing without the last chunk or the promised length shows that to the
            // caller.
            m_owner.measured().cut_off.Increment();
            telemetry::log(event::answer_cut_off, {{"peer", core::to_string(end.peer)}});
            end.link->close();
            m_stream.socket().close(ec);
            co_return false;
        }
        body.data = f->payload.empty() ? nullptr : f->payload.data();
        body.size = f->payload.size();
        body.more = !whole;
        m_stream.expires_after(stall);
        co_await http::async_write(m_stream, serializer, into(ec));
        if (ec && ec != http::error::need_buffer) {
            end.link->close();
            co_return false;
        }
        if (end.region != m_owner.config().instance.region) {
            co_await m_owner.pace(end.region, traffic, core::direction::in, f->payload.size());
        }
        if (whole) {
            m_owner.links().give_back(end.peer, end.link);
            co_return true;
        }
    }
}

void caller_session::record_span(const entry_request& request, core::duration took, unsigned status) {
    if (!request.head.sampled) {
        return;
    }
    telemetry::span s;
    s.trace_id = request.head.trace_id;
    s.span_id = m_span_id;
    s.parent_id = m_parent_span;
    s.name = "entry";
    s.duration_ns = took.count();
    s.start_ns = std::chrono::system_clock::now().time_since_epoch().count() - took.count();
    s.attributes = {{"service", request.head.service},
                    {"method", request.head.method},
                    {"status", std::to_string(status)},
                    {"request", request.head.request_id}};
    m_owner.record(std::move(s));
}

} // namespace

awaitable<void> serve_caller(traffic& owner, net::tcp::socket socket) {
    ++owner.m_open_callers;
    caller_session session(owner, std::move(socket));
    co_await session.run();
    --owner.m_open_callers;
}

} // namespace balsampost::daemon
