// Identity of the answers to orders.
#include "balsampost/entry/order_client.h"

#include "balsampost/entry/answer_notices.h"

namespace balsampost::entry {

using core::order_outcome;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_misdirected = 421;
constexpr std::size_t max_without_ids = 10'000; // Addresses of servers that are gone are not removed singly.

order_outcome outcome_of(unsigned status) {
    switch (status) {
    case status_ok:
        return order_outcome::done;
    case status_conflict:
        return order_outcome::fenced;
    case status_misdirected:
        // Another server has taken over the address; the intended one did not receive the order.
        return order_outcome::not_sent;
    default:
        return order_outcome::invalid;
    }
}

std::string_view view(net::beast::string_view text) {
    return {text.data(), text.size()};
}

} // namespace

order_client::order_client(http_client& client, const platform& adapter, std::string id_prefix)
    : m_client(client), m_platform(adapter), m_id_prefix(std::move(id_prefix)) {}

bool order_client::belongs_to(const exchange_result& result, const std::string& order_id) const {
    const auto echoed = view(result.reply.headers[m_platform.headers().request_id]);
    return echoed.empty() ? !result.reused : echoed == order_id;
}

order_result order_client::result_of(const exchange_result& result, const std::string& order_id) {
    order_result out;
    out.status = result.reply.status;
    out.reason = result.reason;
    out.refused = result.refused;
    switch (result.end) {
    case exchange_end::not_sent:
        out.outcome = order_outcome::not_sent;
        return out;
    case exchange_end::lost:
        return out;
    case exchange_end::answered:
        break;
    }
    if (!belongs_to(result, order_id)) {
        out.reason = "the answer belongs to another order";
        return out;
    }
    out.outcome = outcome_of(result.reply.status);
    out.notice = notices_in(result.reply, m_platform);
    // Without a readable handover the next owner starts without the data, as after a crash.
    out.handover =
        m_platform.decode_handover(view(result.reply.headers[m_platform.headers().handover])).value_or("");
    return out;
}

void order_client::send(const std::string& id, const core::endpoint& at, const encoded_call& call,
                        core::time_point deadline, handler done) {
    const auto& names = m_platform.headers();
    const auto order_id = m_id_prefix + "-" + std::to_string(m_next_id++);
    exchange_request request;
    request.head = call.method + " " + call.target + " HTTP/1.1\r\nHost: " + core::to_string(at) + "\r\n" +
                   names.request_id + ": " + order_id + "\r\n" + names.expected_server + ": " + id +
                   "\r\nContent-Type: " + call.content_type +
                   "\r\nContent-Length: " + std::to_string(call.body.size()) + "\r\n\r\n";
    request.body = std::make_shared<const std::string>(call.body);
    request.deadline = deadline;
    request.new_connection = m_without_ids.contains(at);
    m_client.start(
        at, std::move(request), [this, at, order_id, done = std::move(done)](exchange_result& result) {
            const bool answered = result.end == exchange_end::answered;
            const bool has_id = answered && result.reply.headers.count(m_platform.headers().request_id) > 0;
            const bool reusable = answered && belongs_to(result, order_id);
            if (answered && !has_id) {
                if (m_without_ids.size() < max_without_ids) {
                    m_without_ids.insert(at);
                }
                // The latest connection is kept only to notice the end of the server.
                m_client.close_idle(at);
            } else if (has_id) {
                m_without_ids.erase(at);
            }
            done(result_of(result, order_id));
            return reusable;
        });
}

} // namespace balsampost::entry
