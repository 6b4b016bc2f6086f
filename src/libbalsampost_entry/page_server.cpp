// Connections of the page server.
#include "balsampost/entry/page_server.h"

#include "balsampost/entry/event_loop.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace balsampost::entry {

namespace http = net::beast::http;
using net::error_code;

namespace {

constexpr std::uint32_t max_request_bytes = 8U << 10U;
// Of the bytes that wait to be parsed: a chunk's header or trailers wait until they are complete.
constexpr std::size_t max_buffer_bytes = 2U * max_request_bytes;
// For one request, its answer, and the wait for the next one: probes and metrics are fetched every few
// seconds.
constexpr core::milliseconds session_timeout{10'000};

} // namespace

class page_session : public std::enable_shared_from_this<page_session> {
public:
    page_session(page_server& owner, net::tcp::socket socket)
        : m_owner(owner), m_socket(std::move(socket)), m_timer(m_socket.get_executor()) {}

    void read() {
        start_timer();
        m_buffer.shrink_to_fit();
        m_response = {};
        m_parser = std::make_unique<http::request_parser<http::string_body>>();
        m_parser->header_limit(max_request_bytes);
        m_parser->body_limit(max_request_bytes);
        http::async_read(m_socket, m_buffer, *m_parser,
                         [self = shared_from_this()](error_code ec, std::size_t) {
                             if (self->m_closed) {
                                 return;
                             }
                             // After an error the connection is closed without a response.
                             if (ec || !contained("page", [&] { self->answer(); })) {
                                 self->close();
                             }
                         });
    }

    void close() {
        if (std::exchange(m_closed, true)) {
            return;
        }
        error_code ec;
        m_timer.cancel();
        m_socket.close(ec);
        std::erase(m_owner.m_sessions, shared_from_this());
    }

private:
    void start_timer() {
        m_timer.expires_after(session_timeout);
        m_timer.async_wait([weak = weak_from_this()](error_code ec) {
            const auto self = weak.lock();
            if (!ec && self) {
                self->close();
            }
        });
    }

    void answer() {
        move_to_end();
        const auto rendered = m_owner.m_render();
        m_response = {};
        m_response.version(11);
        m_response.result(rendered.status);
        m_response.set(http::field::content_type, rendered.content_type);
        m_response.body() = rendered.body;
        m_response.keep_alive(m_parser->get().keep_alive());
        m_response.prepare_payload();
        http::async_write(m_socket, m_response, [self = shared_from_this()](error_code ec, std::size_t) {
            if (self->m_closed) {
                return;
            }
            const bool goes_on = !ec && self->m_response.keep_alive();
            if (!goes_on || !contained("page", [&] { self->read(); })) {
                self->close();
            }
        });
    }

    void move_to_end() {
        auto& all = m_owner.m_sessions;
        const auto found = std::find(all.begin(), all.end(), shared_from_this());
        if (found != all.end()) {
            all.splice(all.end(), all, found);
        }
    }

    page_server& m_owner;
    net::tcp::socket m_socket;
    net::asio::steady_timer m_timer;
    net::beast::flat_buffer m_buffer{max_buffer_bytes};
    std::unique_ptr<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    bool m_closed = false;
};

page_server::page_server(net::asio::io_context& context, descriptor_room& room, core::descriptor_use use,
                         std::string name, std::function<page()> render)
    : m_accepts(context, std::move(name)), m_max_sessions(room.split().reserved[core::index_of(use)]),
      m_render(std::move(render)) {
    room.count(use, [this] { return m_sessions.size(); });
}

page_server::~page_server() = default;

void page_server::start(net::asio::io_context& context, const core::endpoint& at) {
    m_accepts.start(
        context, at,
        [this](net::tcp::socket socket) {
            add_session(std::move(socket));
            return true;
        },
        [this] {
            if (!m_sessions.empty()) {
                const auto oldest = m_sessions.front();
                oldest->close();
            }
        });
}

void page_server::add_session(net::tcp::socket socket) {
    while (m_sessions.size() >= std::max<std::size_t>(m_max_sessions, 1)) {
        const auto oldest = m_sessions.front();
        oldest->close();
    }
    m_sessions.push_back(std::make_shared<page_session>(*this, std::move(socket)));
    m_sessions.back()->read();
}

} // namespace balsampost::entry
