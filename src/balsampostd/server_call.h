// One call to a backend server over HTTP, with the answer passed on to the entry as it comes.
#pragma once

#include "server_gate.h"
#include "traffic.h"

namespace balsampost::daemon {

struct call_end {
    core::run_result result = core::run_result::failed;
    std::optional<core::refusal_reason> refused; ///< Nothing of an answer was passed on.
    std::string detail;
};

class server_call {
public:
    server_call(traffic& owner, server_gate& gate, connection_ptr connection, net::link& link,
                const net::request_head& head, core::time_point deadline);
    ~server_call();
    server_call(const server_call&) = delete;
    server_call& operator=(const server_call&) = delete;

    net::awaitable<call_end> run();

private:
    struct exchange;
    net::awaitable<bool> send_head(exchange& x);
    net::awaitable<bool> send_chunks(exchange& x);
    net::awaitable<call_end> read_answer(exchange& x);
    net::awaitable<call_end> pass_on(exchange& x);
    net::awaitable<call_end> take_refusal(exchange& x);
    call_end lost(std::string detail);

    traffic& m_owner;
    server_gate& m_gate;
    connection_ptr m_connection; // Dropped unless the exchange ended cleanly.
    net::link& m_link;
    const net::request_head& m_head;
    core::time_point m_deadline;
};

} // namespace balsampost::daemon
