// Parsing and sockets.
#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstring>

namespace balsampost::review::rig_3 {

namespace {

constexpr std::size_t read_size = 64U << 10U;
constexpr int poll_ms = 50;
constexpr int listen_queue = 512;

sockaddr_in to_system(const endpoint& e) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(e.port);
    inet_pton(AF_INET, e.address.c_str(), &out.sin_addr);
    return out;
}

bool receive(int socket, std::string& rest) {
    char buffer[read_size];
    const auto n = ::recv(socket, buffer, sizeof buffer, 0);
    if (n <= 0) {
        return false;
    }
    rest.append(buffer, static_cast<std::size_t>(n));
    return true;
}

/// Reads the first line, the headers and a body with a length.
bool read_message(int socket, std::string& rest, std::string& first, header_map& headers, std::string& body) {
    std::size_t end = 0;
    while ((end = rest.find("\r\n\r\n")) == std::string::npos) {
        if (!receive(socket, rest)) {
            return false;
        }
    }
    const auto head = rest.substr(0, end + 2);
    rest.erase(0, end + 4);
    auto at = head.find("\r\n");
    first = head.substr(0, at);
    for (at += 2; at < head.size();) {
        const auto stop = head.find("\r\n", at);
        const auto colon = head.find(':', at);
        if (colon != std::string::npos && colon < stop) {
            auto name = head.substr(at, colon - at);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            const auto value = head.find_first_not_of(' ', colon + 1);
            headers[name] = value >= stop ? "" : head.substr(value, stop - value);
        }
        at = stop + 2;
    }
    const auto length = headers.find("content-length");
    const std::size_t size = length == headers.end() ? 0 : std::stoul(length->second);
    while (rest.size() < size) {
        if (!receive(socket, rest)) {
            return false;
        }
    }
    body = rest.substr(0, size);
    rest.erase(0, size);
    return true;
}

} // namespace

std::string http_request::query(const std::string& name) const {
    auto at = target.find('?');
    while (at != std::string::npos && at + 1 < target.size()) {
        const auto stop = std::min(target.find('&', at + 1), target.size());
        const auto pair = target.substr(at + 1, stop - at - 1);
        if (pair.substr(0, pair.find('=')) == name) {
            return pair.substr(pair.find('=') + 1);
        }
        at = stop;
    }
    return "";
}

std::string http_request::header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

bool read_request(int socket, std::string& rest, http_request& out) {
    std::string first;
    out = {};
    if (!read_message(socket, rest, first, out.headers, out.body)) {
        return false;
    }
    const auto space = first.find(' ');
    out.method = first.substr(0, space);
    out.target = first.substr(space + 1, first.rfind(' ') - space - 1);
    return true;
}

bool read_response(int socket, std::string& rest, http_response& out) {
    std::string first;
    out = {};
    if (!read_message(socket, rest, first, out.headers, out.body) || first.size() < 12) {
        return false;
    }
    out.status = std::stoi(first.substr(9, 3));
    return true;
}

bool write_all(int socket, const std::string& bytes) {
    for (std::size_t done = 0; done < bytes.size();) {
        const auto n = ::send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

std::string to_text(const http_response& r) {
    auto out = "HTTP/1.1 " + std::to_string(r.status) + " Status\r\n";
    for (const auto& [name, value] : r.headers) {
        out += name + ": " + value + "\r\n";
    }
    return out + "content-length: " + std::to_string(r.body.size()) + "\r\n\r\n" + r.body;
}

int connect_to(const endpoint& to, milliseconds timeout, const std::string& from) {
    const int s = ::socket(AF_INET, SOCK_STREAM, 0);
    const timeval limit{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
    const int on = 1;
    ::setsockopt(s, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(s, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    ::setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto own = to_system({from, 0});
    if (!from.empty() && ::bind(s, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0) {
        ::close(s);
        return -1;
    }
    const auto address = to_system(to);
    if (::connect(s, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(s);
        return -1;
    }
    return s;
}

std::optional<http_response> call(const endpoint& to, const std::string& text, milliseconds timeout,
                                  const std::string& from) {
    const int s = connect_to(to, timeout, from);
    if (s < 0) {
        return std::nullopt;
    }
    http_response out;
    std::string rest;
    const bool whole = write_all(s, text) && read_response(s, rest, out);
    ::close(s);
    return whole ? std::optional(out) : std::nullopt;
}

http_server::http_server(endpoint at, handler answer) : m_at(std::move(at)), m_answer(std::move(answer)) {
    const int s = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(s, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = to_system(m_at);
    if (::bind(s, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(s, listen_queue) != 0) {
        ::close(s);
        return;
    }
    m_listener = s;
    m_thread = std::thread([this] { accept_all(); });
}

http_server::~http_server() {
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
        ::close(m_listener);
    }
    while (m_serving > 0) {
        reset_connections();
        std::this_thread::sleep_for(milliseconds{poll_ms});
    }
}

void http_server::reset_connections() {
    const std::lock_guard lock(m_mutex);
    for (const int s : m_open) {
        ::shutdown(s, SHUT_RDWR);
    }
}

void http_server::accept_all() {
    while (!m_stopping) {
        pollfd ready{m_listener, POLLIN, 0};
        if (::poll(&ready, 1, poll_ms) <= 0) {
            continue;
        }
        const int s = ::accept(m_listener, nullptr, nullptr);
        if (s < 0) {
            continue;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_open.insert(s);
        }
        ++m_serving;
        std::thread([this, s] { serve(s); }).detach();
    }
}

void http_server::serve(int socket) {
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string rest;
    http_request request;
    while (!m_stopping && read_request(socket, rest, request)) {
        const auto response = m_answer(request);
        if (response.status == 0 || !write_all(socket, to_text(response))) {
            break;
        }
    }
    {
        const std::lock_guard lock(m_mutex);
        m_open.erase(socket);
        ::close(socket);
    }
    --m_serving;
}

} // namespace balsampost::review::rig_3
