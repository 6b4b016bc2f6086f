// HTTP towards the backend server. docs/SERVERS.md states the protocol.
#include "server_call.h"

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
/// Answers up to this size travel in one frame.
constexpr std::uint64_t inline_answer_bytes = 64U << 10U;
constexpr std::uint32_t answer_header_bytes = 64U << 10U;
constexpr unsigned conflict_status = 409;
constexpr unsigned unavailable_status = 503;

using answer_parser = http::response_parser<http::buffer_body>;

} // namespace

struct server_call::exchange {
    http::request<http::buffer_body> request;
    http::request_serializer<http::buffer_body> serializer{request};
    answer_parser parser;
    std::unique_ptr<char[]> storage = std::make_unique<char[]>(chunk_bytes);
};

server_call::server_call(traffic& owner, server_gate& gate, connection_ptr connection, net::link& link,
                         const net::request_head& head, core::time_point deadline)
    : m_owner(owner), m_gate(gate), m_connection(std::move(connection)), m_link(link), m_head(head),
      m_deadline(deadline) {}

server_call::~server_call() {
    m_gate.discard_connection(std::move(m_connection));
}

call_end server_call::lost(std::string detail) {
    return {core::run_result::failed, core::refusal_reason::connection_lost, std::move(detail)};
}

awaitable<call_end> server_call::run() {
    exchange x;
    auto& request = x.request;
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
    if (!co_await send_head(x)) {
        co_return lost("the connection broke while the request was sent");
    }
    if (!m_head.whole_body && !co_await send_chunks(x)) {
        co_return lost("the request was not sent whole");
    }
    net::close_watch watch(m_link.stream().socket(), [this] {
        error_code ec;
        m_link.close();
        m_connection->stream.socket().close(ec); // The caller left; closing tells the server.
    });
    x.parser.header_limit(answer_header_bytes);
    x.parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    if (m_head.method == "HEAD") {
        x.parser.skip(true);
    }
    error_code ec;
    co_await http::async_read_header(m_connection->stream, m_connection->buffer, x.parser, into(ec));
    if (ec) {
        co_return lost("no answer: " + ec.message());
    }
    co_return co_await read_answer(x);
}

awaitable<bool> server_call::send_head(exchange& x) {
    error_code ec;
    auto& body = x.request.body();
    body.data = m_head.body.empty() ? nullptr : const_cast<char*>(m_head.body.data());
    body.size = m_head.body.size();
    body.more = !m_head.whole_body;
    co_await http::async_write(m_connection->stream, x.serializer, into(ec));
    co_return !ec || ec == http::error::need_buffer;
}

awaitable<bool> server_call::send_chunks(exchange& x) {
    net::frame go{net::frame_type::go_ahead, 0, ""};
    const auto stall = m_owner.config().limits.stall_time;
    const auto told = co_await m_link.write(std::move(go), now() + stall);
    if (!told) {
        co_return false;
    }
    for (;;) {
        auto f = co_await m_link.read(now() + stall);
        if (!f || (f->type != net::frame_type::body_chunk && f->type != net::frame_type::body_end)) {
            co_return false;
        }
        error_code ec;
        auto& body = x.request.body();
        body.data = f->payload.empty() ? nullptr : f->payload.data();
        body.size = f->payload.size();
        body.more = f->type == net::frame_type::body_chunk;
        m_connection->stream.expires_after(stall);
        co_await http::async_write(m_connection->stream, x.serializer, into(ec));
        if (ec && ec != http::error::need_buffer) {
            co_return false;
        }
        if (!body.more) {
            m_connection->stream.expires_at(std::max(m_deadline, now() + stall));
            co_return true;
        }
    }
}

awaitable<call_end> server_call::read_answer(exchange& x) {
    const auto& message = x.parser.get();
    const auto status = message.result_int();
    const bool not_run = message["Balsampost-Outcome"] == "not_run";
    if (not_run && (status == conflict_status || status == unavailable_status)) {
        co_return co_await take_refusal(x);
    }
    co_return co_await pass_on(x);
}

awaitable<call_end> server_call::take_refusal(exchange& x) {
    const auto status = x.parser.get().result_int();
    error_code ec;
    while (!x.parser.is_done() && !ec) {
        x.parser.get().body().data = x.storage.get();
        x.parser.get().body().size = chunk_bytes;
        co_await http::async_read(m_connection->stream, m_connection->buffer, x.parser, into(ec));
        ec = ec == http::error::need_buffer ? error_code{} : ec;
    }
    if (!ec && x.parser.keep_alive()) {
        m_gate.release_connection(std::move(m_connection));
    }
    // Not the owner is no sign of overload.
    const auto result = status == unavailable_status ? core::run_result::shed : core::run_result::completed;
    co_return call_end{result, core::refusal_reason::server_refused, "the server did not run it"};
}

awaitable<call_end> server_call::pass_on(exchange& x) {
    const auto& message = x.parser.get();
    net::answer_head head;
    head.status = message.result_int();
    head.load_permille = m_gate.load_permille();
    const auto length = x.parser.content_length();
    head.content_length = length ? static_cast<std::int64_t>(*length) : -1;
    for (const auto& field : message) {
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    const bool small = x.parser.is_done() || (length && *length <= inline_answer_bytes);
    const auto stall = m_owner.config().limits.stall_time;
    if (!small) {
        net::frame f{net::frame_type::answer_head, 0, net::pack_message(head)};
        if (!co_await m_link.write(std::move(f), now() + stall)) {
            co_return call_end{};
        }
    }
    while (!x.parser.is_done()) {
        error_code ec;
        auto& body = x.parser.get().body();
        body.data = x.storage.get();
        body.size = chunk_bytes;
        if (!small) {
            m_connection->stream.expires_after(stall);
        }
        co_await http::async_read(m_connection->stream, m_connection->buffer, x.parser, into(ec));
        if (ec && ec != http::error::need_buffer) {
            if (small) {
                co_return lost("the answer ended early");
            }
            m_link.close(); // The entry must not take what it has for the whole.
            co_return call_end{};
        }
        const std::size_t got = chunk_bytes - body.size;
        if (small) {
            head.body.append(x.storage.get(), got);
        } else if (got > 0) {
            net::frame f{net::frame_type::body_chunk, 0, std::string(x.storage.get(), got)};
            if (!co_await m_link.write(std::move(f), now() + stall)) {
                co_return call_end{};
            }
        }
    }
    net::frame last{net::frame_type::body_end, 0, ""};
    if (small) {
        head.whole_body = true;
        last = {net::frame_type::answer_head, 0, net::pack_message(head)};
    }
    co_await m_link.write(std::move(last), now() + stall);
    if (x.parser.keep_alive()) {
        m_gate.release_connection(std::move(m_connection));
    }
    co_return call_end{core::run_result::completed, std::nullopt, ""};
}

} // namespace balsampost::daemon
