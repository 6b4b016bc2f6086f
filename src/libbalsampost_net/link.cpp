// Links and their pool.
#include "balsampost/net/link.h"

namespace balsampost::net {

namespace {

/// An idle link unused for longer than this is probed before a request is trusted to it.
constexpr core::milliseconds probe_after{500};
constexpr core::milliseconds probe_time{100};
/// A link that serves calls is closed after this long without one.
constexpr std::chrono::minutes idle_limit{2};
constexpr std::size_t length_bytes = 4;

template <class Message>
frame message_frame(frame_type type, const Message& message) {
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
    auto first = co_await l->read(deadline);
    if (!first) {
        co_return tl::unexpected(first.error());
    }
    auto challenge = unpack_message<challenge_message>(first->payload);
    if (first->type != frame_type::challenge || !challenge || challenge->nonce.size() != nonce_bytes) {
        co_return core::fail(core::error_code::protocol, "no challenge from " + core::to_string(to));
    }
    const auto hello = make_hello(identity.keys, identity.self, *challenge, fresh_nonce());
    frame said = message_frame(frame_type::hello, hello);
    auto written = co_await l->write(std::move(said), deadline);
    if (!written) {
        co_return tl::unexpected(written.error());
    }
    auto second = co_await l->read(deadline);
    if (!second) {
        co_return tl::unexpected(second.error());
    }
    auto welcome = unpack_message<welcome_message>(second->payload);
    if (second->type != frame_type::welcome || !welcome) {
        co_return core::fail(core::error_code::protocol, "no welcome from " + core::to_string(to));
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
    frame asked = message_frame(frame_type::challenge, challenge);
    auto written = co_await l->write(std::move(asked), deadline);
    if (!written) {
        co_return tl::unexpected(written.error());
    }
    auto first = co_await l->read(deadline);
    if (!first) {
        co_return tl::unexpected(first.error());
    }
    auto hello = unpack_message<hello_message>(first->payload);
    if (first->type != frame_type::hello || !hello) {
        ++traffic.protocol_errors;
        l->close();
        co_return core::fail(core::error_code::protocol, "the first frame is no hello");
    }
    auto welcome = accept_hello(identity.keys, identity.self, challenge.nonce, *hello);
    if (!welcome) {
        l->close();
        co_return tl::unexpected(welcome.error());
    }
    l->set_peer(hello->from);
    frame proof = message_frame(frame_type::welcome, *welcome);
    auto answered = co_await l->write(std::move(proof), deadline);
    if (!answered) {
        co_return tl::unexpected(answered.error());
    }
    co_return l;
}

link_pool::link_pool(link_identity identity, std::size_t most_idle_per_peer)
    : m_identity(std::move(identity)), m_most_idle(most_idle_per_peer) {}

awaitable<core::result<link_ptr>> link_pool::take(core::endpoint to, core::time_point deadline) {
    while (!m_idle[to].empty()) {
        auto l = m_idle[to].back();
        m_idle[to].pop_back();
        if (!is_quiet(l->stream().socket())) {
            l->close();
            continue;
        }
        if (now() - l->last_used() < probe_after) {
            co_return l;
        }
        const auto until = std::min(deadline, now() + probe_time);
        frame ping(frame_type::ping, 0, "");
        auto sent = co_await l->write(std::move(ping), until);
        if (sent) {
            auto pong = co_await l->read(until);
            if (pong && pong->type == frame_type::pong) {
                co_return l;
            }
        }
        l->close();
        drop(to); // The others have been idle for even longer.
    }
    co_return co_await connect_link(to, m_identity, m_traffic, deadline);
}

void link_pool::give_back(const core::endpoint& to, link_ptr l) {
    auto& idle = m_idle[to];
    if (l->is_open() && idle.size() < m_most_idle) {
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
    core::error last{core::error_code::unavailable, "no attempt"};
    for (int attempt = 0; attempt < 2 && now() < deadline; ++attempt) {
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
            last = answer.error();
        } else {
            last = written.error();
        }
        (*l)->close();
        drop(to);
    }
    co_return tl::unexpected(last);
}

awaitable<void> serve_link(link_ptr l,
                           std::function<awaitable<frame>(const core::instance_id&, frame)> answer) {
    for (;;) {
        auto f = co_await l->read(now() + idle_limit);
        if (!f) {
            co_return;
        }
        frame reply{frame_type::pong, f->request, ""};
        if (f->type != frame_type::ping) {
            reply = co_await answer(l->peer(), std::move(*f));
        }
        constexpr core::milliseconds write_time{2000};
        auto written = co_await l->write(std::move(reply), now() + write_time);
        if (!written) {
            co_return;
        }
    }
}

} // namespace balsampost::net
