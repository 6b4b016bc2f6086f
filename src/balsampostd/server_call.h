// One HTTP call to a backend server. The response is forwarded to the entry while it is received.
#pragma once

#include "server_gate.h"
#include "traffic.h"

namespace balsampost::daemon {

struct call_result {
    core::run_result result = core::run_result::failed;
    /// Set only if no part of a response was forwarded. The entry is then sent this refusal.
    std::optional<core::refusal_reason> refused;
    std::string detail;
};

class server_call {
public:
    server_call(traffic_thread& traffic, server_gate& gate, connection_ptr connection, net::link& link,
                const net::request_head& head, core::time_point deadline);
    ~server_call();
    server_call(const server_call&) = delete;
    server_call& operator=(const server_call&) = delete;

    net::awaitable<call_result> run();

private:
    struct http_exchange;
    net::awaitable<bool> send_head(http_exchange& exchange);
    net::awaitable<bool> send_remaining_body(http_exchange& exchange);
    net::awaitable<call_result> handle_response(http_exchange& exchange);
    net::awaitable<call_result> forward_response(http_exchange& exchange);
    net::awaitable<call_result> handle_refusal(http_exchange& exchange);
    call_result connection_lost(std::string detail);

    traffic_thread& m_traffic;
    server_gate& m_gate;
    /// Dropped by the destructor unless the exchange completed and the connection was returned to the gate.
    connection_ptr m_connection;
    net::link& m_link;
    const net::request_head& m_head;
    core::time_point m_deadline;
};

} // namespace balsampost::daemon
