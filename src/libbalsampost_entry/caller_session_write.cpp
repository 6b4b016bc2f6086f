// Writes answers in the order of their requests, and ends connections without losing an answer.
#include "balsampost/entry/caller_session.h"

#include "balsampost/net/connection_options.h"
#include "balsampost/net/http_rules.h"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace balsampost::entry {

namespace http = net::beast::http;
using net::error_code;

namespace {

// Both keep one busy connection from starving the others and the timers.
constexpr int max_answers_per_event = 64;
constexpr int max_reads_per_event = 4;
constexpr unsigned status_ok = 200;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;
constexpr core::milliseconds linger_timeout{1'000};

/// Empties `text`. An assignment of an empty string would keep its memory.
void free_memory(std::string& text) {
    std::string().swap(text);
}

std::string_view view(net::beast::string_view text) {
    return {text.data(), text.size()};
}

bool has_no_body(unsigned status, bool is_head) {
    return is_head || status < status_ok || status == status_no_content || status == status_not_modified;
}

/// Properties of the request and connection that the head of an answer depends on.
struct head_context {
    std::string_view id_header; // Name of the request id header.
    std::string_view request_id;
    bool is_head = false;
    bool keep_alive = false;
};

void append_header(std::string& out, std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
}

std::string answer_head(const caller_answer& answer, const head_context& c) {
    std::string out = "HTTP/1.1 " + std::to_string(answer.status) + " ";
    out.append(view(http::obsolete_reason(http::int_to_status(answer.status)))).append("\r\n");
    const bool from_server = answer.headers.begin() != answer.headers.end();
    const net::connection_options connection(answer.headers);
    for (const auto& field : answer.headers) {
        const auto name = view(field.name_string());
        const bool is_head_content_length = c.is_head && field.name() == http::field::content_length;
        if ((net::is_connection_header(name) && !is_head_content_length) || connection.contains(name)) {
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
    if (!has_no_body(answer.status, c.is_head)) {
        append_header(out, "Content-Length", std::to_string(answer.body.size()));
    }
    if (!c.keep_alive) {
        append_header(out, "Connection", "close");
    }
    return out.append("\r\n");
}

} // namespace

void caller_session::write_next() {
    if (m_in_write_loop) {
        return; // Called by a request that was answered as soon as it was read: the loop goes on with it.
    }
    m_in_write_loop = true;
    int written = 0;
    while (written < max_answers_per_event && write_one()) {
        ++written;
    }
    m_in_write_loop = false;
    if (written == max_answers_per_event && !m_closed) {
        net::asio::post(m_owner.m_context, [self = shared_from_this()] {
            if (!self->m_closed && !self->m_lingering) {
                self->guard("further answers", [&] { self->write_next(); });
            }
        });
    }
}

bool caller_session::write_one() {
    if (m_closed || m_writing || m_lingering || !m_pipeline.can_write()) {
        return false;
    }
    const bool stopping = m_owner.m_stop.stopping();
    const auto self = shared_from_this();
    // Answers a request that has arrived meanwhile instead of closing the connection in front of it.
    if (stopping && m_exchanges.size() == 1 && !m_exchanges.front().is_last && !receive()) {
        return false;
    }
    auto e = std::move(m_exchanges.front());
    m_exchanges.pop_front();
    m_queue_memory -= e.held_bytes;
    m_keep_alive = !e.is_last && (!stopping || !m_exchanges.empty() || (partly_read() && !m_stop_ended));
    if (!m_keep_alive) { // What arrives while the answer is written belongs to another connection.
        m_reading_ended = true;
        free_memory(m_unparsed);
    }
    m_pipeline.pop();
    m_answer_bytes = e.accounted_bytes;
    m_writing = true;
    m_answered_id = std::move(e.request_id);
    m_head = answer_head(e.answer, {m_owner.m_forwarding.adapter.headers().request_id, m_answered_id,
                                    e.is_head, m_keep_alive});
    m_body = has_no_body(e.answer.status, e.is_head) ? std::string() : std::move(e.answer.body);
    const std::array<net::asio::const_buffer, 2> buffers{net::asio::buffer(m_head),
                                                         net::asio::buffer(m_body)};
    error_code ec;
    const auto size = m_head.size() + m_body.size();
    const auto done = m_socket.write_some(buffers, ec);
    if (!ec && done == size) {
        on_written();
        return true;
    }
    if (ec && ec != net::asio::error::would_block) {
        close("the answer could not be written: " + ec.message());
    } else {
        write_rest(ec ? 0 : done);
    }
    return false;
}

void caller_session::write_rest(std::size_t written) {
    auto offset = written;
    std::array<net::asio::const_buffer, 2> buffers{net::asio::buffer(m_head), net::asio::buffer(m_body)};
    for (auto& b : buffers) {
        const auto part = std::min(offset, b.size());
        b += part;
        offset -= part;
    }
    if (!m_write_timer) {
        m_queued_bytes = net::queued_bytes(m_socket);
        m_write_progress.start(now());
        start_write_timer();
    }
    m_socket.async_write_some(buffers, [self = shared_from_this(), written](error_code ec, std::size_t n) {
        if (self->m_closed) {
            return;
        }
        if (ec) {
            self->close("the answer could not be written: " + ec.message());
            return;
        }
        self->guard("rest of an answer", [&] {
            self->m_queued_bytes += n;
            self->note_taken_bytes(now());
            if (written + n < self->m_head.size() + self->m_body.size()) {
                self->write_rest(written + n);
                return;
            }
            self->cancel_write_timer();
            self->on_written();
        });
    });
}

/// A caller that takes too few bytes in the idle timeout would hold its answer's memory for very long.
void caller_session::start_write_timer() {
    m_write_timer =
        m_owner.m_forwarding.timer_queue.at(now() + limits().idle_timeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->m_write_timer.reset();
                self->guard("timer of a write", [&] { self->on_write_timeout(); });
            }
        });
}

/// The system reports a socket as writable only when a large part of its buffer is free, so that a caller may
/// have read much without a write.
void caller_session::on_write_timeout() {
    const auto at = now();
    note_taken_bytes(at);
    const core::memory::progress_rule rule{m_owner.m_progress_rule.bytes_per_second, limits().idle_timeout};
    if (m_write_progress.rate(at) > 0 && m_write_progress.end_window(rule, at)) {
        start_write_timer();
    } else {
        m_owner.m_closings.note(caller_limit::rate);
        close("the caller stopped reading");
    }
}

void caller_session::cancel_write_timer() {
    if (m_write_timer) {
        m_owner.m_forwarding.timer_queue.cancel(*m_write_timer);
        m_write_timer.reset();
    }
}

void caller_session::on_written() {
    m_writing = false;
    free_memory(m_body);
    release_bytes(m_answer_bytes);
    if (!m_keep_alive) {
        linger_close();
        return;
    }
    parse();
    start_requests();
    if (m_closed || m_lingering) {
        return;
    }
    if (m_stop_ended && !in_flight()) {
        linger_close();
        return;
    }
    start_idle_timer();
    send_pending_continue();
    wait_for_bytes();
    write_next();
}

/// Shuts down the sending side and keeps reading for a short time: closing a socket with unread bytes resets
/// the connection, and the caller could lose the answer.
void caller_session::linger_close() {
    error_code ec;
    m_socket.shutdown(net::tcp::socket::shutdown_send, ec);
    if (ec) {
        close("the connection ends with an earlier answer");
        return;
    }
    m_lingering = true;
    m_read_progress.start(now());
    m_parser.reset();
    free_memory(m_unparsed);
    log_unanswered("the connection ends with an earlier answer");
    auto exchanges = std::exchange(m_exchanges, {});
    for (auto& e : exchanges) {
        if (e.forwarder) {
            e.forwarder->abandon();
        }
        release_bytes(e.accounted_bytes);
    }
    m_queue_memory = 0;
    start_timer(linger_timeout);
    m_socket.cancel(ec); // Cancels a pending read wait.
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
        for (int i = 0; i < max_reads_per_event && !ec; ++i) {
            self->m_socket.read_some(net::asio::buffer(self->m_owner.m_read_buffer), ec);
        }
        // A caller may read the answer to its upload only after the last byte; the stop bounds the time.
        if (self->m_owner.m_stop.stopping() && !self->m_stop_ended) {
            self->start_timer(linger_timeout);
        }
        if (!ec || ec == net::asio::error::would_block) {
            self->drain();
        } else {
            self->close("the caller closed the connection");
        }
    });
}

} // namespace balsampost::entry
