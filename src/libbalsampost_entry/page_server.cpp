// Connections of the page server.
#include "balsampost/entry/page_server.h"

#include "balsampost/entry/event_loop.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <memory>

namespace balsampost::entry {

namespace http = net::beast::http;
using net::error_code;

namespace {

constexpr std::uint32_t max_request_bytes = 8U << 10U;

class page_session : public std::enable_shared_from_this<page_session> {
public:
    page_session(net::tcp::socket socket, const std::function<page()>& render)
        : m_socket(std::move(socket)), m_render(render) {}

    void read() {
        m_parser = std::make_unique<http::request_parser<http::string_body>>();
        m_parser->header_limit(max_request_bytes);
        m_parser->body_limit(max_request_bytes);
        http::async_read(m_socket, m_buffer, *m_parser,
                         [self = shared_from_this()](error_code ec, std::size_t) {
                             if (!ec) { // After an error the connection is closed without a response.
                                 contained("page", [&] { self->answer(); });
                             }
                         });
    }

private:
    void answer() {
        const auto rendered = m_render();
        m_response = {};
        m_response.version(11);
        m_response.result(rendered.status);
        m_response.set(http::field::content_type, rendered.content_type);
        m_response.body() = rendered.body;
        m_response.keep_alive(m_parser->get().keep_alive());
        m_response.prepare_payload();
        http::async_write(m_socket, m_response, [self = shared_from_this()](error_code ec, std::size_t) {
            if (!ec && self->m_response.keep_alive()) {
                contained("page", [&] { self->read(); });
            }
        });
    }

    net::tcp::socket m_socket;
    const std::function<page()>& m_render;
    net::beast::flat_buffer m_buffer;
    std::unique_ptr<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
};

} // namespace

void page_server::start(net::asio::io_context& context, const core::endpoint& at) {
    m_acceptor = net::listen_on(context, at);
    accept();
}

void page_server::stop() {
    error_code ec;
    m_acceptor.close(ec);
}

void page_server::accept() {
    m_acceptor.async_accept([this](error_code ec, net::tcp::socket socket) {
        if (ec == net::asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            contained("accepted connection of a page",
                      [&] { std::make_shared<page_session>(std::move(socket), m_render)->read(); });
        }
        accept();
    });
}

} // namespace balsampost::entry
