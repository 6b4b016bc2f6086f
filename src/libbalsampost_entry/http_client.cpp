// Connections of the HTTP client and their reuse.
#include "balsampost/entry/http_client.h"

#include "balsampost/entry/caller_memory.h"
#include "balsampost/net/http_rules.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace balsampost::entry {

namespace http = net::beast::http;
using net::error_code;

namespace {

constexpr std::size_t read_size = 16U << 10U;
constexpr std::uint64_t connection_memory = 4U << 10U; // The connection, its request's head and the parser.
constexpr std::uint32_t response_header_bytes = 32U << 10U;
// Limits of the bytes of a response besides its body: headers and chunk framing, where a chunk may hold one
// byte.
constexpr std::uint64_t max_framing_bytes = 128U << 10U;
constexpr std::uint64_t max_framing_per_body_byte = 8;
constexpr unsigned first_final_status = 200;
constexpr long max_idle_seconds = 3'600;  // A longer idle timeout of a server makes no difference.
constexpr int max_interim_responses = 16; // 1xx responses before the final one.
constexpr core::milliseconds keep_alive_margin{
    1'000}; // Stop reusing a connection this long before the server's idle timeout.
// TCP keep-alive detects a dead connection: first probe after 1 s, then one each second, closed after two.
constexpr int keep_alive_probe_seconds = 1;
constexpr int keep_alive_probe_count = 2;

using response_parser = http::response_parser<http::string_body>;

void set_option(net::tcp::socket& s, int level, int name, int value) {
    // Without the option the socket still works, but a dead connection is detected later.
    static_cast<void>(::setsockopt(s.native_handle(), level, name, &value, sizeof value));
}

} // namespace

class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    http_connection(http_client& owner, core::endpoint to, bool has_room)
        : m_owner(owner), m_to(std::move(to)), m_socket(owner.m_context), m_account(owner.m_memory),
          m_has_room(has_room) {
        if (m_account) {
            m_holding.emplace(*m_account);
        }
    }

    void begin(exchange_request request, exchange_handler done) {
        m_request = std::move(request);
        m_done = std::move(done);
        m_busy = true;
        m_send_started = false;
        m_written = false;
        m_write_failed = false;
        m_interim_count = 0;
        m_response_bytes = 0;
        start_response();
        const auto deadline = m_request.deadline;
        if (deadline != core::time_point::max()) {
            start_timer(deadline);
        }
        if (m_open) {
            write();
        } else {
            connect();
        }
    }

    bool abort() {
        m_done = nullptr;
        close(true);
        return m_send_started;
    }

    bool usable(core::time_point at) {
        return m_open && !m_busy && at < m_reusable_until && nothing_received();
    }

    void close(bool reset) {
        if (m_closed) {
            return;
        }
        m_closed = true;
        m_open = false;
        cancel_timer();
        release_body();
        m_holding.reset();
        error_code ec;
        if (reset) {
            m_socket.set_option(net::asio::socket_base::linger(true, 0), ec);
        }
        m_socket.close(ec);
        m_owner.remove(m_to, this);
    }

    const core::endpoint& to() const { return m_to; }
    core::time_point reusable_until() const { return m_reusable_until; }

private:
    /// Whether the idle connection has neither ended nor received bytes that the event loop has yet to
    /// handle.
    bool nothing_received() {
        char byte = 0;
        error_code ec;
        m_socket.receive(net::asio::buffer(&byte, 1), net::tcp::socket::message_peek, ec);
        return ec == net::asio::error::would_block;
    }

    void start_response() {
        m_response_head_memory = 0;
        m_parser = std::make_unique<response_parser>();
        m_parser->header_limit(response_header_bytes);
        m_parser->body_limit(m_owner.m_limits.body_bytes);
        if (m_request.is_head) {
            m_parser->skip(true);
        }
    }

    /// Returns false if all responses together exceed their memory limit.
    bool account_body() {
        const auto size = m_parser->get().body().size();
        m_owner.m_body_bytes += size - m_accounted_bytes;
        m_accounted_bytes = size;
        return m_owner.m_body_bytes <= m_owner.m_limits.all_body_bytes && charge();
    }

    /// Counts what the connection holds. Returns false if there is no memory for it; the connection may be
    /// closed then.
    bool charge() {
        if (!m_holding) {
            return true;
        }
        const auto held = connection_memory + m_buffer.capacity() + m_response_head_memory +
                          (m_parser ? m_parser->get().body().capacity() : 0);
        const auto granted = core::memory::charge_result::granted;
        if (m_holding->set(held) == granted) {
            return true;
        }
        const auto self = shared_from_this(); // Room is made by closing callers, maybe this request's.
        return m_owner.m_make_room(held - m_holding->bytes(), held) && m_holding &&
               m_holding->set(held) == granted;
    }

    void release_body() { m_owner.m_body_bytes -= std::exchange(m_accounted_bytes, 0); }

    void start_timer(core::time_point deadline) {
        m_timer = m_owner.m_timer_queue.at(deadline, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->m_timer.reset();
                self->fail("timed out", true);
            }
        });
    }

    void cancel_timer() {
        if (m_timer) {
            m_owner.m_timer_queue.cancel(*m_timer);
            m_timer.reset();
        }
    }

    void connect() {
        error_code ec = net::asio::error::no_descriptors;
        if (m_has_room) {
            m_socket.open(net::tcp::v4(), ec);
        }
        if (ec && m_owner.close_an_idle_one()) {
            m_socket.open(net::tcp::v4(), ec);
        }
        if (ec) {
            m_no_room = true;
            net::asio::post(m_owner.m_context,
                            [self = shared_from_this(), ec] { self->fail(ec.message(), false); });
            return;
        }
        m_socket.set_option(net::tcp::no_delay(true), ec);
        set_option(m_socket, SOL_SOCKET, SO_KEEPALIVE, 1);
        set_option(m_socket, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_probe_seconds);
        set_option(m_socket, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_probe_seconds);
        set_option(m_socket, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probe_count);
        ++m_owner.m_connections_opened;
        const auto until = now() + m_owner.m_limits.connect_time;
        if (until < m_request.deadline) {
            cancel_timer();
            start_timer(until);
        }
        m_socket.async_connect(net::to_tcp(m_to),
                               [self = shared_from_this()](error_code e) { self->connected(e); });
    }

    void connected(error_code ec) {
        if (m_closed) {
            return;
        }
        if (ec) {
            m_refused = ec == net::asio::error::connection_refused;
            fail(ec.message(), false);
            return;
        }
        if (m_request.connect_only) {
            m_connect_succeeded = true;
            fail("connected", false);
            return;
        }
        if (m_request.may_send && !m_request.may_send()) {
            m_withdrawn = true;
            fail("the server may no longer be used", false);
            return;
        }
        m_open = true;
        m_socket.non_blocking(true, ec);
        cancel_timer();
        if (m_request.deadline != core::time_point::max()) {
            start_timer(m_request.deadline);
        }
        read();
        write();
    }

    void write() {
        m_send_started = true;
        std::array<net::asio::const_buffer, 2> buffers{net::asio::buffer(m_request.head), {}};
        if (m_request.body) {
            buffers[1] = net::asio::buffer(*m_request.body);
        }
        // Most requests fit into the socket's buffer at once.
        error_code ec;
        const auto size = net::asio::buffer_size(buffers);
        const auto done = m_socket.write_some(buffers, ec);
        if (ec && ec != net::asio::error::would_block) {
            fail(ec.message(), false);
            return;
        }
        if (!ec && done == size) {
            m_written = true;
            return;
        }
        m_offset = ec ? 0 : done;
        write_rest();
    }

    void write_rest() {
        std::array<net::asio::const_buffer, 2> buffers{net::asio::buffer(m_request.head), {}};
        if (m_request.body) {
            buffers[1] = net::asio::buffer(*m_request.body);
        }
        auto skip = m_offset;
        for (auto& b : buffers) {
            const auto consumed = std::min(skip, b.size());
            b += consumed;
            skip -= consumed;
        }
        net::asio::async_write(m_socket, buffers, [self = shared_from_this()](error_code e, std::size_t) {
            if (self->m_closed) {
                return;
            }
            // The server may have answered before the error, so the pending read ends the exchange.
            self->m_written = !e;
            self->m_write_failed = static_cast<bool>(e);
        });
    }

    void read() {
        m_socket.async_read_some(
            m_buffer.prepare(read_size),
            [self = shared_from_this()](error_code e, std::size_t n) { self->received(e, n); });
    }

    void received(error_code ec, std::size_t n) {
        if (m_closed) {
            return;
        }
        m_buffer.commit(n);
        m_response_bytes += n;
        if (!m_busy) {
            // Unsolicited bytes or end of stream on an idle connection: it cannot be reused.
            close(false);
            return;
        }
        if (ec == net::asio::error::eof) {
            // Only a body without a length may end with its connection. The parser must not be told of an end
            // before the first byte: it requires one. A write that failed has taken the error of a reset from
            // the socket, and the end of the stream is then no end of the body.
            error_code finished;
            if (m_parser->is_header_done() && !m_write_failed) {
                m_parser->put_eof(finished);
            }
            if (m_parser->is_header_done() && !m_write_failed && !finished && m_parser->is_done()) {
                complete(false);
            } else {
                fail("the response ended early", false);
            }
            return;
        }
        if (ec) {
            fail(ec.message(), false);
            return;
        }
        parse();
    }

    void parse() {
        error_code ec;
        while (m_buffer.size() > 0 && !m_parser->is_done()) {
            const bool had_header = m_parser->is_header_done();
            const auto used = m_parser->put(m_buffer.data(), ec);
            if (m_holding && !m_parser->is_header_done()) {
                const auto* first = static_cast<const char*>(m_buffer.data().data());
                m_response_head_memory +=
                    header_memory(static_cast<std::uint64_t>(std::count(first, first + used, '\n')), used);
            }
            if (!ec && !had_header && m_parser->is_header_done() && !has_valid_head(used)) {
                return;
            }
            m_buffer.consume(used);
            if (ec == http::error::need_more) {
                break;
            }
            if (ec) {
                fail_malformed("malformed response: " + ec.message());
                return;
            }
            if (m_parser->is_header_done() && !m_parser->is_done()) {
                // Check before parsing the body: the parser reserves memory for the whole length when the
                // body begins.
                const auto length = m_parser->content_length();
                if (length && *length > m_owner.m_limits.body_bytes) {
                    fail_malformed("the body is too large");
                    return;
                }
                m_parser->eager(true);
            }
            if (used == 0) {
                break;
            }
        }
        const bool has_memory = account_body();
        if (m_closed) {
            return;
        }
        if (!has_memory) {
            fail_malformed("the responses being read exceed the memory limit");
            return;
        }
        if (!m_parser->is_done()) {
            if (m_response_bytes > max_framing_bytes + (1 + max_framing_per_body_byte) * m_accounted_bytes) {
                fail_malformed("the response has too many framing bytes");
                return;
            }
            read();
            return;
        }
        if (m_parser->get().result_int() < first_final_status) {
            if (++m_interim_count > max_interim_responses) {
                fail_malformed("too many interim responses");
                return;
            }
            start_response();
            if (m_buffer.size() > 0) {
                parse();
            } else {
                read();
            }
            return;
        }
        complete(m_written && m_buffer.size() == 0 && m_parser->get().keep_alive());
    }

    /// Checks the head that was just parsed, the last `size` bytes of which are at the front of the buffer.
    /// Ends the exchange and returns false if it is not valid.
    bool has_valid_head(std::size_t size) {
        const std::string_view text(static_cast<const char*>(m_buffer.data().data()), size);
        const auto& message = m_parser->get();
        const auto fault =
            net::fault_in_response_head(message, message.version(), message.result_int(), text);
        if (fault) {
            fail_malformed(*fault);
        }
        return !fault;
    }

    void complete(bool reusable) {
        cancel_timer();
        release_body();
        exchange_result result;
        result.end = exchange_end::answered;
        auto message = m_parser->release();
        result.reply.status = message.result_int();
        result.reply.body = std::move(message.body());
        result.reply.headers = std::move(static_cast<http::fields&>(message));
        m_response_head_memory = 0;
        charge(); // The answer's holder counts it from here on.
        result.reused = m_completed > 0;
        ++m_completed;
        m_busy = false;
        m_reusable_until = now() + idle_time(result.reply.headers);
        const auto self = shared_from_this();
        const auto done = std::exchange(m_done, nullptr);
        const bool keep = done && call(done, result) && reusable;
        if (m_closed) {
            return;
        }
        if (!keep) {
            close(!m_written);
            return;
        }
        m_request = {};
        read();
        if (!m_closed) {
            m_owner.release(self);
        }
    }

    core::milliseconds idle_time(const http::fields& headers) const {
        auto allowed = m_owner.m_limits.idle_time;
        const auto text = headers[http::field::keep_alive];
        const auto at = text.find("timeout=");
        if (at != net::beast::string_view::npos) {
            long seconds = 0;
            const auto* first = text.data() + at + 8;
            if (std::from_chars(first, text.data() + text.size(), seconds).ec == std::errc{}) {
                seconds = std::clamp(seconds, 0L, max_idle_seconds);
                allowed = std::min(allowed, core::milliseconds(seconds * 1000) - keep_alive_margin);
            }
        }
        return allowed;
    }

    void fail_malformed(const std::string& reason) {
        m_malformed = true;
        fail(reason, false);
    }

    void fail(const std::string& reason, bool timed_out) {
        if (m_closed) {
            return;
        }
        exchange_result result;
        result.end = m_send_started ? exchange_end::lost : exchange_end::not_sent;
        result.reason = reason;
        result.refused = m_refused;
        result.no_room = m_no_room;
        result.connected = m_connect_succeeded;
        result.timed_out = timed_out;
        result.withdrawn = m_withdrawn;
        result.malformed = m_malformed;
        result.reused = m_completed > 0;
        const auto self = shared_from_this();
        const auto done = std::exchange(m_done, nullptr);
        close(true);
        if (done) {
            done(result);
        }
    }

    /// A connection whose handler throws is not used again.
    bool call(const exchange_handler& done, exchange_result& result) {
        try {
            return done(result);
        } catch (...) {
            close(true);
            throw;
        }
    }

    http_client& m_owner;
    core::endpoint m_to;
    net::tcp::socket m_socket;
    std::shared_ptr<core::memory::account> m_account; // Keeps it alive for m_holding.
    std::optional<core::memory::holding> m_holding;
    net::beast::flat_buffer m_buffer;
    std::unique_ptr<response_parser> m_parser;
    exchange_request m_request;
    exchange_handler m_done;
    std::optional<timers::id> m_timer;
    core::time_point m_reusable_until = core::never;
    std::size_t m_offset = 0;
    std::uint64_t m_accounted_bytes = 0; // Share of the client's body bytes.
    std::uint64_t m_response_head_memory = 0;
    std::uint64_t m_response_bytes = 0; // Bytes of the current response.
    int m_interim_count = 0;            // Interim responses to the current request.
    std::uint32_t m_completed = 0;
    bool m_open = false;
    bool m_busy = false;
    bool m_send_started = false; // A byte of the current request may have been sent.
    bool m_written = false;      // The whole request was written to the socket.
    bool m_write_failed = false; // Not together with `m_written`.
    bool m_has_room = true;      // Of the owner, when the connection was made.
    bool m_no_room = false;
    bool m_refused = false;
    bool m_withdrawn = false;         // `may_send` did not allow the request any more.
    bool m_malformed = false;         // The response broke the protocol or a limit.
    bool m_connect_succeeded = false; // Set only for connect_only requests.
    bool m_closed = false;
};

http_client::http_client(net::asio::io_context& context, timers& timer_queue, client_limits limits)
    : m_context(context), m_timer_queue(timer_queue), m_limits(limits) {}

http_client::~http_client() = default;

http_client::handle http_client::start(const core::endpoint& to, exchange_request request,
                                       exchange_handler done) {
    const auto found = m_targets.find(to);
    if (!request.new_connection && found != m_targets.end()) {
        const auto at = now();
        auto idle = std::exchange(found->second.idle, {});
        std::shared_ptr<http_connection> chosen;
        while (!idle.empty() && !chosen) {
            if (idle.back()->usable(at)) {
                chosen = idle.back();
            } else {
                idle.back()->close(false); // May erase the target.
            }
            idle.pop_back();
        }
        if (chosen) {
            m_targets[to].idle = std::move(idle);
            chosen->begin(std::move(request), std::move(done));
            return chosen;
        }
    }
    const bool has_room = make_room();
    ++m_targets[to].open;
    ++m_connection_count;
    auto connection = std::make_shared<http_connection>(*this, to, has_room);
    connection->begin(std::move(request), std::move(done));
    return connection;
}

bool http_client::abort(const handle& exchange) {
    const auto connection = exchange.lock();
    return !connection || connection->abort();
}

std::size_t http_client::connections_to(const core::endpoint& to) const {
    const auto found = m_targets.find(to);
    return found == m_targets.end() ? 0 : found->second.open;
}

void http_client::close_idle(const core::endpoint& to) {
    const auto found = m_targets.find(to);
    if (found == m_targets.end()) {
        return;
    }
    const auto idle = std::exchange(found->second.idle, {});
    for (const auto& connection : idle) {
        connection->close(false);
    }
}

bool http_client::make_room() {
    while (m_has_room && !m_has_room()) {
        if (!close_an_idle_one()) {
            return false;
        }
    }
    return true;
}

bool http_client::close_an_idle_one() {
    std::shared_ptr<http_connection> chosen;
    for (const auto& [to, t] : m_targets) {
        for (const auto& connection : t.idle) {
            if (!chosen || connection->reusable_until() < chosen->reusable_until()) {
                chosen = connection;
            }
        }
    }
    if (chosen) {
        chosen->close(false);
    }
    return chosen != nullptr;
}

void http_client::release(const std::shared_ptr<http_connection>& connection) {
    m_targets[connection->to()].idle.push_back(connection);
}

void http_client::remove(const core::endpoint& to, const http_connection* connection) {
    const auto found = m_targets.find(to);
    if (found == m_targets.end()) {
        return;
    }
    --m_connection_count;
    std::erase_if(found->second.idle, [&](const auto& c) { return c.get() == connection; });
    if (--found->second.open == 0) {
        m_targets.erase(found);
    }
}

} // namespace balsampost::entry
