// The server side of the request and grant protocol of docs/SERVERS.md.
#include "session.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <memory>

namespace balsampost::stand_in {

namespace http = net::beast::http;
using net::awaitable;
using net::error_code;
using net::into;

namespace {

constexpr unsigned http_1_1 = 11;
constexpr std::size_t chunk_bytes = 64U << 10U;
constexpr std::uint64_t most_body_bytes = 4ULL << 30U;
constexpr std::uint64_t most_answer_bytes = 256U << 20U;
constexpr std::chrono::minutes idle_limit{5};
/// How often a running request looks whether its caller has left.
constexpr core::milliseconds cancel_poll{5};

using header_parser = http::request_parser<http::buffer_body>;

struct received_body {
    std::uint64_t bytes = 0;
    std::uint64_t digest = 0;
    std::string text; ///< Filled for lease orders only.
};

struct connection {
    net::beast::tcp_stream stream;
    net::beast::flat_buffer buffer;
    server_state& state;
};

std::string header(const header_parser& parser, const char* name) {
    return std::string(parser.get()[name]);
}

std::optional<core::epoch> epoch_from(const std::string& text) {
    const auto dot = text.find('.');
    if (dot == std::string::npos) {
        return std::nullopt;
    }
    return core::epoch{std::strtoull(text.c_str(), nullptr, 10),
                       std::strtoull(text.c_str() + dot + 1, nullptr, 10)};
}

/// Reads the rest of the body. False if it broke off.
awaitable<bool> read_body(connection& c, header_parser& parser, received_body& out, bool keep_text) {
    auto storage = std::make_unique<char[]>(chunk_bytes);
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> hash(XXH3_createState(), XXH3_freeState);
    XXH3_64bits_reset(hash.get());
    while (!parser.is_done()) {
        error_code ec;
        parser.get().body().data = storage.get();
        parser.get().body().size = chunk_bytes;
        c.stream.expires_after(idle_limit);
        co_await http::async_read(c.stream, c.buffer, parser, into(ec));
        if (ec && ec != http::error::need_buffer) {
            co_return false;
        }
        const auto got = chunk_bytes - parser.get().body().size;
        out.bytes += got;
        XXH3_64bits_update(hash.get(), storage.get(), got);
        if (keep_text) {
            out.text.append(storage.get(), got);
        }
    }
    out.digest = XXH3_64bits_digest(hash.get());
    co_return true;
}

awaitable<bool> send(connection& c, unsigned status, std::string body,
                     std::vector<std::pair<std::string, std::string>> headers, bool keep) {
    http::response<http::string_body> response(static_cast<http::status>(status), http_1_1);
    for (const auto& [name, value] : headers) {
        response.set(name, value);
    }
    response.body() = std::move(body);
    response.keep_alive(keep);
    response.prepare_payload();
    error_code ec;
    c.stream.expires_after(idle_limit);
    co_await http::async_write(c.stream, response, into(ec));
    co_return !ec && keep;
}

awaitable<bool> refuse(connection& c, unsigned status, std::string why, bool body_read) {
    std::vector<std::pair<std::string, std::string>> headers;
    headers.emplace_back("Balsampost-Outcome", "not_run");
    co_return co_await send(c, status, std::move(why), std::move(headers), body_read);
}

awaitable<bool> lease(connection& c, const std::string& text) {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded() || !json.contains("giver") || !json.contains("term")) {
        std::vector<std::pair<std::string, std::string>> none;
        co_return co_await send(c, 400, "not a lease order\n", std::move(none), true);
    }
    lease_order_in order;
    order.giver = json["giver"].get<std::string>();
    order.number = json.value("number", std::uint64_t{0});
    order.term = epoch_from(json["term"].get<std::string>()).value_or(core::epoch{});
    order.until_ns = json.value("until_ns", std::int64_t{0});
    order.list_version = json.value("list_version", std::uint64_t{0});
    order.with_list = json.contains("slices");
    if (order.with_list) {
        for (const auto& item : json["slices"]) {
            order.slices[item[0].get<std::uint32_t>()] = {item[1].get<std::uint64_t>(),
                                                          item[2].get<std::uint64_t>()};
        }
    }
    const auto now = net::now();
    nlohmann::json answer;
    answer["accepted"] = c.state.owned.apply(order, now);
    answer["time_ns"] = now.time_since_epoch().count();
    answer["list_version"] = c.state.owned.list_version_of(order.giver);
    answer["running"] = c.state.running;
    std::vector<std::pair<std::string, std::string>> headers;
    headers.emplace_back("Content-Type", "application/json");
    co_return co_await send(c, 200, answer.dump(), std::move(headers), true);
}

/// Works for `length`, looking now and then whether the caller has left. False if it has.
awaitable<bool> work(connection& c, core::duration length) {
    const auto until = net::now() + length;
    while (net::now() < until) {
        co_await net::wait_for(std::min<core::duration>(cancel_poll, until - net::now()));
        error_code ec;
        char byte = 0;
        c.stream.socket().non_blocking(true, ec);
        const auto got =
            c.stream.socket().receive(net::asio::buffer(&byte, 1), net::tcp::socket::message_peek, ec);
        if (ec != net::asio::error::would_block && (ec || got == 0)) {
            co_return false;
        }
    }
    co_return true;
}

struct run_request {
    std::string tag;
    std::string id;
    bool keyed = false;
    std::uint32_t slice = 0;
    core::epoch since;
    bool idempotent = false;
    core::time_point deadline;
};

bool may_run(const connection& c, const run_request& r) {
    const auto now = net::now();
    return r.keyed ? c.state.owned.owns(r.slice, r.since, now) : c.state.owned.leased(now);
}

/// The body that a caller expects: its tag, repeated to the length it asked for.
std::string answer_body(const run_request& r, const std::string& target, const received_body& body) {
    const auto at = target.find("size=");
    const std::uint64_t wanted =
        at == std::string::npos ? 0 : std::strtoull(target.c_str() + at + 5, nullptr, 10);
    if (wanted == 0) {
        return "tag=" + r.tag + " received=" + std::to_string(body.bytes) +
               " digest=" + std::to_string(body.digest) + "\n";
    }
    std::string text;
    text.reserve(std::min(wanted, most_answer_bytes));
    const std::string unit = r.tag + "\n";
    while (text.size() < std::min(wanted, most_answer_bytes)) {
        text.append(unit, 0, std::min<std::uint64_t>(unit.size(), wanted - text.size()));
    }
    return text;
}

awaitable<bool> run(connection& c, header_parser& parser, const run_request& r) {
    auto& state = c.state;
    const std::string target(parser.get().target());
    const bool whole = parser.is_done();
    if (!may_run(c, r)) {
        co_return co_await refuse(c, 409, "not the owner\n", whole);
    }
    const bool shed = state.random() % 100 < state.settings.shed_percent;
    if (shed || state.running >= state.settings.slots) {
        co_return co_await refuse(c, 503, "no slot\n", whole);
    }
    ++state.running;
    received_body body;
    const bool complete = co_await read_body(c, parser, body, false);
    const bool cold = net::now() - state.started < state.settings.cold_for;
    const bool present = complete && co_await work(c, state.settings.service_time * (cold ? 4 : 1));
    --state.running;
    if (!present) {
        co_return false; // The caller cancelled before anything was done.
    }
    // The decisive look: a process that was frozen meanwhile finds its lease lapsed here.
    if (!may_run(c, r) || net::now() > r.deadline) {
        co_return co_await refuse(c, 409, "no longer the owner, or too late\n", true);
    }
    state.owned.executed(r.tag, r.id, r.slice, r.keyed, r.idempotent, net::now());
    std::vector<std::pair<std::string, std::string>> headers;
    headers.emplace_back("X-Request-Tag", r.tag);
    co_return co_await send(c, 200, answer_body(r, target, body), std::move(headers), true);
}

run_request request_from(const header_parser& parser) {
    run_request r;
    r.tag = header(parser, "X-Request-Tag");
    r.id = header(parser, "Balsampost-Request-Id");
    r.tag = r.tag.empty() ? "none" : r.tag;
    r.id = r.id.empty() ? "none" : r.id;
    const auto slice = header(parser, "Balsampost-Slice");
    r.keyed = !slice.empty();
    r.slice = static_cast<std::uint32_t>(std::strtoul(slice.c_str(), nullptr, 10));
    r.since = epoch_from(header(parser, "Balsampost-Epoch")).value_or(core::epoch{});
    r.idempotent = header(parser, "Balsampost-Idempotent") == "yes";
    const auto left = header(parser, "Balsampost-Deadline-Ms");
    r.deadline = net::now() + core::milliseconds(left.empty() ? 60'000 : std::atoll(left.c_str()));
    return r;
}

/// One request. False ends the connection.
awaitable<bool> serve_one(connection& c) {
    header_parser parser;
    parser.body_limit(most_body_bytes);
    error_code ec;
    c.stream.expires_after(idle_limit);
    co_await http::async_read_header(c.stream, c.buffer, parser, into(ec));
    if (ec) {
        co_return false;
    }
    const std::string target(parser.get().target());
    if (target.rfind("/balsampost/", 0) != 0 && target != "/healthz") {
        co_return co_await run(c, parser, request_from(parser));
    }
    received_body body;
    if (!co_await read_body(c, parser, body, true)) {
        co_return false;
    }
    if (target == "/balsampost/lease") {
        co_return co_await lease(c, body.text);
    }
    std::vector<std::pair<std::string, std::string>> headers;
    co_return co_await send(c, 200, "running=" + std::to_string(c.state.running) + "\n", std::move(headers),
                            true);
}

} // namespace

awaitable<void> serve_connection(net::tcp::socket socket, server_state& state) {
    connection c{net::beast::tcp_stream(std::move(socket)), {}, state};
    error_code ec;
    c.stream.socket().set_option(net::tcp::no_delay(true), ec);
    ++state.open;
    co_await net::wait_for(state.settings.connect_cost);
    while (state.open <= state.settings.connections) {
        if (!co_await serve_one(c)) {
            break;
        }
    }
    --state.open;
    c.stream.socket().shutdown(net::tcp::socket::shutdown_send, ec);
}

} // namespace balsampost::stand_in
