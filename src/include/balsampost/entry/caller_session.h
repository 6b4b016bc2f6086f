// One caller's connection: requests are read whole, possibly ahead of the answers before them, and answered
// in the order in which they came.
#pragma once

#include "balsampost/core/request_pipeline.h"
#include "balsampost/entry/caller_listener.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace balsampost::entry {

class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(caller_listener& owner, net::tcp::socket socket);

    void start();
    /// Whether no request of this connection waits for an answer or is being read.
    bool quiet() const { return !in_flight() && !m_message_begun && m_unparsed.empty() && !m_lingering; }
    bool in_flight() const { return !m_exchanges.empty() || m_writing; }
    /// Closes the connection unless a request is on it, also one that has arrived and was not read yet.
    void close_if_quiet();
    /// Nothing that stands behind a request without an answer is started any more.
    void begin_stop() { m_pipeline.stop(); }
    /// Answers every request that was sent on; those that were not stay unread.
    void answer_now();
    void close();

private:
    /// A request and, when it is there, its answer.
    struct exchange {
        caller_request request; // Moved out when it starts.
        std::shared_ptr<forwarding> work;
        caller_answer answer;
        std::string request_id;
        std::uint64_t counted_bytes = 0; // Of the listener's body bytes.
        bool to_head = false;
        bool last = false; // Nothing behind it is read.
    };
    using request_parser = net::beast::http::request_parser<net::beast::http::string_body>;
    using ticket = core::request_pipeline::ticket;

    core::caller_limits limits() const;
    exchange& at(ticket which) { return m_exchanges.at(which - m_pipeline.first()); }
    void begin_message();
    void arm(core::milliseconds within);
    void arm_idle();
    void disarm();
    void timed_out();

    void wait_for_bytes();
    /// Reads what is there, up to a bound. False if the caller has left.
    bool read_waiting();
    void readable();
    void parse();
    bool parse_some();
    bool header_arrived();
    void send_continue_in_turn();
    void reject(net::error_code ec);
    void request_arrived();
    /// Appends an answer of this instance's own, after which nothing is read any more.
    void answer_and_close(unsigned status, std::optional<core::milliseconds> retry_after);
    exchange& append(bool idempotent);

    void start_requests();
    void answered(ticket which, caller_answer answer);
    void write_next();
    void write_rest(std::size_t offset);
    void written();
    void release(std::uint64_t& counted);
    void linger_close();
    void drain();

    caller_listener& m_owner;
    net::tcp::socket m_socket;
    std::string m_unparsed; // Arrived, and not given to the parser yet.
    std::unique_ptr<request_parser> m_parser;
    core::request_pipeline m_pipeline;
    std::deque<exchange> m_exchanges; // One for each request of m_pipeline.
    std::optional<timers::id> m_timer;
    std::string m_head;
    std::string m_body;
    core::time_point m_arrived{};       // First byte of the message that is being read.
    std::uint64_t m_expected_bytes = 0; // Counted for the message that is being read.
    std::uint64_t m_written_bytes = 0;  // Counted for the answer that is being written.
    bool m_waiting = false;             // For bytes.
    bool m_writing = false;
    bool m_message_begun = false;
    bool m_header_done = false;
    bool m_continue_due = false; // The caller waits for 100 Continue.
    bool m_reading_ended = false;
    bool m_keep = true; // After the answer that is being written.
    bool m_lingering = false;
    bool m_closed = false;
};

} // namespace balsampost::entry
