// The admin thread serves metrics, health checks, status, traces and operator commands over HTTP.
#pragma once

#include "control.h"
#include "metrics.h"
#include "ring.h"
#include "settings.h"

#include "balsampost/net/http.h"
#include "balsampost/telemetry/spans.h"

#include <thread>

namespace balsampost::daemon {

/// HTTP server for operators and monitoring. Runs its own thread and io_context.
class admin {
public:
    admin(const settings& config, control& control_plane, metrics& daemon_metrics,
          telemetry::span_store& spans);
    ~admin();

    /// Sets the queue for commands to the control thread. Must be called before `start`.
    void connect(ring<operator_command>& to_control) { m_to_control = &to_control; }
    net::asio::io_context& context() { return m_context; }
    /// Binds the admin port and starts the thread.
    void start();
    void stop();

private:
    net::awaitable<net::http_answer> handle_request(net::http_request request);
    net::awaitable<net::http_answer> handle_command(net::http_request request);
    /// Returns true if the request carries the operator token. The comparison takes constant time.
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
