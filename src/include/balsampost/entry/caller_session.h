// One caller's connection. Requests are read whole, possibly before earlier ones are answered (pipelining),
// and answered in the order of arrival.
#pragma once

#include "balsampost/core/request_pipeline.h"
#include "balsampost/entry/caller_listener.h"
#include "balsampost/entry/event_loop.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace balsampost::entry {

/// A caller that is refused for want of memory may try again after this time.
inline constexpr core::milliseconds memory_full_retry_after{500};

class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(caller_listener& owner, net::tcp::socket socket);

    void start();
    /// Whether no request of this connection is in flight or partly read.
    bool idle() const { return !in_flight() && !m_message_started && m_unparsed.empty() && !m_lingering; }
    bool in_flight() const { return !m_exchanges.empty() || m_writing; }
    /// Since when no request has been in flight; meaningful while idle.
    core::time_point idle_since() const { return m_idle_since; }
    /// Closes the connection if it is idle. Reads first, so that a request that has arrived is not lost.
    void close_if_idle();
    /// Refuses what cannot be finished. The connection ends after the answers to all requests that were read.
    void begin_stop();
    /// Answers every request that was read with an error and ends the connection.
    void fail_in_flight(caller_listener::unanswered_counts& counts);
    /// Closes the connection for a limit. The listener's report has one line for many.
    void close_for(caller_limit cause);
    /// What decides about the place of the connection in the closing order.
    core::memory::candidate as_candidate(core::time_point at);
    /// Closes the connection. Each request that was read and has no whole answer gets a line with `reason`.
    void close(std::string_view reason);

private:
    /// A request and its answer, once there is one.
    struct exchange {
        /// Moved out when forwarding starts.
        caller_request request;
        std::shared_ptr<forwarding> forwarder;
        caller_answer answer;
        std::string request_id;
        /// Included in the listener's body bytes.
        std::uint64_t accounted_bytes = 0;
        /// Memory of the request or of its answer; included in m_queue_memory.
        std::uint64_t held_bytes = 0;
        bool is_head = false;
        /// The connection closes after this answer; later requests are not read.
        bool is_last = false;
    };
    using request_parser = net::beast::http::request_parser<net::beast::http::string_body>;
    using ticket = core::request_pipeline::ticket;

    /// Runs `step`. If it throws, this connection alone is closed.
    template <class Step>
    void guard(std::string_view place, Step&& step);
    core::caller_limits limits() const;
    exchange& exchange_of(ticket t) { return m_exchanges.at(t - m_pipeline.first()); }
    void start_message();
    void start_timer(core::milliseconds within);
    void start_idle_timer();
    void cancel_timer();
    void on_timeout();
    /// The caller has closed or reset its connection.
    void on_disconnect();
    void log_unanswered(std::string_view reason) const;

    void wait_for_bytes();
    /// Reads and parses the available bytes, up to a limit. Returns false if the caller has disconnected.
    bool receive();
    /// Receives, and starts the requests that are complete.
    bool read_available();
    void on_readable();
    void parse();
    bool parse_next();
    bool on_header();
    /// Whether the body of a request is arriving.
    bool body_arriving() const { return m_header_parsed && !m_reading_ended; }
    /// Refuses the request whose body is arriving if the instance stops too early to finish it. Returns
    /// whether it did.
    bool refuse_upload_for_stop();
    void refuse_upload(const char* reason);
    bool reserve_body(std::uint64_t size);
    /// Makes room for the unparsed bytes in a body of unknown length. Returns false if the request was
    /// refused.
    bool reserve_chunks();
    /// Goes on with parsing in a later event, after other connections had their turn.
    void resume_later();

    // Memory
    static std::uint64_t memory_of(const net::beast::http::fields& headers);
    void hold_request(exchange& e);
    void hold_answer(exchange& e);
    void set_held(exchange& e, std::uint64_t bytes);
    std::uint64_t held_bytes() const;
    /// Counts what the connection holds now. Returns false if a limit forbids it.
    bool charge();
    /// Charges, and refuses the request being read, or closes the connection, if that fails.
    void settle();
    /// Refuses the request being read.
    void refuse_for_memory();
    void close_without_lines();
    /// Counts the bytes that the caller has taken since the last call.
    void note_taken_bytes(core::time_point at);
    /// Bytes that may be read ahead of parsing.
    std::size_t max_unparsed() const;
    void send_pending_continue();
    void reject(net::error_code ec);
    void on_request();
    /// Appends an answer generated by this instance and stops reading from the connection.
    void answer_and_close(unsigned status, std::optional<core::milliseconds> retry_after);
    exchange& append(bool idempotent);

    void start_requests();
    std::vector<std::shared_ptr<forwarding>> active_forwarders() const;
    void on_answer(ticket t, caller_answer answer);
    /// Writes all answers that are next in order.
    void write_next();
    /// Returns whether an answer was written as a whole.
    bool write_one();
    /// Writes what follows the first `written` bytes of the answer.
    void write_rest(std::size_t written);
    void start_write_timer();
    void on_write_timeout();
    void cancel_write_timer();
    void on_written();
    void release_bytes(std::uint64_t& accounted);
    /// Whether bytes of a request that is not complete were received.
    bool partly_read() const { return !m_reading_ended && (m_message_started || !m_unparsed.empty()); }
    void linger_close();
    void drain();

    caller_listener& m_owner;
    net::tcp::socket m_socket;
    std::shared_ptr<core::memory::account> m_account; // Keeps it alive for m_holding.
    core::memory::holding m_holding;
    std::string m_unparsed; // Received, not yet parsed.
    std::unique_ptr<request_parser> m_parser;
    core::request_pipeline m_pipeline;
    std::deque<exchange> m_exchanges; // One per request of m_pipeline, in the same order.
    std::optional<timers::id> m_timer;
    std::optional<timers::id> m_write_timer; // Set while the socket does not take the whole answer.
    std::size_t m_queued_bytes = 0;          // In the socket's send buffer when the timer was set.
    std::string m_head;
    std::string m_answered_id; // Request id of the answer being written.
    std::string m_body;
    core::time_point m_idle_since{};         // When the connection last became idle.
    core::time_point m_message_started_at{}; // When the first byte of the current message arrived.
    std::uint64_t m_reserved_bytes = 0;      // Accounted for the message being read.
    std::uint64_t m_answer_bytes = 0;        // Accounted for the answer being written.
    std::uint64_t m_head_memory = 0;         // Memory of the header section being read.
    std::uint64_t m_queue_memory = 0;        // Sum of held_bytes of m_exchanges.
    std::uint64_t m_parsed_in_event = 0;     // Memory of the header sections parsed in this event.
    core::memory::progress_meter m_read_progress;
    core::memory::progress_meter m_write_progress;
    bool m_resume_posted = false;
    bool m_waiting_for_bytes = false; // A read wait is pending.
    bool m_writing = false;
    bool m_in_write_loop = false;
    bool m_message_started = false;
    bool m_header_parsed = false;
    bool m_continue_pending = false; // The caller expects a 100 Continue.
    bool m_reading_ended = false;
    bool m_stop_ended = false; // The connection ends after the requests that were read.
    bool m_keep_alive = true;  // Whether the connection stays open after the current answer.
    bool m_lingering = false;
    bool m_closed = false;
};

template <class Step>
void caller_session::guard(std::string_view place, Step&& step) {
    const auto self = shared_from_this();
    m_parsed_in_event = 0;
    if (!contained(place, [&] {
            step();
            settle();
        })) {
        contained("close of a connection", [&] { close("a handler of the connection failed"); });
    }
}

} // namespace balsampost::entry
