// Links, their handshakes and the link pool.
#include "balsampost/net/link.h"

namespace balsampost::net {

namespace {

/// An idle link that received nothing for this long must answer a ping before it carries a request.
constexpr core::milliseconds probe_after_idle{500};
constexpr core::milliseconds probe_timeout{100};
/// An accepted link is closed when no frame arrives on it for this long.
constexpr std::chrono::minutes idle_timeout{2};
constexpr std::size_t length_bytes = 4;
constexpr int max_attempts = 2; // Of link_pool::call.

template <class Message>
frame make_frame(frame_type type, const Message& message) {
    return {type, 0, pack_message(message)};
}

} // namespace

link::link(tcp::socket socket, link_traffic& traffic)
    : m_stream(std::move(socket)), m_traffic(traffic), m_last_used(now()) {
    error_code ec;
    m_stream.socket().set_option(tcp::no_delay(true), ec);
}

awaitable<core::result<frame>> link::read(core::time_point deadline) {
    error_code ec;
    char length_field[length_bytes];
    m_stream.expires_at(deadline);
    co_await asio::async_read(m_stream, asio::buffer(length_field), into(ec));
    if (ec) {
        close();
        co_return core::fail(core::error_code::unavailable, ec.message());
    }
    const auto length = decode_length({length_field, length_bytes});
    if (!length) {
        ++m_traffic.protocol_errors;
        close();
        co_return tl::unexpected(length.error());
    }
    std::string bytes(*length, '\0');
    co_await asio::async_read(m_stream, asio::buffer(bytes), into(ec));
    if (ec) {
        close();
        co_return core::fail(core::error_code::unavailable, ec.message());
    }
    m_traffic.bytes_received += length_bytes + bytes.size();
    ++m_traffic.frames_received;
    m_last_used = now();
    auto decoded = decode(bytes);
    if (!decoded) {
        ++m_traffic.protocol_errors;
        close();
    }
    co_return decoded;
}

awaitable<core::result<void>> link::write(frame f, core::time_point deadline) {
    error_code ec;
    const std::string bytes = encode(f);
    m_stream.expires_at(deadline);
    co_await asio::async_write(m_stream, asio::buffer(bytes), into(ec));
    if (ec) {
        close();
        co_return core::fail(core::error_code::unavailable, ec.message());
    }
    m_traffic.bytes_sent += bytes.size();
    ++m_traffic.frames_sent;
    co_return core::result<void>{};
}

void link::close() {
    error_code ec;
    m_stream.socket().close(ec);
}

awaitable<core::result<link_ptr>> connect_link(core::endpoint to, const link_identity& identity,
                                               link_traffic& traffic, core::time_point deadline) {
    const auto executor = co_await asio::this_coro::executor;
    beast::tcp_stream stream(executor);
    stream.expires_at(deadline);
    error_code ec;
    co_await stream.async_connect(to_tcp(to), into(ec));
    if (ec) {
        co_return core::fail(core::error_code::unavailable, core::to_string(to) + ": " + ec.message());
    }
    auto l = std::make_shared<link>(stream.release_socket(), traffic);
    auto received_challenge = co_await l->read(deadline);
    if (!received_challenge) {
        co_return tl::unexpected(received_challenge.error());
    }
    auto challenge = unpack_message<challenge_message>(received_challenge->payload);
    if (received_challenge->type != frame_type::challenge || !challenge ||
        challenge->nonce.size() != nonce_bytes) {
        co_return core::fail(core::error_code::protocol, "expected a challenge from " + core::to_string(to));
    }
    const auto hello = make_hello(identity.keys, identity.self, *challenge, fresh_nonce());
    frame hello_frame = make_frame(frame_type::hello, hello);
    auto written = co_await l->write(std::move(hello_frame), deadline);
    if (!written) {
        co_return tl::unexpected(written.error());
    }
    auto received_welcome = co_await l->read(deadline);
    if (!received_welcome) {
        co_return tl::unexpected(received_welcome.error());
    }
    auto welcome = unpack_message<welcome_message>(received_welcome->payload);
    if (received_welcome->type != frame_type::welcome || !welcome) {
        co_return core::fail(core::error_code::protocol, "expected a welcome from " + core::to_string(to));
    }
    auto peer = check_welcome(identity.keys, challenge->nonce, hello, *welcome);
    if (!peer) {
        co_return tl::unexpected(peer.error());
    }
    l->set_peer(*peer);
    co_return l;
}

awaitable<core::result<link_ptr>> accept_link(tcp::socket socket, const link_identity& identity,
                                              link_traffic& traffic, core::time_point deadline) {
    auto l = std::make_shared<link>(std::move(socket), traffic);
    const challenge_message challenge{fresh_nonce()};
    frame challenge_frame = make_frame(frame_type::challenge, challenge);
    auto written = co_await l->write(std::move(challenge_frame), deadline);
    if (!written) {
        co_return tl::unexpected(written.error());
    }
    auto received_hello = co_await l->read(deadline);
    if (!received_hello) {
        co_return tl::unexpected(received_hello.error());
    }
    auto hello = unpack_message<hello_message>(received_hello->payload);
    if (received_hello->type != frame_type::hello || !hello) {
        ++traffic.protocol_errors;
        l->close();
        co_return core::fail(core::error_code::protocol,
                             "expected a hello as the first frame of a connection");
    }
    auto welcome = accept_hello(identity.keys, identity.self, challenge.nonce, *hello);
    if (!welcome) {
        l->close();
        co_return tl::unexpected(welcome.error());
    }
    l->set_peer(hello->from);
    frame welcome_frame = make_frame(frame_type::welcome, *welcome);
    auto answered = co_await l->write(std::move(welcome_frame), deadline);
    if (!answered) {
        co_return tl::unexpected(answered.error());
    }
    co_return l;
}

link_pool::link_pool(link_identity identity, std::size_t max_idle_per_peer)
    : m_identity(std::move(identity)), m_max_idle_per_peer(max_idle_per_peer) {}

awaitable<core::result<link_ptr>> link_pool::take(core::endpoint to, core::time_point deadline) {
    while (!m_idle[to].empty()) {
        auto l = m_idle[to].back();
        m_idle[to].pop_back();
        if (!is_open_and_idle(l->stream().socket())) {
            l->close();
            continue;
        }
        if (now() - l->last_used() < probe_after_idle) {
            co_return l;
        }
        const auto probe_deadline = std::min(deadline, now() + probe_timeout);
        frame ping(frame_type::ping, 0, "");
        auto sent = co_await l->write(std::move(ping), probe_deadline);
        if (sent) {
            auto pong = co_await l->read(probe_deadline);
            if (pong && pong->type == frame_type::pong) {
                co_return l;
            }
        }
        l->close();
        drop(to); // The other links have been idle even longer.
    }
    co_return co_await connect_link(to, m_identity, m_traffic, deadline);
}

void link_pool::give_back(const core::endpoint& to, link_ptr l) {
    auto& idle = m_idle[to];
    if (l->is_open() && idle.size() < m_max_idle_per_peer) {
        idle.push_back(std::move(l));
    } else {
        l->close();
    }
}

void link_pool::drop(const core::endpoint& to) {
    for (const auto& l : m_idle[to]) {
        l->close();
    }
    m_idle[to].clear();
}

awaitable<core::result<frame>> link_pool::call(core::endpoint to, frame f, core::time_point deadline) {
    core::error last_error{core::error_code::unavailable, "the deadline passed before the first attempt"};
    for (int attempt = 0; attempt < max_attempts && now() < deadline; ++attempt) {
        auto l = co_await take(to, deadline);
        if (!l) {
            co_return tl::unexpected(l.error());
        }
        auto written = co_await (*l)->write(f, deadline);
        if (written) {
            auto answer = co_await (*l)->read(deadline);
            if (answer) {
                give_back(to, *l);
                co_return answer;
            }
            last_error = answer.error();
        } else {
            last_error = written.error();
        }
        (*l)->close();
        drop(to);
    }
    co_return tl::unexpected(last_error);
}

awaitable<void> serve_link(link_ptr l,
                           std::function<awaitable<frame>(const core::instance_id&, frame)> handler) {
    for (;;) {
        auto f = co_await l->read(now() + idle_timeout);
        if (!f) {
            co_return;
        }
        frame reply{frame_type::pong, f->request, ""};
        if (f->type != frame_type::ping) {
            reply = co_await handler(l->peer(), std::move(*f));
        }
        constexpr core::milliseconds write_timeout{2000};
        auto written = co_await l->write(std::move(reply), now() + write_timeout);
        if (!written) {
            co_return;
        }
    }
}

} // namespace balsampost::net
