// One listener in front of a scripted server, for tests of callers' connections.
#pragma once

#include "balsampost/entry/caller_listener.h"
#include "balsampost/entry/entry_metrics.h"
#include "balsampost/entry/event_loop.h"
#include "fakes.h"

#include <memory>
#include <string>

namespace balsampost::entry {

inline settings rig_settings() {
    settings s;
    s.instance.failure_domain = "d";
    s.listen.callers = {"127.0.0.1", 0};
    return s;
}

template <class Platform = fake_platform>
struct caller_rig {
    explicit caller_rig(std::deque<std::string> script, settings s = rig_settings())
        : config(std::move(s)), timer_queue(context), client(context, timer_queue, {}),
          server(context, std::move(script)), state(config),
          callers(context, {state, client, timer_queue, adapter, metrics}, config) {
        core::backend b;
        b.self = {"one", 1};
        b.service = "s";
        b.address = server.at();
        b.failure_domain = "d";
        b.slots = 4;
        state.directory().put(b, now());
        set_limits({});
        callers.start();
    }
    ~caller_rig() { callers.close_all(); }

    void set_limits(const core::caller_limits& limits) {
        core::manifest m;
        m.version = ++version;
        m.limits = limits;
        m.services["s"] = {"s", 100, false};
        core::route r;
        r.name = "r";
        r.host = "h";
        r.path_prefix = "/";
        r.timeout = std::chrono::seconds(60);
        r.target_latency = std::chrono::seconds(60);
        r.max_attempts = 1;
        r.destinations = {{"s", 1}};
        m.routes = {r};
        state.set_manifest(m);
    }
    /// Runs handlers until `done`, at most 10 s. Returns whether it came to that.
    bool run_until(const std::function<bool()>& done) {
        const auto give_up = now() + std::chrono::seconds(10);
        while (!done() && now() < give_up) {
            context.restart();
            context.run_for(std::chrono::milliseconds(5));
        }
        return done();
    }
    std::shared_ptr<net::tcp::socket> connect() {
        auto socket = std::make_shared<net::tcp::socket>(context);
        socket->connect({net::asio::ip::make_address("127.0.0.1"), callers.port()});
        return socket;
    }
    static void send(net::tcp::socket& socket) {
        net::asio::write(socket, net::asio::buffer(
                                     std::string("GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: req-1\r\n\r\n")));
    }
    /// Reads one answer without a body, up to its blank line.
    std::string answer(net::tcp::socket& socket) {
        std::string text;
        bool ended = false;
        net::asio::async_read_until(socket, net::asio::dynamic_buffer(text), "\r\n\r\n",
                                    [&](net::error_code, std::size_t) { ended = true; });
        if (!run_until([&] { return ended; })) {
            socket.close();
            run_until([&] { return ended; });
        }
        return text;
    }

    settings config;
    net::asio::io_context context{1};
    timers timer_queue;
    http_client client;
    scripted_backend server;
    Platform adapter;
    entry_metrics metrics;
    traffic_state state;
    caller_listener callers;
    std::uint64_t version = 0;
};

} // namespace balsampost::entry
