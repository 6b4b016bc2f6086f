// The admin HTTP server: routing of requests and forwarding of operator commands.
#include "admin.h"

#include "balsampost/core/json_text.h"
#include "balsampost/net/signal.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include <csignal>

namespace balsampost::daemon {

using net::awaitable;
using net::http_answer;
using net::http_request;
using net::now;

namespace {

constexpr core::milliseconds command_timeout{3000};
constexpr core::milliseconds status_timeout{500};
constexpr core::milliseconds status_poll_interval{5};
constexpr const char* bearer_prefix = "Bearer ";

http_answer not_found_answer() {
    return {404, "not found; available paths: /metrics /healthz /readyz /status /traces?id= /command\n"};
}

} // namespace

admin::admin(const settings& config, control& control_plane, metrics& daemon_metrics,
             telemetry::span_store& spans)
    : m_settings(config), m_control(control_plane), m_metrics(daemon_metrics), m_spans(spans) {}

admin::~admin() {
    stop();
}

void admin::start() {
    m_acceptor.emplace(net::listen_on(m_context, m_settings.listen.admin));
    net::spawn(m_context,
               net::serve_http(*m_acceptor, [this](const http_request& r) { return handle_request(r); }));
    m_thread = std::thread([this] { m_context.run(); });
}

void admin::stop() {
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool admin::is_operator(const http_request& request) const {
    const auto header = request.headers.find("authorization");
    const std::string expected = bearer_prefix + m_settings.security.operator_token;
    return header != request.headers.end() && header->second.size() == expected.size() &&
           CRYPTO_memcmp(header->second.data(), expected.data(), expected.size()) == 0;
}

awaitable<http_answer> admin::handle_request(http_request request) {
    const auto path = request.path();
    if (path == "/healthz") {
        co_return http_answer{200, "ok\n"};
    }
    if (path == "/readyz") {
        co_return m_control.ready() ? http_answer{200, "ready\n"}
                                    : http_answer{503, "no configuration in force yet\n"};
    }
    if (path == "/metrics") {
        co_return http_answer{200, m_metrics.serialize(), "text/plain; version=0.0.4"};
    }
    if (path == "/status") {
        const auto previous = m_control.status();
        const auto deadline = now() + status_timeout;
        m_control.request_status();
        while (m_control.status() == previous && now() < deadline) {
            co_await net::wait_for(status_poll_interval);
        }
        co_return http_answer{200, *m_control.status() + "\n", "application/json"};
    }
    if (path == "/traces") {
        std::string lines;
        for (const auto& span : m_spans.find_by_trace(request.query("id"))) {
            lines += telemetry::to_json(span) + "\n";
        }
        co_return http_answer{200, lines, "application/x-ndjson"};
    }
    if (path == "/command" && request.method == "POST") {
        if (!is_operator(request)) {
            co_return http_answer{401, "needs the operator token\n"};
        }
        co_return co_await handle_command(std::move(request));
    }
    co_return not_found_answer();
}

/// Expects a JSON list of strings in the body: the command's name, then its arguments.
awaitable<http_answer> admin::handle_command(http_request request) {
    const auto parsed = core::parse_json(request.body);
    const auto parts = parsed ? *parsed : nlohmann::json();
    if (!parts.is_array() || parts.empty() ||
        !std::all_of(parts.begin(), parts.end(), [](const auto& part) { return part.is_string(); })) {
        co_return http_answer{400,
                              "the body must be a JSON list of strings: the command and its arguments\n"};
    }
    struct pending {
        net::signal done;
        http_answer answer{504, "timed out waiting for the control thread\n"};
        bool finished = false;
    };
    auto state = std::make_shared<pending>();
    operator_command command;
    command.name = parts[0].get<std::string>();
    for (std::size_t i = 1; i < parts.size(); ++i) {
        command.arguments.push_back(parts[i].get<std::string>());
    }
    command.reply = [state, this](bool ok, std::string text) {
        net::asio::post(m_context, [state, ok, text = std::move(text)] {
            state->answer = {ok ? 200U : 409U, text + "\n"};
            state->finished = true;
            state->done.notify_all();
        });
    };
    if (!m_to_control->push(command)) {
        co_return http_answer{503, "the command queue of the control thread is full\n"};
    }
    const auto deadline = now() + command_timeout;
    while (!state->finished && now() < deadline) {
        co_await state->done.wait_until(deadline);
    }
    co_return state->answer;
}

} // namespace balsampost::daemon
