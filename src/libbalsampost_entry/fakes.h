// Test doubles: backend servers that answer from a script or echo the target, and a platform with short
// header names.
#pragma once

#include "balsampost/entry/platform.h"
#include "balsampost/net/asio.h"

#include <boost/asio/read_until.hpp>

#include <array>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace balsampost::entry {

/// Answers each request with the next line of a script that all connections share. The line "close" closes
/// the connection, "reset" resets it, and "silence" sends no answer; the suffix "|close" closes it after the
/// answer. `ID` is replaced by the id of the request. After the last line, connections are closed.
class scripted_backend {
public:
    scripted_backend(net::asio::io_context& context, std::deque<std::string> script)
        : m_acceptor(net::listen_on(context, {"127.0.0.1", 0})), m_script(std::move(script)) {
        accept();
    }
    core::endpoint at() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    int requests() const { return m_requests; }
    const std::string& last() const { return m_last; }

private:
    struct session : std::enable_shared_from_this<session> {
        session(scripted_backend& o, net::tcp::socket s) : owner(o), socket(std::move(s)) {}
        void read() {
            socket.async_read_some(
                net::asio::buffer(buffer), [self = shared_from_this()](auto ec, std::size_t n) {
                    if (ec) {
                        return;
                    }
                    auto& o = self->owner;
                    ++o.m_requests;
                    o.m_last.assign(self->buffer.data(), n);
                    auto line = o.m_script.empty() ? std::string("close") : o.m_script.front();
                    if (!o.m_script.empty()) {
                        o.m_script.pop_front();
                    }
                    net::error_code ignored;
                    if (line == "reset") {
                        self->socket.set_option(net::asio::socket_base::linger(true, 0), ignored);
                    }
                    if (line == "close" || line == "reset") {
                        self->socket.close(ignored);
                        return;
                    }
                    bool end = false;
                    if (line.ends_with("|close")) {
                        line.resize(line.size() - 6);
                        end = true;
                    }
                    if (const auto at = line.find("ID"); at != std::string::npos) {
                        line.replace(at, 2, "req-1");
                    }
                    if (line != "silence") {
                        net::asio::write(self->socket, net::asio::buffer(line), ignored);
                    }
                    if (end) {
                        self->socket.close(ignored);
                        return;
                    }
                    self->read();
                });
        }
        scripted_backend& owner;
        net::tcp::socket socket;
        std::array<char, 8192> buffer{};
    };
    void accept() {
        m_acceptor.async_accept([this](auto ec, net::tcp::socket s) {
            if (!ec) {
                std::make_shared<session>(*this, std::move(s))->read();
                accept();
            }
        });
    }
    net::tcp::acceptor m_acceptor;
    std::deque<std::string> m_script;
    int m_requests = 0;
    std::string m_last;
};

/// Answers each request with its target as the body, either at once or, after `hold`, when `answer` is
/// called. Request bodies are not read.
class echo_backend {
public:
    explicit echo_backend(net::asio::io_context& context)
        : m_acceptor(net::listen_on(context, {"127.0.0.1", 0})) {
        accept();
    }
    core::endpoint at() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    /// Targets of all requests, in the order of their arrival.
    const std::vector<std::string>& seen() const { return m_seen; }
    /// Defers the answers to further requests until `answer` is called.
    void hold() { m_held = true; }
    /// Sends the deferred answer to the request for `target`.
    void answer(const std::string& target) {
        const auto found = m_waiting.find(target);
        if (found != m_waiting.end()) {
            const auto reply = found->second;
            m_waiting.erase(found);
            reply();
        }
    }

private:
    struct session : std::enable_shared_from_this<session> {
        session(echo_backend& o, net::tcp::socket s) : owner(o), socket(std::move(s)) {}
        void read() {
            net::asio::async_read_until(socket, net::asio::dynamic_buffer(text), "\r\n\r\n",
                                        [self = shared_from_this()](auto ec, std::size_t n) {
                                            if (!ec) {
                                                self->received(n);
                                            }
                                        });
        }
        void received(std::size_t n) {
            const auto head = text.substr(0, n);
            text.erase(0, n);
            const auto from = head.find(' ') + 1;
            const auto target = head.substr(from, head.find(' ', from) - from);
            const auto id_at = head.find("Request-Id: ") + 12;
            const auto id = head.substr(id_at, head.find("\r\n", id_at) - id_at);
            owner.m_seen.push_back(target);
            const auto reply = [self = shared_from_this(), target, id] {
                net::error_code ignored;
                net::asio::write(self->socket,
                                 net::asio::buffer("HTTP/1.1 200 OK\r\nIntegrity: i\r\nRequest-Id: " + id +
                                                   "\r\nContent-Length: " + std::to_string(target.size()) +
                                                   "\r\n\r\n" + target),
                                 ignored);
                self->read();
            };
            if (owner.m_held) {
                owner.m_waiting.emplace(target, reply);
            } else {
                reply();
            }
        }
        echo_backend& owner;
        net::tcp::socket socket;
        std::string text;
    };
    void accept() {
        m_acceptor.async_accept([this](auto ec, net::tcp::socket s) {
            if (!ec) {
                std::make_shared<session>(*this, std::move(s))->read();
                accept();
            }
        });
    }
    net::tcp::acceptor m_acceptor;
    std::vector<std::string> m_seen;
    std::map<std::string, std::function<void()>> m_waiting; // By target.
    bool m_held = false;
};

/// A platform that decodes nothing; its store must not be used.
class fake_platform : public platform {
public:
    object_store& store() override { std::abort(); }
    const platform_kinds& kinds() const override { return m_kinds; }
    const header_names& headers() const override { return m_names; }
    core::result<core::backend> decode_backend(const stored_object&) const override {
        return core::backend{};
    }
    core::result<core::manifest> decode_manifest(const stored_object&) const override {
        return core::manifest{};
    }
    std::optional<core::load_report> decode_load(std::string_view) const override { return std::nullopt; }
    bool decode_leaving(std::string_view text) const override { return text == "1"; }
    std::optional<core::milliseconds> decode_pause(std::string_view text) const override {
        return core::milliseconds{std::atoi(std::string(text).c_str())};
    }
    std::optional<std::string> decode_handover(std::string_view text) const override {
        return std::string(text);
    }
    encoded_call encode(const core::send_grant&) const override { return {}; }
    encoded_call encode(const core::send_release&) const override { return {}; }

private:
    platform_kinds m_kinds;
    header_names m_names{"Request-Id", "Deadline-Ms", "Shard-Key", "Expected", "Not-Run",
                         "Load",       "Integrity",   "Handover",  "Leaving",  "Pause-Ms"};
};

} // namespace balsampost::entry
