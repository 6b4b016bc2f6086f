// Attempts and repeats.
#include "forwarder.h"

#include <algorithm>

namespace balsampost::daemon {

using net::awaitable;
using net::now;

namespace {

constexpr core::milliseconds connect_time{250};
/// While there is nowhere to send a request, the view is looked at again at least this often.
constexpr core::milliseconds look_again{20};
/// A reply may come this much after the deadline, since the home decides by its own reading of it.
constexpr core::milliseconds reply_slack{50};

net::frame head_frame(const net::request_head& head) {
    return {net::frame_type::request_head, 0, net::pack_message(head)};
}

/// Refusals that say that the route has changed or will change, not that a server is in trouble. A key's only
/// server that cannot be reached is about to lose the key.
bool is_about_route(core::refusal_reason reason, bool keyed) {
    return reason == core::refusal_reason::not_home || reason == core::refusal_reason::no_owner ||
           reason == core::refusal_reason::shutting_down ||
           (keyed && reason == core::refusal_reason::server_unreachable);
}

} // namespace

forwarder::forwarder(traffic& owner, entry_request& request, net::tcp::socket& caller,
                     std::function<awaitable<bool>(net::link&, const std::string&)> send_rest)
    : m_owner(owner), m_request(request), m_caller(caller), m_send_rest(std::move(send_rest)) {}

std::optional<forwarder::target> forwarder::home_of(const core::cell_table&,
                                                    const core::server_row& row) const {
    const auto& view = m_owner.view();
    const auto at = view.instances.find(row.home);
    if (at == view.instances.end()) {
        return std::nullopt;
    }
    return target{row.home, at->second.data(), at->second.region, row.name, 0, {}};
}

std::optional<forwarder::target> forwarder::keyed_target() const {
    const auto& config = *m_request.service;
    const auto& view = m_owner.view();
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
        found->since = owned.owned_since;
    }
    return found;
}

std::optional<forwarder::target> forwarder::unkeyed_target() {
    const auto& view = m_owner.view();
    const auto cells = view.cells.find(m_request.head.service);
    if (cells == view.cells.end()) {
        return std::nullopt;
    }
    const auto& own = m_owner.config().instance;
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
            const auto away = record->region != own.region                   ? distance::other_region
                              : record->failure_domain != own.failure_domain ? distance::same_region
                                                                             : distance::same_domain;
            candidates.push_back({row.name, away});
            targets.push_back(std::move(*to));
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return targets[m_owner.choice().choose(candidates, m_tried, m_request.service->slots, now(),
                                           m_owner.random())];
}

std::optional<forwarder::target> forwarder::find_target() {
    return m_request.service->divided_by_key ? keyed_target() : unkeyed_target();
}

/// False if the budget between the regions leaves no room before the deadline.
awaitable<bool> forwarder::wait_for_budget(const target& to) {
    if (to.region == m_owner.config().instance.region) {
        co_return true;
    }
    for (;;) {
        const auto out = m_owner.budget().delay(to.region, m_request.traffic, core::direction::out, now());
        const auto in = m_owner.budget().delay(to.region, m_request.traffic, core::direction::in, now());
        const auto wait = std::max(out, in);
        if (wait == core::duration::zero()) {
            const auto bytes = m_request.head.body.size() + m_request.head.target.size();
            m_owner.budget().charge(to.region, m_request.traffic, core::direction::out, bytes, now());
            co_return true;
        }
        if (now() + wait >= m_request.deadline) {
            co_return false;
        }
        co_await net::wait_for(wait);
    }
}

awaitable<forwarder::attempt_end> forwarder::attempt(target to) {
    attempt_end end;
    if (!co_await wait_for_budget(to)) {
        end.result.refused = core::refusal_reason::budget;
        end.result.detail = "the budget towards region " + to.region + " is used up";
        co_return end;
    }
    end.result.refused = core::refusal_reason::server_unreachable;
    auto link = co_await m_owner.links().take(to.data, std::min(m_request.deadline, now() + connect_time));
    if (!link) {
        end.result.refused = core::refusal_reason::not_home;
        end.result.detail = "home " + to.home.name + " cannot be reached";
        co_return end;
    }
    auto& head = m_request.head;
    head.server = to.server;
    head.slice = to.slice;
    head.since = to.since;
    head.deadline_ns = (m_request.deadline - now()).count();
    net::frame f = head_frame(head);
    const auto written = co_await (*link)->write(std::move(f), m_request.deadline);
    end.sent = true;
    if (!written) {
        end.result.refused = core::refusal_reason::connection_lost;
        end.result.detail = "the link to home " + to.home.name + " broke";
        co_return end;
    }
    m_owner.choice().began(to.server);
    end = co_await read_reply(to, *link);
    m_owner.choice().ended(to.server);
    co_return end;
}

awaitable<forwarder::attempt_end> forwarder::read_reply(target to, net::link_ptr link) {
    attempt_end end;
    end.sent = true;
    end.result.refused = core::refusal_reason::connection_lost;
    for (;;) {
        core::time_point until = m_request.deadline + reply_slack;
        if (m_rest_used) {
            until = std::max(until, now() + m_owner.config().limits.stall_time);
        }
        core::result<net::frame> f;
        {
            const net::close_watch watch(m_caller, [&] {
                m_caller_left = true;
                link->close();
            });
            f = co_await link->read(until);
        }
        if (!f) {
            end.result.detail = "no reply from home " + to.home.name;
            co_return end;
        }
        if (f->type == net::frame_type::go_ahead && !m_rest_used && !m_request.head.whole_body) {
            m_rest_used = true;
            if (!co_await m_send_rest(*link, to.region)) {
                link->close();
                end.result.detail = "the request body ended early";
                co_return end;
            }
            continue;
        }
        if (f->type == net::frame_type::refusal) {
            const auto refusal = net::unpack_message<net::refusal_message>(f->payload);
            if (refusal) {
                end.result.refused = refusal->reason;
                end.result.detail = refusal->detail;
                end.sent = core::rule_of(refusal->reason).implied_outcome != core::outcome::not_run;
                m_owner.links().give_back(to.data, link);
            }
            co_return end;
        }
        if (f->type != net::frame_type::answer_head) {
            link->close();
            end.result.detail = "home " + to.home.name + " broke the protocol";
            co_return end;
        }
        auto answer = net::unpack_message<net::answer_head>(f->payload);
        if (!answer) {
            link->close();
            co_return end;
        }
        m_owner.choice().heard_load(to.server, answer->load_permille, now());
        end.answered = true;
        end.result.peer = to.data;
        end.result.region = to.region;
        if (to.region != m_owner.config().instance.region) {
            m_owner.budget().charge(to.region, m_request.traffic, core::direction::in, answer->body.size(),
                                    now());
        }
        if (answer->whole_body) {
            m_owner.links().give_back(to.data, link);
        } else {
            end.result.link = link;
        }
        end.result.answer = std::move(*answer);
        co_return end;
    }
}

bool forwarder::may_repeat(const attempt_end& end) const {
    if (m_rest_used || m_caller_left || now() >= m_request.deadline) {
        return false;
    }
    // What may have reached a server is sent again only if it is idempotent. The queue's own refusals would
    // only come again, unless another server can be chosen.
    if (end.sent) {
        return m_request.head.idempotent && end.result.refused == core::refusal_reason::connection_lost;
    }
    if (is_about_route(end.result.refused, m_request.service->divided_by_key) ||
        end.result.refused == core::refusal_reason::server_unreachable ||
        end.result.refused == core::refusal_reason::server_refused) {
        return true;
    }
    return end.result.refused == core::refusal_reason::queue_full && !m_request.service->divided_by_key;
}

awaitable<bool> forwarder::prepare_repeat(const attempt_end& end) {
    ++m_repeats;
    // Each attempt has an id of its own: a home refuses one that it saw already.
    const auto& id = m_request.head.request_id;
    m_request.head.request_id = id.substr(0, id.find('/')) + "/" + std::to_string(m_repeats);
    if (is_about_route(end.result.refused, m_request.service->divided_by_key)) {
        if (!m_request.service->divided_by_key) {
            m_owner.choice().failed(m_request.head.server, now());
            m_tried.push_back(m_request.head.server);
        }
        // Nothing was sent to a server; waiting for the next view costs no server anything.
        co_await m_owner.view_change(std::min(m_request.deadline, now() + look_again));
        co_return now() < m_request.deadline;
    }
    m_owner.choice().failed(m_request.head.server, now());
    m_tried.push_back(m_request.head.server);
    if (!m_owner.retries().take()) {
        co_return false;
    }
    m_owner.measured().retries.Increment();
    const auto pause = m_owner.retries().backoff(m_repeats, m_owner.random()());
    co_await m_owner.view_change(std::min(m_request.deadline, now() + pause));
    co_return now() < m_request.deadline;
}

awaitable<forwarded> forwarder::run() {
    attempt_end end;
    end.result.detail = "no server owns the key";
    for (;;) {
        const auto to = find_target();
        if (!to) {
            if (now() >= m_request.deadline) {
                co_return std::move(end.result);
            }
            co_await m_owner.view_change(std::min(m_request.deadline, now() + look_again));
            continue;
        }
        end = co_await attempt(*to);
        if (end.answered) {
            m_owner.retries().record_success();
            co_return std::move(end.result);
        }
        if (!may_repeat(end)) {
            co_return std::move(end.result);
        }
        if (!co_await prepare_repeat(end)) {
            co_return std::move(end.result);
        }
    }
}

} // namespace balsampost::daemon
