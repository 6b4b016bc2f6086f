// Stand-ins for the scripts of this review: the platform's store, backend servers, a client, and the start
// and end of balsampost-entry processes. Plain blocking sockets, one thread a connection. All addresses are
// loopback.
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

inline const steady::time_point started = steady::now();

/// Milliseconds since the start of the rig.
inline long now_ms() {
    return static_cast<long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - started).count());
}
inline void sleep_ms(long ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}
inline void sleep_until_ms(long at) {
    sleep_ms(std::max(0L, at - now_ms()));
}
inline long unix_ms() {
    return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count());
}

/// What was sent, answered and run, one line each, with the milliseconds since the start.
class record {
public:
    void open(const std::string& path) { m_file = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard lock(m_mutex);
        if (m_file == nullptr) {
            return;
        }
        std::fprintf(m_file, "%7ld ", now_ms());
        va_list args;
        va_start(args, format);
        std::vfprintf(m_file, format, args);
        va_end(args);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file = nullptr;
};
inline record journal;

/// Ends the rig without destroying what its detached threads use.
[[noreturn]] inline void end_rig(int code) {
    std::fflush(nullptr);
    std::_Exit(code);
}

// HTTP

struct message {
    std::string first;                          // Request or status line.
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const {
        const auto a = first.find(' ');
        return first.substr(a + 1, first.find(' ', a + 1) - a - 1);
    }
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
    std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

struct answer {
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool close = false; // Says "Connection: close" and closes.
};

/// Reads one message. `pending` keeps bytes read beyond it. Returns false at the end of the connection.
inline bool read_message(int fd, std::string& pending, message& out, long deadline_ms = -1) {
    const auto more = [&] {
        if (deadline_ms >= 0) {
            pollfd p{fd, POLLIN, 0};
            if (::poll(&p, 1, static_cast<int>(std::max(0L, deadline_ms - now_ms()))) <= 0) {
                return false;
            }
        }
        char buffer[65536];
        const auto n = ::recv(fd, buffer, sizeof buffer, 0);
        if (n <= 0) {
            return false;
        }
        pending.append(buffer, static_cast<std::size_t>(n));
        return true;
    };
    std::size_t end;
    while ((end = pending.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return false;
        }
    }
    out = {};
    std::size_t at = pending.find("\r\n");
    out.first = pending.substr(0, at);
    for (at += 2; at < end + 2;) {
        const auto eol = pending.find("\r\n", at);
        const auto line = pending.substr(at, eol - at);
        const auto colon = line.find(':');
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        auto value = colon == std::string::npos ? std::string() : line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        out.headers[name] = value;
        at = eol + 2;
    }
    const auto length = static_cast<std::size_t>(std::atol(out.header("content-length").c_str()));
    while (pending.size() < end + 4 + length) {
        if (!more()) {
            return false;
        }
    }
    out.body = pending.substr(end + 4, length);
    pending.erase(0, end + 4 + length);
    return true;
}

inline bool write_all(int fd, const std::string& bytes) {
    for (std::size_t done = 0; done < bytes.size();) {
        const auto n = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

inline sockaddr_in address_of(const std::string& ip, int port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

/// An HTTP server. The handler gets the number of requests answered before on the connection.
class http_server {
public:
    using handler = std::function<answer(const message&, int answered_before)>;

    int start(const std::string& ip, handler h) {
        m_handler = std::move(h);
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto at = address_of(ip, 0);
        if (::bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            ::listen(m_listener, 256) != 0) {
            return 0;
        }
        socklen_t size = sizeof at;
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&at), &size);
        std::thread([this] { accept_loop(); }).detach();
        return ntohs(at.sin_port);
    }

private:
    void accept_loop() {
        while (true) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
    void serve(int fd) {
        std::string pending;
        message request;
        for (int n = 0; read_message(fd, pending, request); ++n) {
            const auto a = m_handler(request, n);
            std::string out = "HTTP/1.1 " + std::to_string(a.status) + " X\r\n";
            for (const auto& [name, value] : a.headers) {
                out += name + ": " + value + "\r\n";
            }
            if (a.close) {
                out += "Connection: close\r\n";
            }
            out += "Content-Length: " + std::to_string(a.body.size()) + "\r\n\r\n" + a.body;
            if (!write_all(fd, out) || a.close) {
                break;
            }
        }
        ::close(fd);
    }

    handler m_handler;
    int m_listener = -1;
};

// The platform's store

class store {
public:
    static constexpr long answer_time_ms = 4;
    std::string ip;
    int port = 0;
    /// While set, all calls are answered 503: nothing was done.
    std::atomic<bool> busy{false};

    bool start(const std::string& at) {
        ip = at;
        port = m_server.start(at, [this](const message& m, int) { return call(m); });
        return port != 0;
    }
    std::string address() const { return ip + ":" + std::to_string(port); }

    /// Writes an object as the operator or a server does.
    std::uint64_t put(const std::string& kind, const std::string& name, const json& spec) {
        const std::lock_guard lock(m_mutex);
        return put_locked(kind, name, spec);
    }

private:
    struct change {
        std::uint64_t revision;
        std::string kind;
        json event;
    };

    std::uint64_t put_locked(const std::string& kind, const std::string& name, const json& spec) {
        auto& object = m_objects[kind][name];
        if (!object.is_null() && object["spec"] == spec) {
            return object["metadata"]["revision"]; // Nothing changes.
        }
        object = {{"metadata", {{"name", name}, {"revision", ++m_revision}, {"finalizers", json::array()}}},
                  {"spec", spec},
                  {"status", nullptr}};
        m_changes.push_back({m_revision, kind, {{"object", object}, {"removed", false}}});
        m_changed.notify_all();
        return m_revision;
    }

    static answer reply(int status, const json& body) {
        answer out;
        out.status = status;
        out.headers = {{"Content-Type", "application/json"}};
        out.body = body.dump();
        return out;
    }

    static std::string query(const std::string& target, const std::string& name) {
        const auto mark = target.find('?');
        const auto at = mark == std::string::npos ? mark : target.find(name + "=", mark);
        if (at == std::string::npos) {
            return {};
        }
        const auto from = at + name.size() + 1;
        return target.substr(from, target.find('&', from) - from);
    }

    answer call(const message& m) {
        sleep_ms(answer_time_ms);
        if (busy) {
            return reply(503, json::object());
        }
        const auto target = m.target();
        auto path = target.substr(0, target.find('?'));
        const std::string root = "/v1/objects/";
        if (path.rfind(root, 0) != 0) {
            return reply(404, json::object());
        }
        path.erase(0, root.size());
        const auto slash = path.find('/');
        const auto kind = path.substr(0, slash);
        const auto name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        auto& objects = m_objects[kind];
        if (m.method() == "POST" || m.method() == "PUT") {
            const auto body = json::parse(m.body);
            const auto& meta = body.at("metadata");
            const auto which = name.empty() ? meta.at("name").get<std::string>() : name;
            const auto found = objects.find(which);
            const auto revision = meta.value("revision", std::uint64_t{0});
            const bool conflict =
                name.empty() ? found != objects.end()
                             : found == objects.end() ||
                                   (revision != 0 && found->second["metadata"]["revision"] != revision);
            if (conflict) {
                return reply(409, found == objects.end() ? json::object() : found->second);
            }
            put_locked(kind, which, body.at("spec"));
            return reply(name.empty() ? 201 : 200, objects[which]);
        }
        if (!name.empty()) {
            const auto found = objects.find(name);
            return found == objects.end() ? reply(404, json::object()) : reply(200, found->second);
        }
        const auto watched = query(target, "watch");
        if (watched.empty()) {
            auto items = json::array();
            for (const auto& [n, o] : objects) {
                items.push_back(o);
            }
            return reply(200, {{"items", items}, {"more", false}, {"current_rev", m_revision}});
        }
        const auto since = std::stoull(watched);
        const auto until =
            steady::now() + std::chrono::milliseconds(std::atol(query(target, "wait_ms").c_str()));
        auto events = json::array();
        while (true) {
            for (const auto& c : m_changes) {
                if (c.revision > since && c.kind == kind) {
                    events.push_back(c.event);
                }
            }
            if (!events.empty() || busy || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                break;
            }
        }
        if (busy) {
            return reply(503, json::object());
        }
        return reply(200, {{"events", events}, {"current_rev", m_revision}});
    }

    http_server m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, json>> m_objects; // By kind and name.
    std::vector<change> m_changes;
    std::uint64_t m_revision = 100;
};

// Backend servers

/// One life of a backend server. A keyed one runs a request only while it holds the request's key.
class backend {
public:
    std::string id;
    std::string service;
    std::string zone = "a";
    std::string ip;
    int port = 0;
    int slots = 4;
    int queue = 12;
    bool keyed = false;
    long born = unix_ms();
    long work_ms = 20;
    /// Answers on one connection before the server closes it, with "Connection: close" in the last one. 0: no
    /// end.
    int answers_per_connection = 0;
    std::atomic<bool> leaving{false};
    std::atomic<long> sequence{0};
    std::atomic<int> runs{0};
    std::atomic<long> order_connection_ended{
        0}; // When the server last ended a connection after an order's answer.
    std::function<void(const message&)> on_run = [](const message&) {};

    bool start(const std::string& at) {
        ip = at;
        port = m_server.start(at, [this](const message& m, int n) { return call(m, n); });
        return port != 0;
    }
    json entry() const {
        return {{"service", service},   {"address", ip + ":" + std::to_string(port)},
                {"zone", zone},         {"version", "1"},
                {"slots", slots},       {"state", leaving ? "draining" : "ready"},
                {"warmup_left", "0ms"}, {"sequence", sequence.load()},
                {"born", born}};
    }
    bool holds(unsigned key) {
        const std::lock_guard lock(m_mutex);
        return holds_locked(key);
    }

private:
    struct hold {
        unsigned from, to;
        std::uint64_t fence;
        long until;
    };
    bool holds_locked(unsigned key) const {
        return std::any_of(m_holds.begin(), m_holds.end(),
                           [&](const hold& h) { return h.from <= key && key <= h.to && now_ms() < h.until; });
    }

    answer call(const message& m, int answered_before) {
        auto out = run(m);
        out.headers.emplace_back("X-Balsampost-Request-Id", m.header("x-balsampost-request-id"));
        if (leaving) {
            out.headers.emplace_back("Server-Leaving", "1");
            out.close = true;
        }
        out.close =
            out.close || (answers_per_connection > 0 && answered_before + 1 >= answers_per_connection);
        if (out.close && m.target() == "/v1/grant") {
            journal.line("%s ends the connection of an order, as it says in its answer", id.c_str());
            order_connection_ended = now_ms();
        }
        return out;
    }

    /// Waits for a slot, at most until the request's time limit. Returns false if the queue is full or the
    /// limit has passed.
    bool take_slot(const message& m) {
        const std::chrono::milliseconds limit(std::atol(m.header("x-balsampost-deadline-ms").c_str()));
        std::unique_lock lock(m_mutex);
        if (m_waiting >= queue) {
            return false;
        }
        ++m_waiting;
        const bool free = m_slot_free.wait_for(lock, limit, [&] { return m_working < slots; });
        --m_waiting;
        m_working += free ? 1 : 0;
        return free;
    }

    void end_run(unsigned key) {
        m_running_keys.erase(m_running_keys.find(key));
        m_idle.notify_all();
    }

    std::string load_figures() {
        const std::lock_guard lock(m_mutex);
        return std::to_string(m_working) + "," + std::to_string(m_waiting) + "," + std::to_string(slots);
    }

    static answer not_executed(int status) {
        answer out;
        out.status = status;
        out.headers = {{"X-Balsampost-Not-Executed", "1"}};
        return out;
    }

    answer run(const message& m) {
        const auto expected = m.header("x-balsampost-expect-instance");
        if (!expected.empty() && expected != id) {
            return not_executed(421);
        }
        if (m.target() == "/v1/grant" || m.target() == "/v1/release") {
            return order(m);
        }
        if (m.target() == "/health") {
            answer out;
            out.status = leaving ? 503 : 200;
            out.headers = {{"X-Balsampost-Instance-Id", id}};
            return out;
        }
        const auto key = static_cast<unsigned>(std::atol(m.header("x-balsampost-shard-key").c_str()));
        {
            const std::lock_guard lock(m_mutex);
            if (keyed && !holds_locked(key)) {
                journal.line("%s turns away %s: does not hold key %u", id.c_str(),
                             m.header("x-balsampost-request-id").c_str(), key);
                return not_executed(421);
            }
            m_running_keys.insert(key);
        }
        if (!take_slot(m)) {
            const std::lock_guard lock(m_mutex);
            end_run(key);
            return not_executed(503);
        }
        ++runs;
        journal.line("%s runs %s", id.c_str(), m.header("x-balsampost-request-id").c_str());
        on_run(m);
        sleep_ms(work_ms);
        {
            const std::lock_guard lock(m_mutex);
            --m_working;
            m_slot_free.notify_one();
            end_run(key);
        }
        answer out;
        out.headers = {{"X-Balsampost-Response-Signature", id + "." + m.header("x-balsampost-request-id")},
                       {"X-Balsampost-Server-Load", load_figures()}};
        out.body = "answer to " + m.header("x-balsampost-request-id");
        return out;
    }

    answer order(const message& m) {
        const auto body = json::parse(m.body);
        const auto from = body.at("from").get<unsigned>();
        const auto to = body.at("to").get<unsigned>();
        const auto fence = body.at("fence").get<std::uint64_t>();
        const bool is_grant = m.target() == "/v1/grant";
        answer out;
        std::unique_lock lock(m_mutex);
        const auto seen = std::any_of(m_seen.begin(), m_seen.end(), [&](const hold& h) {
            return h.from <= to && from <= h.to && h.fence > fence;
        });
        if (is_grant && seen) {
            out.status = 409;
        }
        if (!seen) {
            m_seen.push_back({from, to, fence, 0});
        }
        if (is_grant && !seen) {
            const auto hold_time = std::atol(body.at("hold_time").get<std::string>().c_str());
            cut_out(from, to);
            m_holds.push_back({from, to, fence, now_ms() + hold_time});
        }
        if (!is_grant) {
            cut_out(from, to);
            m_idle.wait(lock, [&] {
                return std::none_of(m_running_keys.begin(), m_running_keys.end(),
                                    [&](unsigned k) { return from <= k && k <= to; });
            });
            out.headers.emplace_back("X-Balsampost-Handover", "5c0e7a21d94b36f8");
        }
        journal.line("%s %s %u-%u fence %lu%s -> %d", id.c_str(), is_grant ? "granted" : "released", from, to,
                     static_cast<unsigned long>(fence),
                     is_grant ? (" for " + body.at("hold_time").get<std::string>()).c_str() : "", out.status);
        return out;
    }

    void cut_out(unsigned from, unsigned to) {
        std::vector<hold> kept;
        for (const auto& h : m_holds) {
            if (h.to < from || h.from > to) {
                kept.push_back(h);
                continue;
            }
            if (h.from < from) {
                kept.push_back({h.from, from - 1, h.fence, h.until});
            }
            if (h.to > to) {
                kept.push_back({to + 1, h.to, h.fence, h.until});
            }
        }
        m_holds = std::move(kept);
    }

    http_server m_server;
    std::mutex m_mutex;
    std::condition_variable m_idle;
    std::vector<hold> m_holds;
    std::vector<hold> m_seen; // Keys and fence numbers of all orders.
    std::condition_variable m_slot_free;
    int m_working = 0;
    int m_waiting = 0;
    std::multiset<unsigned> m_running_keys;
};

// Entries

/// Bounds as on the pages, one a line.
inline const std::string usual_bounds =
    "seed_lag=3s\naddress_reuse=2s\nstable_window=3000ms\nack=4000ms\ncatch_up=4s\ndrain=2000ms\ngrace=6s\n"
    "lost_slack=200ms\nconfig_apply=2000ms\nrollback_slack=250ms\nmax_stretch=5000ms\nretry_budget_ratio=0."
    "2\n"
    "budget_window=10s\nretry_budget_slack=62\nrecovery=15s\nmax_hold=10000ms\nthaw_slack=300ms\n";

struct entry_process {
    std::string name;
    std::string ip;
    int callers = 0;
    int readiness = 0;
    pid_t pid = 0;
};

/// A port that is free on `ip` now.
inline int free_port(const std::string& ip) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = address_of(ip, 0);
    ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
    socklen_t size = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    ::close(fd);
    return ntohs(at.sin_port);
}

/// Writes the settings as platform/entry.ini.in renders them, and starts the program of the deploy file.
inline entry_process start_entry(const std::string& name, const std::string& ip, const std::string& zone,
                                 const store& s, const std::string& folder, const std::string& bounds) {
    entry_process e{name, ip, free_port(ip), 0, 0};
    do {
        e.readiness = free_port(ip);
    } while (e.readiness == e.callers);
    int peers;
    do {
        peers = free_port(ip);
    } while (peers == e.callers || peers == e.readiness);
    const auto file = folder + "/" + name + ".ini";
    std::ofstream(file)
        << "[instance]\nname = " << name << "\nregion = r\nfailure_domain = " << zone << "\naddress = " << ip
        << "\n\n[listen]\ncallers = " << ip << ":" << e.callers << "\nreadiness = " << ip << ":"
        << e.readiness << "\npeers = " << ip << ":" << peers << "\n\n[store]\naddress = " << s.address()
        << "\n\n[resources]\nmemory_mb = 260\ndescriptors = 4100\ncpu_share = 0.2\nlink_mbps = 1000.0\n"
        << "\n[regions]\na = r\nb = r\n[platform bounds]\nheartbeat=870ms\n"
        << bounds << "# end\n";
    e.pid = ::fork();
    if (e.pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // No entry outlives the rig.
        const int out = ::open((folder + "/" + name + ".log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::setenv("BALSAMPOST_NODE_FILE", file.c_str(), 1);
        ::execl("target/platform/balsampost-entry", "target/platform/balsampost-entry", nullptr);
        ::_exit(127);
    }
    journal.line("%s started, callers at %s:%d", name.c_str(), ip.c_str(), e.callers);
    return e;
}

// The client

struct outcome {
    int status = 0; // 0: no complete answer.
    message reply;
    long took_ms = 0;
};

/// Sends one request on a new connection and waits for its answer.
inline outcome send_request(const std::string& ip, int port, const std::string& request, long wait_ms) {
    outcome out;
    const auto begin = now_ms();
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto at = address_of(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 && write_all(fd, request)) {
        std::string pending;
        if (read_message(fd, pending, out.reply, begin + wait_ms)) {
            out.status = out.reply.status();
        }
    }
    ::close(fd);
    out.took_ms = now_ms() - begin;
    return out;
}

inline std::string request_text(const std::string& method, const std::string& path, const std::string& host,
                                const std::string& id, long deadline_ms, int key = -1,
                                const std::string& body = "") {
    std::string out = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                      "\r\nX-Balsampost-Request-Id: " + id +
                      "\r\nX-Balsampost-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (key >= 0) {
        out += "X-Balsampost-Shard-Key: " + std::to_string(key) + "\r\n";
    }
    if (method != "GET") {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

inline bool wait_ready(const entry_process& e, long within_ms) {
    for (const auto until = now_ms() + within_ms; now_ms() < until; sleep_ms(50)) {
        if (send_request(e.ip, e.readiness, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n", 500).status ==
            200) {
            return true;
        }
    }
    return false;
}

inline void end_process(entry_process& e) {
    if (e.pid > 0) {
        ::kill(e.pid, SIGKILL);
        ::waitpid(e.pid, nullptr, 0);
        e.pid = 0;
    }
}

} // namespace rig
