// The admin listener.
#include "admin.h"

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

constexpr core::milliseconds command_time{3000};
constexpr core::milliseconds status_time{500};
constexpr core::milliseconds status_poll{5};
constexpr const char* bearer = "Bearer ";

http_answer no_such_page() {
    return {404, "pages: /metrics /healthz /readyz /status /traces?id= /command\n"};
}

} // namespace

admin::admin(const settings& config, control& state, metrics& measured, telemetry::span_store& spans)
    : m_settings(config), m_control(state), m_metrics(measured), m_spans(spans) {}

admin::~admin() {
    stop();
}

void admin::start() {
    m_acceptor.emplace(net::listen_on(m_context, m_settings.listen.admin));
    net::spawn(m_context, net::serve_http(*m_acceptor, [this](const http_request& r) { return answer(r); }));
    m_thread = std::thread([this] { m_context.run(); });
}

void admin::stop() {
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool admin::is_operator(const http_request& request) const {
    const auto at = request.headers.find("authorization");
    const std::string expected = bearer + m_settings.security.operator_token;
    return at != request.headers.end() && at->second.size() == expected.size() &&
           CRYPTO_memcmp(at->second.data(), expected.data(), expected.size()) == 0;
}

awaitable<http_answer> admin::answer(http_request request) {
    const auto path = request.path();
    if (path == "/healthz") {
        co_return http_answer{200, "ok\n"};
    }
    if (path == "/readyz") {
        co_return m_control.ready() ? http_answer{200, "ready\n"}
                                    : http_answer{503, "no objects in force yet\n"};
    }
    if (path == "/metrics") {
        co_return http_answer{200, m_metrics.serialize(), "text/plain; version=0.0.4"};
    }
    if (path == "/status") {
        const auto before = m_control.status();
        const auto until = now() + status_time;
        m_control.ask_for_status();
        while (m_control.status() == before && now() < until) {
            co_await net::wait_for(status_poll);
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
        co_return co_await command(std::move(request));
    }
    co_return no_such_page();
}

/// The body is a JSON list: the command's name and its arguments.
awaitable<http_answer> admin::command(http_request request) {
    const auto words = nlohmann::json::parse(request.body, nullptr, false);
    if (!words.is_array() || words.empty() ||
        !std::all_of(words.begin(), words.end(), [](const auto& w) { return w.is_string(); })) {
        co_return http_answer{400, "a command is a JSON list of words\n"};
    }
    struct pending {
        net::signal done;
        http_answer answer{504, "no answer from the control thread\n"};
        bool finished = false;
    };
    auto state = std::make_shared<pending>();
    operator_command given;
    given.name = words[0].get<std::string>();
    for (std::size_t i = 1; i < words.size(); ++i) {
        given.arguments.push_back(words[i].get<std::string>());
    }
    given.reply = [state, this](bool ok, std::string text) {
        net::asio::post(m_context, [state, ok, text = std::move(text)] {
            state->answer = {ok ? 200U : 409U, text + "\n"};
            state->finished = true;
            state->done.notify_all();
        });
    };
    if (!m_to_control->push(given)) {
        co_return http_answer{503, "the control thread is busy\n"};
    }
    const auto deadline = now() + command_time;
    while (!state->finished && now() < deadline) {
        co_await state->done.wait_until(deadline);
    }
    co_return state->answer;
}

} // namespace balsampost::daemon
