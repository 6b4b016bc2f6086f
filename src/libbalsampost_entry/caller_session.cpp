// Reading requests, writing answers.
#include "balsampost/entry/caller_session.h"

#include "balsampost/entry/entry_metrics.h"
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
constexpr int most_reads = 4;                      // Before other connections have their turn.
constexpr std::size_t most_unparsed = 64U << 10U;  // Bytes of requests that wait for those before them.
constexpr std::size_t most_pipelined = 16;         // Requests of one connection without an answer.
constexpr std::size_t kept_capacity = 4U << 10U;   // Of an empty buffer.
constexpr std::uint64_t unknown_body = 16U << 10U; // Counted for a body whose length is not given.
constexpr unsigned status_ok = 200;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_header_too_large = 431;
constexpr unsigned status_unavailable = 503;
constexpr core::milliseconds body_time{30'000}; // For a whole body to arrive.
constexpr std::uint64_t memory_share = 3;       // A third of the memory may hold bodies.
constexpr core::milliseconds full_retry{500};
constexpr core::milliseconds stopping_retry{100}; // Another instance takes the next try at once.
constexpr core::milliseconds linger_time{1'000};

std::string_view view(net::beast::string_view text) {
    return {text.data(), text.size()};
}

bool has_no_body(unsigned status, bool to_head) {
    return to_head || status < status_ok || status == status_no_content || status == status_not_modified;
}

/// What the head of an answer depends on beside the answer itself.
struct head_context {
    std::string_view id_header; // Name of the header that carries a request's id.
    std::string_view request_id;
    bool to_head = false;
    bool keep = false;
};

void append_header(std::string& out, std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
}

std::string answer_head(const caller_answer& answer, const head_context& c) {
    std::string out = "HTTP/1.1 " + std::to_string(answer.status) + " ";
    out.append(view(http::obsolete_reason(http::int_to_status(answer.status)))).append("\r\n");
    const bool from_server = answer.headers.begin() != answer.headers.end();
    const bool has_connection = answer.headers.count(http::field::connection) > 0;
    for (const auto& field : answer.headers) {
        const auto name = view(field.name_string());
        const bool length_of_head = c.to_head && field.name() == http::field::content_length;
        if ((net::is_connection_header(name) && !length_of_head) ||
            (has_connection && net::named_by_connection(answer.headers, name))) {
            continue;
        }
        append_header(out, name, view(field.value()));
    }
    if (!from_server && !c.request_id.empty()) {
        append_header(out, c.id_header, c.request_id);
    }
    if (answer.retry_after) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.3f",
                      std::chrono::duration<double>(*answer.retry_after).count());
        append_header(out, "Retry-After", text.data());
    }
    if (!has_no_body(answer.status, c.to_head)) {
        append_header(out, "Content-Length", std::to_string(answer.body.size()));
    }
    if (!c.keep) {
        append_header(out, "Connection", "close");
    }
    return out.append("\r\n");
}

} // namespace

caller_session::caller_session(caller_listener& owner, net::tcp::socket socket)
    : m_owner(owner), m_socket(std::move(socket)), m_pipeline(most_pipelined) {}

void caller_session::start() {
    error_code ec;
    m_socket.set_option(net::tcp::no_delay(true), ec);
    m_socket.non_blocking(true, ec);
    if (m_owner.m_stopping) {
        m_pipeline.stop();
    }
    begin_message();
    arm_idle();
    wait_for_bytes();
}

void caller_session::close() {
    if (m_closed) {
        return;
    }
    m_closed = true;
    disarm();
    auto exchanges = std::exchange(m_exchanges, {});
    for (auto& e : exchanges) {
        if (e.work) {
            e.work->caller_left();
        }
        release(e.counted_bytes);
    }
    release(m_expected_bytes);
    release(m_written_bytes);
    error_code ec;
    m_socket.close(ec);
    m_owner.m_sessions.erase(shared_from_this());
}

void caller_session::close_if_quiet() {
    if (m_closed || !quiet() || !read_waiting() || !quiet()) {
        return;
    }
    close();
}

void caller_session::answer_now() {
    std::vector<std::shared_ptr<forwarding>> under_way;
    for (const auto& e : m_exchanges) {
        if (e.work) {
            under_way.push_back(e.work);
        }
    }
    for (const auto& work : under_way) {
        work->end_now();
    }
}

void caller_session::release(std::uint64_t& counted) {
    m_owner.m_body_bytes -= std::exchange(counted, 0);
}

core::caller_limits caller_session::limits() const {
    const auto routes = m_owner.m_forwarding.state.routes();
    return routes ? routes->source().limits : core::caller_limits{};
}

// Time limits of reading

void caller_session::arm(core::milliseconds within) {
    disarm();
    m_timer = m_owner.m_forwarding.clock.at(now() + within, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_timer.reset();
            self->timed_out();
        }
    });
}

void caller_session::arm_idle() {
    if (!in_flight() && !m_message_begun && !m_closed) {
        arm(limits().idle_timeout);
    }
}

void caller_session::disarm() {
    if (m_timer) {
        m_owner.m_forwarding.clock.cancel(*m_timer);
        m_timer.reset();
    }
}

void caller_session::timed_out() {
    if (!in_flight()) {
        close(); // Nothing of a whole request is there to be answered.
        return;
    }
    m_reading_ended = true; // Whole requests stand before the one that did not arrive.
    if (m_exchanges.empty()) {
        m_keep = false;
    } else {
        m_exchanges.back().last = true;
    }
}

// Reading

void caller_session::begin_message() {
    const auto l = limits();
    m_parser = std::make_unique<request_parser>();
    m_parser->header_limit(l.header_bytes);
    m_parser->body_limit(l.body_bytes);
    m_parser->eager(true);
    m_message_begun = false;
    m_header_done = false;
}

void caller_session::wait_for_bytes() {
    if (m_waiting || m_closed || m_lingering || m_unparsed.size() >= most_unparsed) {
        return;
    }
    m_waiting = true;
    m_socket.async_wait(net::tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
        self->m_waiting = false;
        if (self->m_closed || self->m_lingering) {
            return;
        }
        if (ec) {
            self->close();
            return;
        }
        self->readable();
    });
}

void caller_session::readable() {
    if (read_waiting()) {
        wait_for_bytes();
    }
}

bool caller_session::read_waiting() {
    auto& buffer = m_owner.m_read_buffer;
    buffer.resize(read_size);
    const auto self = shared_from_this();
    for (int i = 0; i < most_reads && !m_closed && !m_lingering && m_unparsed.size() < most_unparsed; ++i) {
        error_code ec;
        const auto n = m_socket.read_some(net::asio::buffer(buffer), ec);
        if (ec == net::asio::error::would_block) {
            break;
        }
        if (ec) {
            close();
            return false;
        }
        if (!m_reading_ended) {
            m_unparsed.append(buffer.data(), n);
            parse();
        }
    }
    // A caller that has left by now was seen above: nothing of it is sent on.
    start_requests();
    write_next();
    return !m_closed;
}

void caller_session::parse() {
    while (!m_reading_ended && !m_pipeline.full() && !m_unparsed.empty() && parse_some()) {
    }
    if (m_unparsed.empty() && m_unparsed.capacity() > kept_capacity) {
        m_unparsed = {};
    }
}

/// False if more bytes are needed.
bool caller_session::parse_some() {
    if (!m_message_begun) {
        m_message_begun = true;
        m_arrived = now();
        arm(limits().header_timeout);
    }
    error_code ec;
    const auto used = m_parser->put(net::asio::buffer(m_unparsed), ec);
    m_unparsed.erase(0, used);
    if (ec && ec != http::error::need_more) {
        reject(ec);
        return false;
    }
    if (!m_header_done && m_parser->is_header_done() && !header_arrived()) {
        return false;
    }
    if (m_parser->is_done()) {
        request_arrived();
        return true;
    }
    return used > 0 && !ec;
}

/// False if the request was refused by its header alone.
bool caller_session::header_arrived() {
    m_header_done = true;
    if (m_parser->is_done()) {
        return true;
    }
    arm(body_time);
    const auto length = m_parser->content_length();
    const auto expected = length ? *length : unknown_body;
    const auto most =
        (static_cast<std::uint64_t>(m_owner.m_settings.resources.memory_mb) << 20U) / memory_share;
    if (m_owner.m_body_bytes + expected > most) {
        answer_and_close(status_unavailable, full_retry);
        return false;
    }
    m_owner.m_body_bytes += expected;
    m_expected_bytes = expected;
    if (net::beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        m_continue_due = true;
        send_continue_in_turn();
    }
    return true;
}

/// An interim answer between the answers before it would be taken for one of theirs.
void caller_session::send_continue_in_turn() {
    if (m_continue_due && m_exchanges.empty() && !m_writing) {
        m_continue_due = false;
        static const std::string go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        error_code ec;
        m_socket.write_some(net::asio::buffer(go_on), ec); // A failure shows at the next read.
    }
}

void caller_session::reject(error_code ec) {
    telemetry::log(event::caller_broke_protocol, {{"reason", ec.message()}});
    const auto status = ec == http::error::body_limit     ? status_too_large
                        : ec == http::error::header_limit ? status_header_too_large
                                                          : status_bad_request;
    answer_and_close(status, std::nullopt);
}

caller_session::exchange& caller_session::append(bool idempotent) {
    m_pipeline.add(idempotent);
    auto& e = m_exchanges.emplace_back();
    e.counted_bytes = std::exchange(m_expected_bytes, 0);
    return e;
}

void caller_session::answer_and_close(unsigned status, std::optional<core::milliseconds> retry_after) {
    disarm();
    m_reading_ended = true;
    m_unparsed = {};
    auto& e = append(false);
    e.last = true;
    e.answer.status = status;
    e.answer.retry_after = retry_after;
}

void caller_session::request_arrived() {
    disarm();
    auto message = m_parser->release();
    m_continue_due = false;
    const auto target = view(message.target());
    const auto& id_header = m_owner.m_forwarding.words.headers().request_id;
    if (const auto fault = net::ambiguity_in(message, message.version(), target)) {
        telemetry::log(event::caller_broke_protocol, {{"reason", *fault}});
        answer_and_close(status_bad_request, std::nullopt);
        return;
    }
    if (m_owner.m_refusing) {
        telemetry::log(event::request_refused, {{"request", std::string(view(message[id_header]))},
                                                {"reason", "the instance stops"}});
        m_owner.m_forwarding.measured.refused();
        answer_and_close(status_unavailable, stopping_retry);
        return;
    }
    const auto routes = m_owner.m_forwarding.state.routes();
    const auto* route =
        routes ? routes->find(view(message[http::field::host]), std::string(target)) : nullptr;
    auto& e = append(route == nullptr || route->idempotent());
    e.last = !message.keep_alive();
    e.to_head = message.method() == http::verb::head;
    e.request_id = std::string(view(message[id_header]));
    e.request.method = std::string(view(message.method_string()));
    e.request.target = std::string(target);
    e.request.arrived = m_arrived;
    if (!message.body().empty()) {
        e.request.body = std::make_shared<const std::string>(std::move(message.body()));
    } else if (e.request.method == "POST" || e.request.method == "PUT") {
        e.request.body = std::make_shared<const std::string>();
    }
    e.request.headers = std::move(static_cast<http::fields&>(message));
    if (e.last) {
        m_reading_ended = true;
        m_unparsed = {};
    }
    begin_message();
}

// Forwarding

void caller_session::start_requests() {
    if (m_closed || m_lingering) {
        return;
    }
    for (const auto t : m_pipeline.take_startable()) {
        auto& e = at(t);
        if (e.answer.status != 0) { // Refused when it was read.
            m_pipeline.answered(t);
            continue;
        }
        e.work = std::make_shared<forwarding>(m_owner.m_forwarding, std::move(e.request),
                                              [weak = weak_from_this(), t](caller_answer answer) {
                                                  if (const auto self = weak.lock()) {
                                                      self->answered(t, std::move(answer));
                                                  }
                                              });
        const auto work = e.work; // It may be answered before start() returns.
        work->start();
        if (m_closed || m_lingering) {
            return;
        }
    }
}

void caller_session::answered(ticket which, caller_answer answer) {
    if (m_closed) {
        return;
    }
    auto& e = at(which);
    e.work.reset();
    e.answer = std::move(answer);
    if (which != m_pipeline.first()) { // It waits its turn in memory.
        e.counted_bytes += e.answer.body.size();
        m_owner.m_body_bytes += e.answer.body.size();
    }
    m_pipeline.answered(which);
    write_next();
}

// Writing

void caller_session::write_next() {
    if (m_closed || m_writing || m_lingering || !m_pipeline.can_write()) {
        return;
    }
    auto e = std::move(m_exchanges.front());
    m_keep = !e.last && (!m_owner.m_stopping || m_pipeline.started_behind_first());
    m_exchanges.pop_front();
    m_pipeline.pop();
    m_written_bytes = e.counted_bytes;
    m_writing = true;
    m_head = answer_head(e.answer,
                         {m_owner.m_forwarding.words.headers().request_id, e.request_id, e.to_head, m_keep});
    m_body = has_no_body(e.answer.status, e.to_head) ? std::string() : std::move(e.answer.body);
    const std::array<net::asio::const_buffer, 2> buffers{net::asio::buffer(m_head),
                                                         net::asio::buffer(m_body)};
    error_code ec;
    const auto size = m_head.size() + m_body.size();
    const auto done = m_socket.write_some(buffers, ec);
    if (!ec && done == size) {
        written();
    } else if (ec && ec != net::asio::error::would_block) {
        m_writing = false;
        close();
    } else {
        write_rest(ec ? 0 : done);
    }
}

void caller_session::write_rest(std::size_t offset) {
    std::array<net::asio::const_buffer, 2> buffers{net::asio::buffer(m_head), net::asio::buffer(m_body)};
    for (auto& b : buffers) {
        const auto part = std::min(offset, b.size());
        b += part;
        offset -= part;
    }
    net::asio::async_write(m_socket, buffers, [self = shared_from_this()](error_code ec, std::size_t) {
        if (self->m_closed) {
            return;
        }
        if (ec) {
            self->m_writing = false;
            self->close();
            return;
        }
        self->written();
    });
}

void caller_session::written() {
    m_writing = false;
    m_body = {};
    release(m_written_bytes);
    if (!m_keep) {
        linger_close();
        return;
    }
    parse();
    start_requests();
    arm_idle();
    send_continue_in_turn();
    wait_for_bytes();
    write_next();
}

/// Ends the sending side and reads on for a moment: a close with unread bytes would reset the connection and
/// could take the answer with it.
void caller_session::linger_close() {
    error_code ec;
    m_socket.shutdown(net::tcp::socket::shutdown_send, ec);
    if (ec) {
        close();
        return;
    }
    m_lingering = true;
    m_unparsed = {};
    for (auto& e : m_exchanges) {
        release(e.counted_bytes);
    }
    m_exchanges.clear();
    arm(linger_time);
    m_socket.cancel(ec); // The wait for more of the caller's bytes, if there is one.
    drain();
}

void caller_session::drain() {
    if (m_closed) {
        return;
    }
    m_socket.async_wait(net::tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
        if (self->m_closed || ec == net::asio::error::operation_aborted) {
            return;
        }
        for (int i = 0; i < most_reads && !ec; ++i) {
            self->m_socket.read_some(net::asio::buffer(self->m_owner.m_read_buffer), ec);
        }
        if (!ec || ec == net::asio::error::would_block) {
            self->drain();
        } else {
            self->close();
        }
    });
}

} // namespace balsampost::entry
