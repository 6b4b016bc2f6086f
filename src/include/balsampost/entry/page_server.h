// Serves a single page (readiness or metrics) over HTTP; a function renders the body for each request.
#pragma once

#include "balsampost/core/ini.h"
#include "balsampost/net/asio.h"

#include <functional>
#include <string>

namespace balsampost::entry {

struct page {
    unsigned status = 200;
    std::string content_type = "text/plain";
    std::string body;
};

class page_server {
public:
    page_server(net::asio::io_context& context, std::function<page()> render)
        : m_acceptor(context), m_render(std::move(render)) {}

    /// Throws `boost::system::system_error` if the address cannot be bound.
    void start(net::asio::io_context& context, const core::endpoint& at);
    void stop();

private:
    void accept();

    net::tcp::acceptor m_acceptor;
    std::function<page()> m_render;
};

} // namespace balsampost::entry
