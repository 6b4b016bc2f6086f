// HTTP client and server for whole messages, based on Boost.Beast.
#include "balsampost/net/http.h"

#include "balsampost/net/response_head.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/beast/http.hpp>

#include <charconv>

namespace balsampost::net {

namespace http = beast::http;

namespace {

constexpr unsigned http_1_1 = 11;
constexpr core::milliseconds accept_retry_delay{10};

template <class Fields>
std::map<std::string, std::string> headers_of(const Fields& fields) {
    std::map<std::string, std::string> headers;
    for (const auto& field : fields) {
        headers[boost::algorithm::to_lower_copy(std::string(field.name_string()))] =
            std::string(field.value());
    }
    return headers;
}

http_answer bad_request(const error_code& ec) {
    http_answer answer;
    answer.status = ec == http::error::header_limit ? 431U : ec == http::error::body_limit ? 413U : 400U;
    answer.body = ec.message() + "\n";
    return answer;
}

awaitable<void> serve_connection(tcp::socket socket, http_handler handler, http_server_limits limits,
                                 std::shared_ptr<std::size_t> open_connections) {
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer{max_unparsed_bytes};
    error_code ec;
    stream.socket().set_option(tcp::no_delay(true), ec);
    bool keep_alive = true;
    while (keep_alive) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(limits.header_bytes);
        parser.body_limit(limits.body_bytes);
        stream.expires_after(limits.read_time);
        co_await http::async_read(stream, buffer, parser, into(ec));
        http_answer answer;
        if (ec) {
            if (ec == http::error::end_of_stream || ec == beast::error::timeout ||
                !stream.socket().is_open()) {
                break;
            }
            answer = bad_request(ec);
            keep_alive = false;
        } else {
            const auto& message = parser.get();
            http_request request{std::string(message.method_string()), std::string(message.target()),
                                 message.body(), headers_of(message)};
            stream.expires_never();
            keep_alive = message.keep_alive();
            answer = co_await handler(request);
        }
        if (answer.status == 0) {
            break;
        }
        http::response<http::string_body> response(static_cast<http::status>(answer.status), http_1_1);
        response.set(http::field::content_type, answer.content_type);
        for (const auto& [name, value] : answer.headers) {
            response.set(name, value);
        }
        response.body() = std::move(answer.body);
        response.keep_alive(keep_alive);
        response.prepare_payload();
        stream.expires_after(limits.read_time);
        co_await http::async_write(stream, response, into(ec));
        keep_alive = keep_alive && !ec;
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    --*open_connections;
}

} // namespace

std::string http_request::path() const {
    return target.substr(0, target.find('?'));
}

std::string http_request::query(const std::string& name) const {
    const auto question_mark = target.find('?');
    std::size_t begin = question_mark == std::string::npos ? target.size() : question_mark + 1;
    while (begin < target.size()) {
        const auto end = std::min(target.find('&', begin), target.size());
        const std::string_view pair(target.data() + begin, end - begin);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? "" : percent_decode(pair.substr(equals + 1));
        }
        begin = end + 1;
    }
    return "";
}

std::string percent_decode(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const bool escape =
            text[i] == '%' && i + 2 < text.size() + 0U &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr == text.data() + i + 3;
        if (escape) {
            out += static_cast<char>(value);
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::string percent_encode(std::string_view text) {
    constexpr const char* hex_digits = "0123456789ABCDEF";
    std::string out;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            out += static_cast<char>(c);
        } else {
            out += '%';
            out += hex_digits[c >> 4U];
            out += hex_digits[c & 15U];
        }
    }
    return out;
}

struct http_client::connection {
    explicit connection(beast::tcp_stream s) : stream(std::move(s)) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_unparsed_bytes};
};

http_client::http_client(core::endpoint to, std::uint64_t max_body_bytes)
    : m_to(std::move(to)), m_max_body_bytes(max_body_bytes) {}
http_client::~http_client() = default;
http_client::http_client(http_client&&) noexcept = default;
http_client& http_client::operator=(http_client&&) noexcept = default;

void http_client::close() {
    m_connection.reset();
}

awaitable<core::result<http_answer>> http_client::request(http_request r, core::time_point deadline,
                                                          std::function<bool()> before_write) {
    error_code ec;
    // The connection is kept for the next request only if this one is not sent or is answered completely:
    // after any other outcome, a late answer could be taken for the answer to the next request.
    auto current = std::move(m_connection);
    if (!current) {
        beast::tcp_stream stream(co_await asio::this_coro::executor);
        stream.expires_at(deadline);
        co_await stream.async_connect(to_tcp(m_to), into(ec));
        if (ec) {
            co_return core::fail(core::error_code::unavailable, core::to_string(m_to) + ": " + ec.message());
        }
        current = std::make_unique<connection>(std::move(stream));
        current->stream.socket().set_option(tcp::no_delay(true), ec);
    }
    http::request<http::string_body> message;
    message.version(http_1_1);
    message.method_string(r.method);
    message.target(r.target);
    message.set(http::field::host, core::to_string(m_to));
    for (const auto& [name, value] : r.headers) {
        message.set(name, value);
    }
    message.body() = std::move(r.body);
    message.prepare_payload();
    if (before_write && !before_write()) {
        m_connection = std::move(current);
        co_return core::fail(core::error_code::refused,
                             "the request was not sent: the sender is no longer authorized to send it");
    }
    current->stream.expires_at(deadline);
    co_await http::async_write(current->stream, message, into(ec));
    if (ec) {
        co_return core::fail(core::error_code::unknown_outcome, core::to_string(m_to) + ": " + ec.message());
    }
    std::optional<http::response_parser<http::string_body>> parser;
    const auto prepare = [limit = m_max_body_bytes](auto& p) { p.body_limit(limit); };
    const auto fault = co_await read_response_head(current->stream, current->buffer, parser, prepare);
    if (fault) {
        co_return core::fail(core::error_code::unknown_outcome, core::to_string(m_to) + ": " + *fault);
    }
    if (!parser->is_done()) {
        co_await http::async_read(current->stream, current->buffer, *parser, into(ec));
    }
    if (ec) {
        co_return core::fail(core::error_code::unknown_outcome, core::to_string(m_to) + ": " + ec.message());
    }
    const auto& response = parser->get();
    http_answer answer{response.result_int(), response.body(),
                       std::string(response[http::field::content_type]), headers_of(response)};
    if (response.keep_alive() && current->buffer.size() == 0) { // Further bytes belong to no request.
        m_connection = std::move(current);
    }
    co_return answer;
}

awaitable<void> serve_http(tcp::acceptor& acceptor, http_handler handler, http_server_limits limits) {
    const auto executor = co_await asio::this_coro::executor;
    auto open_connections = std::make_shared<std::size_t>(0);
    for (;;) {
        error_code ec;
        tcp::socket socket(executor);
        co_await acceptor.async_accept(socket, into(ec));
        if (!acceptor.is_open()) {
            co_return;
        }
        if (ec) {
            // The usual cause is that file descriptors are exhausted. The pause avoids a busy loop.
            co_await wait_for(accept_retry_delay);
            continue;
        }
        if (*open_connections >= limits.connections) {
            continue; // Closes the new socket. The limit bounds memory use.
        }
        ++*open_connections;
        spawn(executor, serve_connection(std::move(socket), handler, limits, open_connections));
    }
}

core::result<http_answer> request_once(const core::endpoint& to, http_request r, core::milliseconds timeout) {
    asio::io_context context(1);
    core::result<http_answer> outcome = core::fail(core::error_code::unavailable, "the request was not sent");
    http_client client(to);
    const auto send_request = [&]() -> awaitable<void> {
        outcome = co_await client.request(std::move(r), now() + timeout);
    };
    spawn(context, send_request());
    context.run();
    return outcome;
}

} // namespace balsampost::net
