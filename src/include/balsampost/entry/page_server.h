// Serves a single page (readiness or metrics) over HTTP; a function renders the body for each request.
#pragma once

#include "balsampost/core/ini.h"
#include "balsampost/core/process_limits.h"
#include "balsampost/entry/accept_loop.h"
#include "balsampost/entry/descriptor_room.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace balsampost::entry {

struct page {
    unsigned status = 200;
    std::string content_type = "text/plain";
    std::string body;
};

class page_session;

/// Keeps to the reserve of its use: a new connection takes the place of the one that has been silent for
/// longest.
class page_server {
public:
    page_server(net::asio::io_context& context, descriptor_room& room, core::descriptor_use use,
                std::string name, std::function<page()> render);
    ~page_server();

    /// Throws `boost::system::system_error` if the address cannot be bound.
    void start(net::asio::io_context& context, const core::endpoint& at);
    void stop() { m_accepts.close(); }
    std::uint16_t port() const { return m_accepts.port(); }
    std::size_t connection_count() const { return m_sessions.size(); }

private:
    friend class page_session;
    void add_session(net::tcp::socket socket);

    accept_loop m_accepts;
    std::size_t m_max_sessions;
    std::function<page()> m_render;
    /// The one that was last heard of is the last.
    std::list<std::shared_ptr<page_session>> m_sessions;
};

} // namespace balsampost::entry
