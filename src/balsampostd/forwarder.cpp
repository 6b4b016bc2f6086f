// Target selection, attempts and retries of one request.
#include "forwarder.h"

#include <algorithm>

namespace balsampost::daemon {

using net::awaitable;
using net::now;

namespace {

constexpr core::milliseconds connect_timeout{250};
/// While a request has no target, the routing view is checked again at least this often.
constexpr core::milliseconds view_poll_interval{20};
/// The entry waits this much longer than the deadline for a reply, since the home computes the deadline on
/// its own clock, from the time left when the request was sent.
constexpr core::milliseconds reply_grace_time{50};

net::frame make_head_frame(const net::request_head& head) {
    return {net::frame_type::request_head, 0, net::pack_message(head)};
}

/// Whether a refusal means that the route has changed or is about to change, and not that a server is
/// overloaded or faulty. This includes an unreachable server of a keyed service: it is the only server of the
/// key and will soon lose its ownership.
bool is_routing_refusal(core::refusal_reason reason, bool keyed) {
    return reason == core::refusal_reason::not_home || reason == core::refusal_reason::no_owner ||
           reason == core::refusal_reason::shutting_down ||
           (keyed && reason == core::refusal_reason::server_unreachable);
}

} // namespace

forwarder::forwarder(traffic_thread& traffic, entry_request& request, net::tcp::socket& caller,
                     std::function<awaitable<bool>(net::link&, const std::string&)> send_remaining_body)
    : m_traffic(traffic), m_request(request), m_caller(caller),
      m_send_remaining_body(std::move(send_remaining_body)) {}

std::optional<forwarder::target> forwarder::home_of(const core::cell_table&,
                                                    const core::server_row& row) const {
    const auto& view = m_traffic.view();
    const auto instance = view.instances.find(row.home);
    if (instance == view.instances.end()) {
        return std::nullopt;
    }
    return target{row.home, instance->second.data(), instance->second.region, row.name, 0, {}};
}

std::optional<forwarder::target> forwarder::keyed_target() const {
    const auto& config = *m_request.service;
    const auto& view = m_traffic.view();
    const auto cells = view.cells.find(m_request.head.service);
    const auto slice = core::slice_of(m_request.key, config.slices);
    const auto index = core::cell_of_slice(slice, config.slices, config.cells);
    if (cells == view.cells.end() || index >= cells->second.size() || !cells->second[index] ||
        !cells->second[index]->holds_slice(slice)) {
        return std::nullopt;
    }
    const auto& table = *cells->second[index];
    const auto& owned = table.slice_at(slice);
    const auto* row = table.find(owned.owner);
    auto found = row == nullptr ? std::nullopt : home_of(table, *row);
    if (found) {
        found->slice = slice;
        found->owned_since = owned.owned_since;
    }
    return found;
}

std::optional<forwarder::target> forwarder::unkeyed_target() {
    const auto& view = m_traffic.view();
    const auto cells = view.cells.find(m_request.head.service);
    if (cells == view.cells.end()) {
        return std::nullopt;
    }
    const auto& own = m_traffic.config().instance;
    std::vector<choice_candidate> candidates;
    std::vector<target> targets;
    for (const auto& table : cells->second) {
        if (!table) {
            continue;
        }
        for (const auto& row : table->servers) {
            const auto* record = view.members->find_server(row.name);
            auto to = home_of(*table, row);
            if (!to || record == nullptr || record->state != core::member_state::live) {
                continue;
            }
            const auto server_distance = record->region != own.region ? distance::other_region
                                         : record->failure_domain != own.failure_domain
                                             ? distance::same_region
                                             : distance::same_domain;
            candidates.push_back({row.name, server_distance});
            targets.push_back(std::move(*to));
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return targets[m_traffic.choice().choose(candidates, m_tried, m_request.service->slots, now(),
                                             m_traffic.random())];
}

std::optional<forwarder::target> forwarder::find_target() {
    return m_request.service->divided_by_key ? keyed_target() : unkeyed_target();
}

/// Waits until the budget of the region pair allows the request. Returns false if that is not before the
/// deadline.
awaitable<bool> forwarder::wait_for_region_budget(const target& to) {
    if (to.region == m_traffic.config().instance.region) {
        co_return true;
    }
    for (;;) {
        const auto out =
            m_traffic.region_budget().delay(to.region, m_request.traffic_class, core::direction::out, now());
        const auto in =
            m_traffic.region_budget().delay(to.region, m_request.traffic_class, core::direction::in, now());
        const auto wait = std::max(out, in);
        if (wait == core::duration::zero()) {
            const auto bytes = m_request.head.body.size() + m_request.head.target.size();
            m_traffic.region_budget().charge(to.region, m_request.traffic_class, core::direction::out, bytes,
                                             now());
            co_return true;
        }
        if (now() + wait >= m_request.deadline) {
            co_return false;
        }
        co_await net::wait_for(wait);
    }
}

awaitable<forwarder::attempt_result> forwarder::attempt(target to) {
    attempt_result result;
    if (!co_await wait_for_region_budget(to)) {
        result.outcome.refused = core::refusal_reason::budget;
        result.outcome.detail = "the byte budget for region " + to.region + " is exhausted";
        co_return result;
    }
    result.outcome.refused = core::refusal_reason::server_unreachable;
    auto link = co_await m_traffic.links().take(to.data_endpoint,
                                                std::min(m_request.deadline, now() + connect_timeout));
    if (!link) {
        result.outcome.refused = core::refusal_reason::not_home;
        result.outcome.detail = "home " + to.home.name + " cannot be reached";
        co_return result;
    }
    auto& head = m_request.head;
    head.server = to.server;
    head.slice = to.slice;
    head.since = to.owned_since;
    head.deadline_ns = (m_request.deadline - now()).count();
    net::frame frame = make_head_frame(head);
    const auto written = co_await (*link)->write(std::move(frame), m_request.deadline);
    result.sent = true;
    if (!written) {
        result.outcome.refused = core::refusal_reason::connection_lost;
        result.outcome.detail = "the link to home " + to.home.name + " was lost";
        co_return result;
    }
    m_traffic.choice().request_started(to.server);
    result = co_await read_reply(to, *link);
    m_traffic.choice().request_finished(to.server);
    co_return result;
}

awaitable<forwarder::attempt_result> forwarder::read_reply(target to, net::link_ptr link) {
    attempt_result result;
    result.sent = true;
    result.outcome.refused = core::refusal_reason::connection_lost;
    for (;;) {
        core::time_point reply_deadline = m_request.deadline + reply_grace_time;
        if (m_remaining_body_requested) {
            reply_deadline = std::max(reply_deadline, now() + m_traffic.config().limits.stall_time);
        }
        core::result<net::frame> frame;
        {
            const net::close_watch watch(m_caller, [&] {
                m_caller_disconnected = true;
                link->close();
            });
            frame = co_await link->read(reply_deadline);
        }
        if (!frame) {
            result.outcome.detail = "no reply from home " + to.home.name;
            co_return result;
        }
        if (frame->type == net::frame_type::go_ahead && !m_remaining_body_requested &&
            !m_request.head.whole_body) {
            m_remaining_body_requested = true;
            if (!co_await m_send_remaining_body(*link, to.region)) {
                link->close();
                result.outcome.detail = "the request body ended early";
                co_return result;
            }
            continue;
        }
        if (frame->type == net::frame_type::refusal) {
            const auto refusal = net::unpack_message<net::refusal_message>(frame->payload);
            if (refusal) {
                result.outcome.refused = refusal->reason;
                result.outcome.detail = refusal->detail;
                result.sent = core::rule_of(refusal->reason).implied_outcome != core::outcome::not_run;
                m_traffic.links().give_back(to.data_endpoint, link);
            }
            co_return result;
        }
        if (frame->type != net::frame_type::answer_head) {
            link->close();
            result.outcome.detail = "home " + to.home.name + " sent an unexpected frame";
            co_return result;
        }
        auto answer = net::unpack_message<net::answer_head>(frame->payload);
        if (!answer) {
            link->close();
            co_return result;
        }
        m_traffic.choice().update_load(to.server, answer->load_permille, now());
        result.answered = true;
        result.outcome.peer = to.data_endpoint;
        result.outcome.region = to.region;
        if (to.region != m_traffic.config().instance.region) {
            m_traffic.region_budget().charge(to.region, m_request.traffic_class, core::direction::in,
                                             answer->body.size(), now());
        }
        if (answer->whole_body) {
            m_traffic.links().give_back(to.data_endpoint, link);
        } else {
            result.outcome.link = link;
        }
        result.outcome.answer = std::move(*answer);
        co_return result;
    }
}

bool forwarder::may_retry(const attempt_result& result) const {
    if (m_remaining_body_requested || m_caller_disconnected || now() >= m_request.deadline) {
        return false;
    }
    // A request that may have reached a server is sent again only if it is idempotent. A full queue would
    // refuse the request again, so that refusal is retried only where another server can be selected.
    if (result.sent) {
        return m_request.head.idempotent && result.outcome.refused == core::refusal_reason::connection_lost;
    }
    if (is_routing_refusal(result.outcome.refused, m_request.service->divided_by_key) ||
        result.outcome.refused == core::refusal_reason::server_unreachable ||
        result.outcome.refused == core::refusal_reason::server_refused) {
        return true;
    }
    return result.outcome.refused == core::refusal_reason::queue_full && !m_request.service->divided_by_key;
}

awaitable<bool> forwarder::prepare_retry(const attempt_result& result) {
    ++m_retries;
    // Each attempt needs its own id, since a home refuses an id that it has already seen.
    const auto& id = m_request.head.request_id;
    m_request.head.request_id = id.substr(0, id.find('/')) + "/" + std::to_string(m_retries);
    if (is_routing_refusal(result.outcome.refused, m_request.service->divided_by_key)) {
        if (!m_request.service->divided_by_key) {
            m_traffic.choice().record_failure(m_request.head.server, now());
            m_tried.push_back(m_request.head.server);
        }
        // No server received the request, so this retry adds no load and is not charged to the retry budget.
        co_await m_traffic.wait_for_view_change(std::min(m_request.deadline, now() + view_poll_interval));
        co_return now() < m_request.deadline;
    }
    m_traffic.choice().record_failure(m_request.head.server, now());
    m_tried.push_back(m_request.head.server);
    if (!m_traffic.retry_budget().take()) {
        co_return false;
    }
    m_traffic.daemon_metrics().retries.Increment();
    const auto backoff = m_traffic.retry_budget().backoff(m_retries, m_traffic.random()());
    co_await m_traffic.wait_for_view_change(std::min(m_request.deadline, now() + backoff));
    co_return now() < m_request.deadline;
}

awaitable<forward_result> forwarder::run() {
    attempt_result result;
    result.outcome.detail = "no server owns the key";
    for (;;) {
        const auto to = find_target();
        if (!to) {
            if (now() >= m_request.deadline) {
                co_return std::move(result.outcome);
            }
            co_await m_traffic.wait_for_view_change(std::min(m_request.deadline, now() + view_poll_interval));
            continue;
        }
        result = co_await attempt(*to);
        if (result.answered) {
            m_traffic.retry_budget().record_success();
            co_return std::move(result.outcome);
        }
        if (!may_retry(result)) {
            co_return std::move(result.outcome);
        }
        if (!co_await prepare_retry(result)) {
            co_return std::move(result.outcome);
        }
    }
}

} // namespace balsampost::daemon
