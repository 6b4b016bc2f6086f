// Callers over HTTP.
#include "runner.h"

#include "balsampost/net/asio.h"

#include <boost/beast/http.hpp>

#include <map>
#include <memory>

namespace balsampost::load {

namespace http = net::beast::http;
using net::awaitable;
using net::error_code;
using net::into;
using net::now;

namespace {

constexpr unsigned http_1_1 = 11;
/// A caller waits this much longer than its deadline for the refusal.
constexpr core::milliseconds patience{3000};

struct caller_connection {
    explicit caller_connection(net::beast::tcp_stream s) : stream(std::move(s)) {}
    net::beast::tcp_stream stream;
    net::beast::flat_buffer buffer;
    std::uint32_t used = 0;
};

using connection_ptr = std::unique_ptr<caller_connection>;

class runner {
public:
    explicit runner(const run_settings& settings)
        : m_settings(settings), m_random(settings.seed), m_keys(settings.keys, settings.zipf) {}

    std::vector<caller_record> run() {
        net::spawn(m_context, arrivals());
        m_context.run();
        return std::move(m_records);
    }

private:
    awaitable<void> arrivals();
    awaitable<connection_ptr> connect(core::endpoint entry);
    awaitable<void> one_request(std::size_t index, core::endpoint entry);
    awaitable<bool> exchange(caller_connection& c, caller_record record, std::size_t index);
    void judge_answer(caller_record& record, const http::response<http::string_body>& answer);

    const run_settings& m_settings;
    net::asio::io_context m_context{1};
    std::mt19937_64 m_random;
    key_source m_keys;
    std::vector<caller_record> m_records;
    std::map<core::endpoint, std::vector<connection_ptr>> m_idle;
};

awaitable<void> runner::arrivals() {
    std::exponential_distribution<double> gap(m_settings.rate);
    net::asio::steady_timer timer(m_context);
    const auto began = now();
    auto next = began;
    while (next - began < m_settings.length) {
        next += std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(gap(m_random)));
        timer.expires_at(next);
        co_await timer.async_wait(net::asio::use_awaitable);
        caller_record record;
        record.kind = &draw_kind(*m_settings.work, m_random);
        record.key = m_keys.next(m_random);
        if (m_settings.keyed_only && !record.kind->keyed) {
            continue;
        }
        record.tag = "t" + std::to_string(m_settings.seed) + "-" + std::to_string(m_records.size());
        m_records.push_back(record);
        const auto& entry = m_settings.entries[m_random() % m_settings.entries.size()];
        net::spawn(m_context, one_request(m_records.size() - 1, entry));
    }
}

awaitable<connection_ptr> runner::connect(core::endpoint entry) {
    auto& idle = m_idle[entry];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (net::is_open_and_idle(connection->stream.socket())) {
            co_return connection;
        }
    }
    net::beast::tcp_stream stream(m_context);
    error_code ec;
    stream.expires_after(m_settings.deadline);
    co_await stream.async_connect(net::to_tcp(entry), into(ec));
    if (ec) {
        co_return nullptr;
    }
    stream.socket().set_option(net::tcp::no_delay(true), ec);
    co_return std::make_unique<caller_connection>(std::move(stream));
}

awaitable<void> runner::one_request(std::size_t index, core::endpoint entry) {
    m_records[index].began = now();
    // Like the platform's balancer: an entry that does not accept is passed over, since nothing was sent to
    // it.
    auto connection = co_await connect(entry);
    for (std::size_t i = 0; i < m_settings.entries.size() && !connection; ++i) {
        entry = m_settings.entries[i];
        connection = co_await connect(entry);
    }
    if (connection && co_await exchange(*connection, m_records[index], index)) {
        ++connection->used;
        m_idle[entry].push_back(std::move(connection));
    }
    m_records[index].ended = now();
}

awaitable<bool> runner::exchange(caller_connection& c, caller_record record, std::size_t index) {
    const auto& kind = *record.kind;
    std::string path = kind.path;
    const auto at = path.find("{key}");
    if (at != std::string::npos) {
        path.replace(at, 5, record.key);
    }
    if (kind.answer_bytes > 0) {
        path += "?size=" + std::to_string(kind.answer_bytes);
    }
    http::request<http::string_body> request;
    request.version(http_1_1);
    request.method_string(kind.method);
    request.target(path);
    request.set(http::field::host, "gateway");
    request.set("X-Request-Tag", record.tag);
    request.set("Balsampost-Deadline-Ms", std::to_string(m_settings.deadline.count()));
    request.body().assign(kind.body_bytes, 'b');
    request.prepare_payload();
    error_code ec;
    c.stream.expires_after(m_settings.deadline + patience);
    co_await http::async_write(c.stream, request, into(ec));
    if (ec) {
        co_return false;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    co_await http::async_read(c.stream, c.buffer, parser, into(ec));
    if (ec) {
        co_return false;
    }
    judge_answer(m_records[index], parser.get());
    co_return parser.get().keep_alive();
}

void runner::judge_answer(caller_record& record, const http::response<http::string_body>& answer) {
    record.status = answer.result_int();
    record.told = core::outcome_from_string(std::string(answer["Balsampost-Outcome"]));
    record.reason = std::string(answer["Balsampost-Reason"]);
    if (record.status != 200) {
        return;
    }
    record.crossed = answer["X-Request-Tag"] != record.tag;
    const auto& body = answer.body();
    if (record.kind->answer_bytes == 0) {
        const std::string receipt =
            "tag=" + record.tag + " received=" + std::to_string(record.kind->body_bytes) + " ";
        record.truncated = body.rfind(receipt, 0) != 0 || body.back() != '\n';
        return;
    }
    const std::string unit = record.tag + "\n";
    record.truncated = body.size() != record.kind->answer_bytes;
    for (std::size_t i = 0; i < body.size() && !record.truncated; ++i) {
        record.crossed = record.crossed || body[i] != unit[i % unit.size()];
    }
}

} // namespace

std::vector<caller_record> run_workload(const run_settings& settings) {
    return runner(settings).run();
}

} // namespace balsampost::load
