// Sockets, HTTP messages and the stand-ins.
#include "stand_ins.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

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

namespace review {

using nlohmann::json;

namespace {

constexpr std::uint32_t key_count = 65'536;
constexpr std::size_t max_message_bytes = 256U << 20U;
constexpr milliseconds restart_delay{500};
constexpr milliseconds watch_interval{5};
constexpr milliseconds stop_check_interval{100};

sockaddr_in to_socket_address(const address& a) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(a.port);
    ::inet_pton(AF_INET, a.ip.c_str(), &out.sin_addr);
    return out;
}

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string response(const std::string& status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

milliseconds duration_of(const std::string& text) {
    const auto value = std::strtod(text.c_str(), nullptr);
    const bool in_ms = text.size() > 2 && text.substr(text.size() - 2) == "ms";
    return milliseconds(static_cast<long long>(in_ms ? value : value * 1'000));
}

std::string query_value(const std::string& query, const std::string& name) {
    std::istringstream in(query);
    for (std::string part; std::getline(in, part, '&');) {
        if (part.rfind(name + "=", 0) == 0) {
            return part.substr(name.size() + 1);
        }
    }
    return "";
}

} // namespace

// Record

record::record(const std::string& path) : m_file(std::fopen(path.c_str(), "w")) {}

record::~record() {
    if (m_file != nullptr) {
        std::fclose(m_file);
    }
}

long long record::now_ms() const {
    return std::chrono::duration_cast<milliseconds>(clock::now() - m_start).count();
}

void record::line(const std::string& text) {
    const std::scoped_lock lock(m_mutex);
    if (m_file != nullptr) {
        std::fprintf(m_file, "%7lld ms  %s\n", now_ms(), text.c_str());
        std::fflush(m_file);
    }
}

// Sockets

address free_address(int host) {
    static const int run = static_cast<int>(::getpid());
    address out{"127." + std::to_string(16 + run / 250 % 200) + "." + std::to_string(run % 250) + "." +
                    std::to_string(host),
                0};
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    auto at = to_socket_address(out);
    socklen_t size = sizeof at;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), size) == 0) {
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
        out.port = ntohs(at.sin_port);
    }
    ::close(fd);
    return out;
}

std::string message::method() const {
    return start_line.substr(0, start_line.find(' '));
}

std::string message::target() const {
    const auto begin = start_line.find(' ') + 1;
    return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

int message::status() const {
    const auto space = start_line.find(' ');
    return space == std::string::npos ? 0 : std::atoi(start_line.c_str() + space + 1);
}

std::string message::header(const std::string& lower_name) const {
    const auto found = headers.find(lower_name);
    return found == headers.end() ? "" : found->second;
}

stream::~stream() {
    if (m_fd >= 0) {
        ::close(m_fd);
    }
}

std::unique_ptr<stream> stream::open(const address& to) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto at = to_socket_address(to);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        ::close(fd);
        return std::make_unique<stream>(-1);
    }
    return std::make_unique<stream>(fd);
}

bool stream::fill(clock::time_point until) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
    pollfd ready{m_fd, POLLIN, 0};
    if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    std::array<char, 65'536> bytes{};
    const auto n = ::recv(m_fd, bytes.data(), bytes.size(), 0);
    if (n <= 0 || m_buffer.size() > max_message_bytes) {
        return false;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(n));
    return true;
}

bool stream::read(message& out, milliseconds timeout) {
    const auto until = clock::now() + timeout;
    out = {};
    std::size_t head_end = 0;
    while ((head_end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until)) {
            return false;
        }
    }
    std::istringstream head(m_buffer.substr(0, head_end));
    std::getline(head, out.start_line);
    for (std::string line; std::getline(head, line);) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            out.headers[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
    }
    m_buffer.erase(0, head_end + 4);
    const auto length = std::strtoull(out.header("content-length").c_str(), nullptr, 10);
    while (m_buffer.size() < length) {
        if (!fill(until)) {
            return false;
        }
    }
    out.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return true;
}

bool stream::send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool stream::closed_by_peer() const {
    pollfd ready{m_fd, POLLIN, 0};
    char byte = 0;
    return ::poll(&ready, 1, 0) > 0 && ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void stream::shut_down() {
    ::shutdown(m_fd, SHUT_RDWR);
}

void listener::start(const address& at) {
    m_listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto where = to_socket_address(at);
    if (::bind(m_listening, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 ||
        ::listen(m_listening, 512) != 0) {
        std::perror("listen");
        std::exit(exit_cannot_run);
    }
    m_acceptor = std::thread([this] { accept_loop(); });
}

void listener::accept_loop() {
    while (!m_stopping) {
        const int fd = ::accept4(m_listening, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::scoped_lock lock(m_mutex);
        m_threads.emplace_back([this, fd] {
            stream connection(fd);
            {
                const std::scoped_lock inner(m_mutex);
                m_connections.insert(&connection);
            }
            if (!m_stopping) {
                serve(connection);
            }
            const std::scoped_lock inner(m_mutex);
            m_connections.erase(&connection);
        });
    }
}

void listener::stop() {
    if (m_listening < 0) {
        return;
    }
    m_stopping = true;
    ::shutdown(m_listening, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listening);
    m_listening = -1;
    {
        const std::scoped_lock lock(m_mutex);
        for (auto* c : m_connections) {
            c->shut_down();
        }
    }
    for (auto& t : m_threads) {
        t.join();
    }
}

// Object store

std::string object_store::object_text(const std::string& name, const object& o) const {
    return R"({"metadata":{"name":)" + json(name).dump() + R"(,"revision":)" + std::to_string(o.revision) +
           R"(,"created":)" + std::to_string(o.created) + R"(,"finalizers":[],"deleting":false},"spec":)" +
           o.spec + R"(,"status":null})";
}

void object_store::note(const std::string& kind, const std::string& name, const object& o, bool removed) {
    m_changes.push_back({m_revision, kind,
                         std::string(R"({"removed":)") + (removed ? "true" : "false") + R"(,"object":)" +
                             object_text(name, o) + "}"});
    m_changed.notify_all();
}

std::uint64_t object_store::put(const std::string& kind, const std::string& name, const std::string& spec) {
    const std::scoped_lock lock(m_mutex);
    auto& o = m_objects[kind][name];
    if (o.spec == spec) {
        return o.revision;
    }
    o.spec = spec;
    o.revision = ++m_revision;
    if (o.created == 0) {
        o.created = m_revision;
    }
    note(kind, name, o, false);
    return o.revision;
}

void object_store::remove(const std::string& kind, const std::string& name) {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end()) {
        return;
    }
    auto o = found->second;
    o.revision = ++m_revision;
    m_objects[kind].erase(found);
    note(kind, name, o, true);
}

void object_store::serve(stream& connection) {
    message request;
    while (!m_stopping && connection.read(request)) {
        if (!connection.send(answer(request))) {
            return;
        }
    }
}

std::string object_store::answer_get(const std::string& kind, const std::string& name,
                                     const std::string& query) {
    const std::string json_type = "Content-Type: application/json\r\n";
    std::unique_lock lock(m_mutex);
    if (!name.empty()) {
        const auto found = m_objects[kind].find(name);
        return found == m_objects[kind].end()
                   ? response("404 Not Found", "", "")
                   : response("200 OK", json_type, object_text(name, found->second));
    }
    const auto watched = query_value(query, "watch");
    if (!watched.empty()) {
        const auto from = std::strtoull(watched.c_str(), nullptr, 10);
        const auto until =
            clock::now() + milliseconds(std::strtoll(query_value(query, "wait_ms").c_str(), nullptr, 10));
        const auto events = [&] {
            std::string out;
            for (const auto& c : m_changes) {
                if (c.revision > from && c.kind == kind) {
                    out += (out.empty() ? "" : ",") + c.text;
                }
            }
            return out;
        };
        auto found = events();
        while (found.empty() && !m_stopping && clock::now() < until) {
            m_changed.wait_until(lock,
                                 std::min<clock::time_point>(until, clock::now() + stop_check_interval));
            found = events();
        }
        return response("200 OK", json_type,
                        R"({"events":[)" + found + R"(],"current_rev":)" + std::to_string(m_revision) + "}");
    }
    std::string items;
    for (const auto& [object_name, o] : m_objects[kind]) {
        items += (items.empty() ? "" : ",") + object_text(object_name, o);
    }
    return response("200 OK", json_type,
                    R"({"items":[)" + items + R"(],"more":false,"current_rev":)" +
                        std::to_string(m_revision) + "}");
}

std::string object_store::answer(const message& request) {
    const std::string prefix = "/v1/objects/";
    const auto target = request.target();
    if (target.rfind(prefix, 0) != 0) {
        return response("404 Not Found", "", "");
    }
    const auto question = target.find('?');
    const auto path =
        target.substr(prefix.size(), question == std::string::npos ? question : question - prefix.size());
    const auto query = question == std::string::npos ? "" : target.substr(question + 1);
    const auto slash = path.find('/');
    const auto kind = path.substr(0, slash);
    auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
    if (request.method() == "GET") {
        return answer_get(kind, name, query);
    }
    const auto body = json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.contains("metadata") || !body.contains("spec")) {
        return response("400 Bad Request", "", "");
    }
    const std::string json_type = "Content-Type: application/json\r\n";
    const auto& meta = body["metadata"];
    const std::scoped_lock lock(m_mutex);
    const bool creates = request.method() == "POST";
    name = creates ? meta.value("name", "") : name;
    const auto found = m_objects[kind].find(name);
    if (found != m_objects[kind].end() &&
        (creates || (meta.contains("revision") && meta["revision"] != found->second.revision))) {
        return response("409 Conflict", json_type, object_text(name, found->second));
    }
    if (!creates && found == m_objects[kind].end()) {
        return response("404 Not Found", "", "");
    }
    auto& o = m_objects[kind][name];
    const auto spec = body["spec"].dump();
    if (spec != o.spec) {
        o.spec = spec;
        o.revision = ++m_revision;
        o.created = o.created == 0 ? m_revision : o.created;
        note(kind, name, o, false);
    }
    return response(creates ? "201 Created" : "200 OK", json_type, object_text(name, o));
}

// Backend server

backend::backend(record& log, object_store& store, backend_options options, const address& at)
    : m_log(log), m_store(store), m_options(std::move(options)), m_at(at),
      m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                 .count()),
      m_fence(key_count), m_held_until(key_count), m_would_hold_until(key_count) {}

void backend::report(const char* state) {
    m_log.line("server " + id() + " reports " + state);
    m_store.put("servers", id(),
                json{{"service", m_options.service},
                     {"address", m_at.text()},
                     {"zone", m_options.zone},
                     {"version", "v1"},
                     {"slots", m_options.slots},
                     {"state", state},
                     {"warmup_left", "0ms"},
                     {"sequence", ++m_sequence},
                     {"born", m_born}}
                    .dump());
}

void backend::report_ready() {
    report("ready");
}

void backend::report_draining() {
    report("draining");
}

void backend::remove_entry() {
    m_log.line("entry of server " + id() + " is removed");
    m_store.remove("servers", id());
}

bool backend::holds(std::uint32_t key) {
    const std::scoped_lock lock(m_mutex);
    return clock::now() < m_held_until[key];
}

bool backend::has_run(const std::string& request) {
    return runs_of(request) > 0;
}

std::size_t backend::runs_of(const std::string& request) {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_runs.find(request);
    return found == m_runs.end() ? 0 : found->second;
}

std::vector<key_work> backend::work_on(std::uint32_t from, std::uint32_t to) {
    const std::scoped_lock lock(m_mutex);
    std::vector<key_work> out;
    for (const auto& [request, key] : m_running) {
        if (from <= key && key <= to && clock::now() < m_would_hold_until[key]) {
            out.push_back({id(), request, key, m_would_hold_until[key]});
        }
    }
    return out;
}

std::string backend::grant(const message& request) {
    const auto body = json::parse(request.body, nullptr, false);
    if (body.is_discarded()) {
        return response("400 Bad Request", "", "");
    }
    const auto from = body.value("from", 0U);
    const auto to = std::min(body.value("to", 0U), key_count - 1);
    const auto fence = body.value("fence", std::uint64_t{0});
    const auto hold = duration_of(body.value("hold_time", "0ms"));
    const auto arrived = clock::now();
    if (on_grant) {
        on_grant(from, to, fence);
    }
    const std::scoped_lock lock(m_mutex);
    for (auto key = from; key <= to; ++key) {
        if (m_fence[key] > fence) {
            return response("409 Conflict", "", "");
        }
    }
    const bool is_renewal = m_fence[from] == fence && m_held_until[from] > arrived;
    for (auto key = from; key <= to; ++key) {
        m_fence[key] = fence;
        m_held_until[key] = m_would_hold_until[key] = arrived + hold;
    }
    if (!is_renewal) {
        m_log.line("server " + id() + " takes keys " + std::to_string(from) + "-" + std::to_string(to) +
                   " with fence " + std::to_string(fence) + " for " + std::to_string(hold.count()) + " ms");
    }
    return response("200 OK", "", "");
}

std::string backend::release(const message& request) {
    const auto body = json::parse(request.body, nullptr, false);
    if (body.is_discarded()) {
        return response("400 Bad Request", "", "");
    }
    const auto from = body.value("from", 0U);
    const auto to = std::min(body.value("to", 0U), key_count - 1);
    const auto fence = body.value("fence", std::uint64_t{0});
    m_log.line("server " + id() + " releases keys " + std::to_string(from) + "-" + std::to_string(to) +
               " with fence " + std::to_string(fence));
    std::unique_lock lock(m_mutex);
    for (auto key = from; key <= to; ++key) {
        m_fence[key] = std::max(m_fence[key], fence);
        m_held_until[key] = {};
    }
    m_work_ended.wait(lock, [&] {
        return std::none_of(m_running.begin(), m_running.end(),
                            [&](const auto& r) { return from <= r.second && r.second <= to; });
    });
    const bool garbled = garbled_handovers > 0 && garbled_handovers-- > 0;
    const std::string handover = garbled ? "5c0e\xff\xfe\xc3" : "5c0e7a21d94b36f8";
    m_log.line("server " + id() + " answers the release of keys " + std::to_string(from) + "-" +
               std::to_string(to) +
               (garbled ? " with wrong bytes, after " + std::to_string(m_answers) + " good answers" : ""));
    return response("200 OK", "X-Balsampost-Handover: " + handover + "\r\n", "");
}

std::string backend::run(const message& request) {
    const auto request_id = request.header("x-balsampost-request-id");
    const auto expected = request.header("x-balsampost-expect-instance");
    const std::string echo = "X-Balsampost-Request-Id: " + request_id + "\r\n";
    if (!expected.empty() && expected != id()) {
        return response("421 Misdirected Request", echo + "X-Balsampost-Not-Executed: 1\r\n", "");
    }
    const auto key = static_cast<std::uint32_t>(
        std::min(std::strtoul(request.header("x-balsampost-shard-key").c_str(), nullptr, 10),
                 static_cast<unsigned long>(key_count - 1)));
    const auto target = request.target();
    const milliseconds work(std::strtoll(target.c_str() + target.rfind('/') + 1, nullptr, 10));
    const std::string about =
        "request " + request_id + (m_options.keyed ? " on key " + std::to_string(key) : std::string());
    {
        const std::scoped_lock lock(m_mutex);
        if (m_options.keyed && clock::now() >= m_held_until[key]) {
            return response("421 Misdirected Request", echo + "X-Balsampost-Not-Executed: 1\r\n", "");
        }
        m_running[request_id] = key;
        ++m_runs[request_id];
    }
    if (on_request) {
        on_request(request_id);
    }
    m_log.line("server " + id() + " begins " + about);
    std::this_thread::sleep_for(work);
    m_log.line("server " + id() + " ends " + about);
    {
        const std::scoped_lock lock(m_mutex);
        m_running.erase(request_id);
    }
    m_work_ended.notify_all();
    return response("200 OK", echo + "X-Balsampost-Response-Signature: " + id() + "\r\n",
                    "answer of " + id() + " to " + request_id);
}

void backend::send_endless(stream& connection) {
    m_log.line("server " + id() + " sends bytes without end");
    const std::string piece(65'536, 'x');
    if (!connection.send("HTTP/1.1 200 OK\r\n\r\n")) {
        return;
    }
    std::uint64_t sent = 0;
    while (!m_stopping && connection.send(piece)) {
        sent += piece.size();
    }
    m_log.line("server " + id() + ": the caller closed after " + std::to_string(sent >> 20U) + " MB");
}

void backend::serve(stream& connection) {
    message request;
    std::string last_answer;
    while (!m_stopping && connection.read(request)) {
        std::string answer;
        if (request.target() == "/v1/grant") {
            if (endless_grant_answers) {
                grant(request);
                send_endless(connection);
                return;
            }
            answer = grant(request);
        } else if (request.target() == "/v1/release") {
            if (!last_answer.empty() && extra_answers > 0 && extra_answers-- > 0) {
                m_log.line("server " + id() + " sends a second copy of its last answer here, after " +
                           std::to_string(m_answers) + " answers");
                connection.send(last_answer);
            }
            answer = release(request);
        } else {
            answer = run(request);
        }
        if (!connection.send(answer)) {
            return;
        }
        ++m_answers;
        last_answer = answer;
    }
}

// Machines

machine::machine(record& log, machine_options options, int host, const address& store,
                 const std::vector<std::pair<std::string, std::string>>& zones, const std::string& folder)
    : m_log(log), m_options(std::move(options)), m_front(free_address(host)), m_ready(free_address(host)),
      m_peers(free_address(host)), m_store(store), m_zones(zones), m_folder(folder) {}

void machine::render_settings() const {
    std::ifstream in("platform/entry.ini.in");
    std::stringstream contents;
    contents << in.rdbuf();
    auto text = contents.str();
    const auto replace = [](std::string& where, const std::string& what, const std::string& by) {
        for (auto at = where.find(what); at != std::string::npos; at = where.find(what, at + by.size())) {
            where.replace(at, what.size(), by);
        }
    };
    // A section is rendered once for each entry of a table: {{@}} is its name, {{.}} its value.
    const auto section = [&](const std::string& name,
                             const std::vector<std::pair<std::string, std::string>>& entries) {
        const auto open = "{{#" + name + "}}";
        const auto close = "{{/" + name + "}}";
        const auto begin = text.find(open);
        const auto end = text.find(close);
        if (begin == std::string::npos || end == std::string::npos) {
            return;
        }
        const auto inner = text.substr(begin + open.size(), end - begin - open.size());
        std::string rendered;
        for (const auto& [key, value] : entries) {
            auto one = inner;
            replace(one, "{{@}}", key);
            replace(one, "{{.}}", value);
            rendered += one;
        }
        text.replace(begin, end + close.size() - begin, rendered);
    };
    section("zones", m_zones);
    section("bounds", m_options.bounds);
    std::string region;
    for (const auto& [zone, of_zone] : m_zones) {
        region = zone == m_options.zone ? of_zone : region;
    }
    const std::vector<std::pair<std::string, std::string>> values{
        {"node_name", m_options.name},
        {"zone", m_options.zone},
        {"region", region},
        {"ip", m_front.ip},
        {"listen.front", m_front.text()},
        {"listen.ready", m_ready.text()},
        {"internal_port_range.0", std::to_string(m_peers.port)},
        {"platform.address", m_store.text()},
        {"limits.memory_mb", std::to_string(m_options.memory_mb)},
        {"limits.max_fds", "4100"},
        {"limits.cpu_share", "0.2"},
        {"limits.link_mbps", "1000.0"},
        {"heartbeat", "870ms"}};
    for (const auto& [name, value] : values) {
        replace(text, "{{" + name + "}}", value);
    }
    std::ofstream(m_folder + "/" + m_options.name + ".ini") << text;
}

void machine::launch() {
    const auto settings = m_folder + "/" + m_options.name + ".ini";
    const auto log = m_folder + "/" + m_options.name + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::setenv("BALSAMPOST_NODE_FILE", settings.c_str(), 1);
        ::execl("target/platform/balsampost-entry", "target/platform/balsampost-entry",
                static_cast<char*>(nullptr));
        ::_exit(127);
    }
    m_pid = pid;
}

void machine::start() {
    render_settings();
    launch();
    m_watcher = std::thread([this] { watch(); });
}

void machine::watch() {
    while (!m_stopping) {
        int status = 0;
        const pid_t pid = m_pid;
        if (pid > 0 && ::waitpid(pid, &status, WNOHANG) == pid) {
            m_pid = -1;
            if (WIFSIGNALED(status)) {
                m_log.line("process of " + name() + " ended by signal " + std::to_string(WTERMSIG(status)));
            } else {
                m_log.line("process of " + name() + " exited with " + std::to_string(WEXITSTATUS(status)));
            }
            if (m_terminated) {
                return;
            }
            ++m_own_ends;
            std::this_thread::sleep_for(restart_delay);
            if (!m_stopping) {
                m_log.line("the platform starts the process of " + name() + " again");
                launch();
            }
            continue;
        }
        std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
        long total = 0;
        long resident = 0;
        if (statm >> total >> resident) {
            const int mb = static_cast<int>(resident * ::sysconf(_SC_PAGESIZE) >> 20);
            m_peak_mb = std::max<int>(m_peak_mb, mb);
            if (mb > m_options.memory_mb) {
                m_log.line("process of " + name() + " uses " + std::to_string(mb) + " MB of " +
                           std::to_string(m_options.memory_mb) + ": the platform kills it");
                ::kill(pid, SIGKILL);
                std::this_thread::sleep_for(milliseconds(20));
            }
        }
        std::this_thread::sleep_for(watch_interval);
    }
}

void machine::stop() {
    m_stopping = true;
    if (m_watcher.joinable()) {
        m_watcher.join();
    }
    if (const pid_t pid = m_pid.exchange(-1); pid > 0) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
}

void machine::terminate() {
    m_terminated = true;
    m_log.line("SIGTERM to " + name());
    if (const pid_t pid = m_pid; pid > 0) {
        ::kill(pid, SIGTERM);
    }
}

bool machine::ready() const {
    const auto connection = stream::open(m_ready);
    message answer;
    return connection->ok() &&
           connection->send("GET /v1/readiness HTTP/1.1\r\nHost: " + m_ready.text() + "\r\n\r\n") &&
           connection->read(answer, milliseconds{1'000}) && answer.status() == 200;
}

bool machine::wait_ready(milliseconds within) const {
    const auto until = clock::now() + within;
    while (!ready()) {
        if (clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
}

// Callers

std::string to_bytes(const caller_request& request) {
    return request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.host +
           "\r\nX-Balsampost-Request-Id: " + request.id +
           "\r\nX-Balsampost-Deadline-Ms: " + std::to_string(request.deadline_ms) + "\r\n" +
           (request.key < 0 ? "" : "X-Balsampost-Shard-Key: " + std::to_string(request.key) + "\r\n") +
           (request.method == "GET" ? ""
                                    : "Content-Length: " + std::to_string(request.body.size()) + "\r\n") +
           "\r\n" + request.body;
}

bool ask(const address& front, const caller_request& request, message& answer, milliseconds within) {
    const auto connection = stream::open(front);
    return connection->ok() && connection->send(to_bytes(request)) && connection->read(answer, within);
}

bool upload_in_chunks(const address& front, const caller_request& request, std::size_t body_bytes,
                      std::size_t bytes_per_s, message& answer) {
    constexpr std::size_t chunk_bytes = 65'536;
    const auto connection = stream::open(front);
    if (!connection->ok() ||
        !connection->send(request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.host +
                          "\r\nX-Balsampost-Request-Id: " + request.id + "\r\nX-Balsampost-Deadline-Ms: " +
                          std::to_string(request.deadline_ms) + "\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    const auto started = clock::now();
    const std::string piece(chunk_bytes, 'u');
    for (std::size_t sent = 0; sent < body_bytes; sent += chunk_bytes) {
        if (!connection->send("10000\r\n" + piece + "\r\n")) {
            return false;
        }
        std::this_thread::sleep_until(started + milliseconds(1'000 * sent / bytes_per_s));
    }
    return connection->send("0\r\n\r\n") && connection->read(answer, milliseconds{10'000});
}

kept_callers::kept_callers(record& log, std::string host, std::string path, std::vector<backend*> servers)
    : m_log(log), m_host(std::move(host)), m_path(std::move(path)), m_servers(std::move(servers)) {}

void kept_callers::start(const machine& m, int connections) {
    for (int i = 0; i < connections; ++i) {
        m_threads.emplace_back([this, &m, i] { run(m, i); });
    }
}

void kept_callers::run(const machine& m, int number) {
    int sent = 0;
    while (!m_stopping) {
        const auto connection = stream::open(m.front());
        if (!connection->ok()) {
            std::this_thread::sleep_for(milliseconds(100));
            continue;
        }
        while (!m_stopping) {
            caller_request request;
            request.path = m_path;
            request.host = m_host;
            request.id = m.name() + "-" + std::to_string(number) + "-" + std::to_string(++sent);
            message answer;
            if (!connection->send(to_bytes(request))) {
                break;
            }
            if (connection->read(answer, milliseconds{8'000})) {
                const std::scoped_lock lock(m_mutex);
                m_answered[m.name()] += answer.status() == 200 ? 1 : 0;
                if (answer.header("connection") == "close") {
                    break;
                }
                continue;
            }
            const bool passed_on = std::any_of(m_servers.begin(), m_servers.end(),
                                               [&](backend* s) { return s->has_run(request.id); });
            m_log.line("request " + request.id + ": the connection to " + m.name() +
                       " ended without an answer" + (passed_on ? "; a server had begun to run it" : ""));
            if (passed_on) {
                const std::scoped_lock lock(m_mutex);
                ++m_cut[m.name()];
            }
            break;
        }
    }
}

void kept_callers::stop() {
    m_stopping = true;
    for (auto& t : m_threads) {
        t.join();
    }
    m_threads.clear();
}

int kept_callers::cut(const std::string& machine_name) {
    const std::scoped_lock lock(m_mutex);
    return m_cut[machine_name];
}

int kept_callers::answered(const std::string& machine_name) {
    const std::scoped_lock lock(m_mutex);
    return m_answered[machine_name];
}

int warm_up(const machine& m, const std::string& host, const std::string& prefix, int requests) {
    constexpr int key_step = 4'099; // Coprime to the number of keys.
    int served = 0;
    for (int i = 0; i < requests; ++i) {
        caller_request request;
        request.method = "POST";
        request.path = prefix + "5";
        request.host = host;
        request.key = static_cast<int>(static_cast<std::uint32_t>(i * key_step) % key_count);
        request.id = "warm-" + std::to_string(i);
        message answer;
        served += ask(m.front(), request, answer) && answer.status() == 200 ? 1 : 0;
    }
    return served;
}

// The operator

void put_manifest(object_store& store, int version, const std::string& host,
                  const std::vector<route_options>& routes, const std::set<std::string>& keyed_services) {
    std::array<char, 16> hex{};
    std::snprintf(hex.data(), hex.size(), "%08x", static_cast<unsigned>(version));
    json manifest{{"version", hex.data()},
                  {"routes", json::array()},
                  {"services", json::array()},
                  {"limits",
                   {{"max_header_bytes", 16'384},
                    {"max_body_bytes", 67'108'864},
                    {"header_timeout", "3000ms"},
                    {"idle_timeout", "15000ms"}}}};
    std::set<std::string> services;
    for (const auto& r : routes) {
        manifest["routes"].push_back({{"name", r.name},
                                      {"host", host},
                                      {"path_prefix", r.path_prefix},
                                      {"kind", r.kind},
                                      {"timeout", std::to_string(r.timeout_ms) + "ms"},
                                      {"target_latency", "500ms"},
                                      {"priority", 1},
                                      {"service", r.service},
                                      {"max_attempts", 2}});
        services.insert(r.service);
    }
    for (const auto& s : services) {
        json service{{"name", s},
                     {"health_check_path", "/health"},
                     {"max_connections", 130},
                     {"protocol", "h1"},
                     {"tls_enabled", false}};
        if (keyed_services.count(s) > 0) {
            service["sharded"] = true;
            service["warm"] = "2s";
            service["grants"] = "call";
        }
        manifest["services"].push_back(service);
    }
    store.put("config", "main", manifest.dump());
}

bool without_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value != nullptr && std::string(value) == "0";
}

temporary_folder::temporary_folder() {
    std::string name = (std::filesystem::temp_directory_path() / "balsampost-review-XXXXXX").string();
    m_path = ::mkdtemp(name.data()) == nullptr ? "" : name;
}

temporary_folder::~temporary_folder() {
    if (!m_path.empty() && std::getenv("KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
}

} // namespace review
