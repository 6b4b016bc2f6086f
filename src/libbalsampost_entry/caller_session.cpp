// Reads requests and starts their forwarding.
#include "balsampost/entry/caller_session.h"

#include "balsampost/entry/entry_metrics.h"
#include "balsampost/entry/event_loop.h"
#include "balsampost/net/http_rules.h"
#include "balsampost/telemetry/log.h"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace balsampost::entry {

namespace http = net::beast::http;
using net::error_code;
using telemetry::event;

namespace {

constexpr std::size_t read_size = 64U << 10U;
constexpr int max_reads_per_event = 4;                 // Keeps one busy connection from starving the others.
constexpr std::size_t max_unparsed_bytes = 64U << 10U; // Received ahead of unanswered requests.
constexpr std::size_t max_unparsed_if_full = 16U << 10U; // The same, while no further request is started.
// Keeps header sections of very many fields from starving the other connections.
constexpr std::uint64_t max_head_memory_per_event = 256U << 10U;
constexpr std::size_t max_idle_capacity = 4U << 10U;     // Bytes that an empty buffer may keep allocated.
constexpr std::uint64_t unknown_body_bytes = 16U << 10U; // First accounted for a body of unknown length.
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_header_too_large = 431;
constexpr unsigned status_unavailable = 503;
constexpr std::uint64_t large_body_bytes = 1U
                                           << 20U; // Above it, a body of unknown length grows by a quarter.

/// Empties `text`. An assignment of an empty string would keep its memory.
void free_memory(std::string& text) {
    std::string().swap(text);
}

std::string_view view(net::beast::string_view text) {
    return {text.data(), text.size()};
}

std::string address_of(const net::tcp::socket& socket) {
    error_code ec;
    const auto at = socket.remote_endpoint(ec);
    return ec ? std::string() : at.address().to_string();
}

} // namespace

caller_session::caller_session(caller_listener& owner, net::tcp::socket socket)
    : m_owner(owner), m_socket(std::move(socket)), m_account(owner.m_memory),
      m_holding(*m_account, address_of(m_socket)), m_pipeline(owner.m_settings.limits.requests_ahead) {}

void caller_session::start() {
    error_code ec;
    m_socket.set_option(net::tcp::no_delay(true), ec);
    m_socket.non_blocking(true, ec);
    start_message();
    start_idle_timer();
    if (!charge()) {
        close_for(caller_limit::total_memory);
        return;
    }
    wait_for_bytes();
}

void caller_session::log_unanswered(std::string_view reason) const {
    const auto log = [&](const std::string& id) {
        telemetry::log(event::request_unanswered, {{"request", id}, {"reason", std::string(reason)}});
    };
    if (m_writing) {
        log(m_answered_id);
    }
    for (const auto& e : m_exchanges) {
        log(e.request_id);
    }
}

void caller_session::close(std::string_view reason) {
    if (m_closed) {
        return;
    }
    log_unanswered(reason);
    close_without_lines();
}

void caller_session::close_without_lines() {
    m_closed = true;
    cancel_timer();
    cancel_write_timer();
    auto exchanges = std::exchange(m_exchanges, {});
    for (auto& e : exchanges) {
        if (e.forwarder) {
            e.forwarder->abandon();
        }
        release_bytes(e.accounted_bytes);
    }
    release_bytes(m_reserved_bytes);
    release_bytes(m_answer_bytes);
    m_holding.close();
    free_memory(m_unparsed);
    error_code ec;
    m_socket.close(ec);
    m_owner.m_sessions.erase(shared_from_this());
}

void caller_session::on_disconnect() {
    for (auto& e : m_exchanges) {
        if (e.forwarder) {
            e.forwarder->caller_disconnected();
        } else {
            telemetry::log(event::caller_disconnected, {{"request", e.request_id}});
        }
        release_bytes(e.accounted_bytes);
    }
    m_exchanges.clear();
    close("the caller closed the connection while the answer was written");
}

void caller_session::close_if_idle() {
    if (m_closed || !idle() || !read_available() || !idle()) {
        return;
    }
    close("the instance stops");
}

std::vector<std::shared_ptr<forwarding>> caller_session::active_forwarders() const {
    std::vector<std::shared_ptr<forwarding>> active;
    for (const auto& e : m_exchanges) {
        if (e.forwarder) {
            active.push_back(e.forwarder);
        }
    }
    return active;
}

void caller_session::begin_stop() {
    for (const auto& forwarder : active_forwarders()) {
        forwarder->begin_stop();
    }
    if (!m_closed && body_arriving() && refuse_upload_for_stop()) {
        start_requests();
        write_next();
    }
}

void caller_session::fail_in_flight(caller_listener::unanswered_counts& counts) {
    m_stop_ended = true;
    // Before the others: their last answer would end the connection.
    if (!m_closed && body_arriving()) {
        refuse_upload("the shutdown ended before the request's body arrived");
        ++counts.unsent;
    }
    for (const auto& forwarder : active_forwarders()) {
        ++(forwarder->expire() ? counts.sent : counts.unsent);
    }
    start_requests();
    write_next();
    if (!m_closed && !m_lingering && !in_flight()) {
        linger_close();
    }
}

void caller_session::release_bytes(std::uint64_t& accounted) {
    m_owner.m_body_bytes -= std::exchange(accounted, 0);
}

core::caller_limits caller_session::limits() const {
    const auto routes = m_owner.m_forwarding.state.routes();
    return routes ? routes->source().limits : core::caller_limits{};
}

// Read timeouts

void caller_session::start_timer(core::milliseconds within) {
    cancel_timer();
    m_timer = m_owner.m_forwarding.timer_queue.at(now() + within, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_timer.reset();
            self->guard("timer of a caller", [&] { self->on_timeout(); });
        }
    });
}

void caller_session::start_idle_timer() {
    if (!in_flight() && !m_message_started && !m_closed) {
        m_idle_since = now();
        start_timer(limits().idle_timeout);
    }
}

void caller_session::cancel_timer() {
    if (m_timer) {
        m_owner.m_forwarding.timer_queue.cancel(*m_timer);
        m_timer.reset();
    }
}

void caller_session::on_timeout() {
    if (idle()) {
        // A longer timeout may be in force by now, and callers reuse connections by it.
        if (const auto left = m_idle_since + limits().idle_timeout - now(); left > core::duration{0}) {
            start_timer(std::chrono::ceil<core::milliseconds>(left));
            return;
        }
        // A request that has arrived is served: the close would reset the connection under it.
        if (!read_available() || !idle()) {
            return;
        }
    }
    if (body_arriving()) {
        const auto at = now();
        // A body that waits for its 100 Continue has not been asked for yet.
        const bool progressed = m_read_progress.end_window(m_owner.m_progress_rule, at);
        if (progressed || m_continue_pending) {
            start_timer(m_owner.m_progress_rule.window);
            return;
        }
        m_owner.m_closings.note(caller_limit::rate);
    }
    if (!in_flight()) {
        close("no complete request arrived in time");
        return;
    }
    m_reading_ended = true; // Complete requests precede the incomplete one and are still answered.
    m_parser.reset();
    release_bytes(m_reserved_bytes);
    free_memory(m_unparsed);
    if (m_exchanges.empty()) {
        m_keep_alive = false;
    } else {
        m_exchanges.back().is_last = true;
    }
}

// Reading

void caller_session::start_message() {
    const auto l = limits();
    m_parser = std::make_unique<request_parser>();
    m_parser->header_limit(l.header_bytes);
    m_parser->body_limit(l.body_bytes);
    m_parser->eager(true);
    m_message_started = false;
    m_header_parsed = false;
    m_head_memory = 0;
}

void caller_session::wait_for_bytes() {
    // Nothing is read while the caller does not take its answers.
    if (m_waiting_for_bytes || m_closed || m_lingering || m_write_timer || m_resume_posted ||
        m_unparsed.size() >= max_unparsed()) {
        return;
    }
    m_waiting_for_bytes = true;
    m_socket.async_wait(net::tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
        self->m_waiting_for_bytes = false;
        if (self->m_closed || self->m_lingering) {
            return;
        }
        if (ec) {
            self->on_disconnect();
            return;
        }
        self->guard("bytes of a caller", [&] { self->on_readable(); });
    });
}

void caller_session::on_readable() {
    if (read_available()) {
        wait_for_bytes();
    }
}

std::size_t caller_session::max_unparsed() const {
    return m_pipeline.full() ? max_unparsed_if_full : max_unparsed_bytes;
}

bool caller_session::receive() {
    auto& buffer = m_owner.m_read_buffer;
    buffer.resize(read_size);
    const auto self = shared_from_this();
    for (int i = 0; i < max_reads_per_event && !m_closed && !m_lingering && !m_write_timer &&
                    !m_resume_posted && m_unparsed.size() < max_unparsed();
         ++i) {
        error_code ec;
        const auto most = m_pipeline.full() ? max_unparsed_if_full - m_unparsed.size() : read_size;
        const auto n = m_socket.read_some(net::asio::buffer(buffer.data(), most), ec);
        if (ec == net::asio::error::would_block) {
            break;
        }
        if (ec) {
            on_disconnect();
            return false;
        }
        if (!m_reading_ended) {
            if (m_message_started) {
                m_read_progress.add(now(), n);
            }
            m_unparsed.append(buffer.data(), n);
            parse();
        }
    }
    return !m_closed;
}

bool caller_session::read_available() {
    // A disconnect is detected before, so no request of a disconnected caller is forwarded.
    if (!receive()) {
        return false;
    }
    start_requests();
    write_next();
    return !m_closed;
}

void caller_session::parse() {
    while (!m_reading_ended && !m_pipeline.full() && !m_unparsed.empty() && parse_next()) {
        if (m_parsed_in_event > max_head_memory_per_event) {
            resume_later();
            break;
        }
    }
    if (m_unparsed.empty() && m_unparsed.capacity() > max_idle_capacity) {
        free_memory(m_unparsed);
    } else if (m_unparsed.capacity() > max_idle_capacity && m_unparsed.size() < m_unparsed.capacity() / 4) {
        m_unparsed.shrink_to_fit();
    }
}

void caller_session::resume_later() {
    if (std::exchange(m_resume_posted, true)) {
        return;
    }
    net::asio::post(m_owner.m_context, [self = shared_from_this()] {
        self->m_resume_posted = false;
        if (!self->m_closed && !self->m_lingering) {
            self->guard("further requests", [&] {
                self->parse();
                if (self->read_available()) {
                    self->wait_for_bytes();
                }
            });
        }
    });
}

/// Returns false if more bytes are needed or the input was rejected.
bool caller_session::parse_next() {
    if (!m_message_started) {
        m_message_started = true;
        m_message_started_at = now();
        m_read_progress.start(m_message_started_at);
        start_timer(limits().header_timeout);
    }
    if (m_header_parsed && !reserve_chunks()) {
        return false;
    }
    error_code ec;
    const auto used = m_parser->put(net::asio::buffer(m_unparsed), ec);
    if (!m_parser->is_header_done()) {
        const auto end = m_unparsed.begin() + static_cast<std::ptrdiff_t>(used);
        m_head_memory +=
            header_memory(static_cast<std::uint64_t>(std::count(m_unparsed.begin(), end, '\n')), used);
    }
    m_unparsed.erase(0, used);
    if (ec && ec != http::error::need_more) {
        reject(ec);
        return false;
    }
    if (!m_header_parsed && m_parser->is_header_done() && !on_header()) {
        return false;
    }
    if (m_header_parsed && !reserve_body(m_parser->get().body().capacity())) {
        return false;
    }
    // The header of a chunk, or the trailers, are parsed only when they are complete.
    if (ec == http::error::need_more && m_header_parsed && m_unparsed.size() > limits().header_bytes) {
        reject(http::error::header_limit);
        return false;
    }
    if (m_parser->is_done()) {
        on_request();
        return true;
    }
    return used > 0 && !ec;
}

/// Returns false if the request was refused because of its header.
bool caller_session::on_header() {
    m_header_parsed = true;
    m_head_memory = memory_of(m_parser->get());
    m_parsed_in_event += m_head_memory;
    if (m_parser->is_done()) {
        return true;
    }
    if (refuse_upload_for_stop()) {
        return false;
    }
    m_read_progress.start(now());
    start_timer(m_owner.m_progress_rule.window);
    const auto length = m_parser->content_length();
    if (!reserve_body(length ? *length : unknown_body_bytes)) {
        return false;
    }
    if (net::beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        m_continue_pending = true;
        send_pending_continue();
    }
    return true;
}

bool caller_session::refuse_upload_for_stop() {
    const auto& forwarding = m_owner.m_forwarding;
    if (!m_owner.m_stop.stopping()) {
        return false;
    }
    const auto& message = m_parser->get();
    const auto deadline =
        answer_deadline(forwarding, message, std::string(view(message.target())), m_message_started_at);
    if (!deadline || forwarding.holds(*deadline)) {
        return false;
    }
    refuse_upload(stop_refusal_reason);
    return true;
}

void caller_session::refuse_upload(const char* reason) {
    const auto& message = m_parser->get();
    const bool is_head = message.method() == http::verb::head;
    const std::string id(view(message[m_owner.m_forwarding.adapter.headers().request_id]));
    telemetry::log(event::request_refused, {{"request", id}, {"reason", reason}});
    m_owner.m_forwarding.metrics.refused();
    m_parser.reset(); // Frees what was read of the body.
    release_bytes(m_reserved_bytes);
    answer_and_close(status_unavailable, stopping_retry_after);
    m_exchanges.back().request_id = id;
    m_exchanges.back().is_head = is_head;
}

/// Raises the memory accounted for the message being read to `size`. Returns false if the request was refused
/// because all bodies together exceed their share of the memory.
bool caller_session::reserve_body(std::uint64_t size) {
    if (size <= m_reserved_bytes) {
        return true;
    }
    if (!m_owner.make_room_for_body(*this, size - m_reserved_bytes)) {
        refuse_for_memory();
        return false;
    }
    m_owner.m_body_bytes += size - std::exchange(m_reserved_bytes, size);
    return true;
}

bool caller_session::reserve_chunks() {
    auto& body = m_parser->get().body();
    const auto needed = body.size() + m_unparsed.size();
    if (!m_parser->chunked() || needed <= body.capacity()) {
        return true;
    }
    const auto step = body.capacity() < large_body_bytes ? body.capacity() : body.capacity() / 4;
    const auto next = std::max<std::size_t>(needed, body.capacity() + step);
    if (!reserve_body(next)) {
        return false;
    }
    body.reserve(next);
    return true;
}

/// Sends 100 Continue only after all earlier answers: a caller would attribute it to an earlier request.
void caller_session::send_pending_continue() {
    if (m_continue_pending && m_exchanges.empty() && !m_writing) {
        m_continue_pending = false;
        static const std::string continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        error_code ec;
        m_socket.write_some(net::asio::buffer(continue_response),
                            ec); // A failure is reported by the next read.
    }
}

void caller_session::reject(error_code ec) {
    telemetry::log(event::caller_broke_protocol, {{"reason", ec.message()}});
    const auto status = ec == http::error::body_limit     ? status_too_large
                        : ec == http::error::header_limit ? status_header_too_large
                                                          : status_bad_request;
    m_parser.reset();
    release_bytes(m_reserved_bytes);
    answer_and_close(status, std::nullopt);
}

caller_session::exchange& caller_session::append(bool idempotent) {
    m_pipeline.add(idempotent);
    auto& e = m_exchanges.emplace_back();
    e.accounted_bytes = std::exchange(m_reserved_bytes, 0);
    set_held(e, sizeof(exchange));
    return e;
}

void caller_session::answer_and_close(unsigned status, std::optional<core::milliseconds> retry_after) {
    cancel_timer();
    m_reading_ended = true;
    m_continue_pending = false;
    free_memory(m_unparsed);
    auto& e = append(false);
    e.is_last = true;
    e.answer.status = status;
    e.answer.retry_after = retry_after;
}

void caller_session::on_request() {
    cancel_timer();
    auto message = m_parser->release();
    m_continue_pending = false;
    const auto target = view(message.target());
    const auto& id_header = m_owner.m_forwarding.adapter.headers().request_id;
    if (const auto fault = net::ambiguity_in(message, message.version(), target)) {
        telemetry::log(event::caller_broke_protocol, {{"reason", *fault}});
        answer_and_close(status_bad_request, std::nullopt);
        return;
    }
    const auto routes = m_owner.m_forwarding.state.routes();
    const auto* route =
        routes ? routes->find(view(message[http::field::host]), std::string(target)) : nullptr;
    auto& e = append(route == nullptr || route->idempotent());
    e.is_last = !message.keep_alive();
    e.is_head = message.method() == http::verb::head;
    e.request_id = std::string(view(message[id_header]));
    e.request.method = std::string(view(message.method_string()));
    e.request.target = std::string(target);
    e.request.arrived = m_message_started_at;
    if (!message.body().empty()) {
        e.request.body = std::make_shared<const std::string>(std::move(message.body()));
    } else if (e.request.method == "POST" || e.request.method == "PUT") {
        e.request.body = std::make_shared<const std::string>();
    }
    const bool has_trailers = m_parser->chunked();
    e.request.headers = std::move(static_cast<http::fields&>(message));
    if (has_trailers) {
        m_head_memory = memory_of(e.request.headers);
    }
    hold_request(e);
    if (e.is_last) {
        m_reading_ended = true;
        free_memory(m_unparsed);
    }
    start_message();
    if (!charge()) {
        // Its place in the order of answers is kept; it never starts.
        e.request = {};
        e.answer.status = status_unavailable;
        e.answer.retry_after = memory_full_retry_after;
        e.is_last = true;
        m_reading_ended = true;
        free_memory(m_unparsed);
        release_bytes(e.accounted_bytes);
        set_held(e, sizeof(exchange));
        m_owner.m_forwarding.metrics.refused();
    }
}

// Forwarding

void caller_session::start_requests() {
    if (m_closed || m_lingering) {
        return;
    }
    for (const auto t : m_pipeline.take_startable()) {
        auto& e = exchange_of(t);
        if (e.answer.status != 0) { // Answered locally while it was read.
            m_pipeline.answered(t);
            continue;
        }
        e.forwarder = std::make_shared<forwarding>(
            m_owner.m_forwarding, std::move(e.request), [weak = weak_from_this(), t](caller_answer answer) {
                if (const auto self = weak.lock()) {
                    self->guard("answer to a caller", [&] { self->on_answer(t, std::move(answer)); });
                }
            });
        const auto forwarder =
            e.forwarder; // Keeps the object alive: the answer may arrive before start() returns.
        forwarder->start();
        if (m_closed || m_lingering) {
            return;
        }
    }
}

void caller_session::on_answer(ticket t, caller_answer answer) {
    if (m_closed || m_lingering) {
        return;
    }
    auto& e = exchange_of(t);
    e.forwarder.reset();
    e.answer = std::move(answer);
    if (t != m_pipeline.first()) { // The answer stays in memory until all earlier ones are written.
        e.accounted_bytes += e.answer.body.size();
        m_owner.m_body_bytes += e.answer.body.size();
    }
    hold_answer(e);
    m_pipeline.answered(t);
    write_next();
}

} // namespace balsampost::entry
