// The admin thread: metrics, health, status, traces and operators' commands over HTTP.
#pragma once

#include "control.h"
#include "metrics.h"
#include "ring.h"
#include "settings.h"

#include "balsampost/net/http.h"
#include "balsampost/telemetry/spans.h"

#include <thread>

namespace balsampost::daemon {

class admin {
public:
    admin(const settings& config, control& state, metrics& measured, telemetry::span_store& spans);
    ~admin();

    void connect(ring<operator_command>& to_control) { m_to_control = &to_control; }
    net::asio::io_context& context() { return m_context; }
    void start();
    void stop();

private:
    net::awaitable<net::http_answer> answer(net::http_request request);
    net::awaitable<net::http_answer> command(net::http_request request);
    bool is_operator(const net::http_request& request) const;

    const settings& m_settings;
    control& m_control;
    metrics& m_metrics;
    telemetry::span_store& m_spans;
    net::asio::io_context m_context{1};
    std::optional<net::tcp::acceptor> m_acceptor;
    ring<operator_command>* m_to_control = nullptr;
    std::thread m_thread;
};

} // namespace balsampost::daemon
