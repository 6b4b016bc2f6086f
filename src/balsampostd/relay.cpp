// Exchanges of the relay with its parent and children in the tree.
#include "relay.h"

#include "balsampost/telemetry/log.h"

#include <algorithm>

namespace balsampost::daemon {

namespace {

using net::awaitable;
using net::now;

/// Longest time for which a parent holds a sync request open while it has nothing new.
constexpr core::milliseconds long_poll_timeout{1000};
/// Time allowed for a reply beyond the requested wait; after that the parent is suspected to have failed.
constexpr core::milliseconds answer_margin{300};
/// Time for which a suspected instance is left out of the tree.
constexpr core::milliseconds suspect_duration{5000};
/// Delay after an exchange in which the digests differed but no value was received, and between checks for a
/// parent while there is none.
constexpr core::milliseconds retry_delay{100};
/// Delay after a failed exchange, before the next parent is tried.
constexpr core::milliseconds failover_delay{10};

/// Instances of `region` that are not in `suspects`, by descending rendezvous rank. The order depends only on
/// the arguments, so that instances agree on the tree without coordination.
std::vector<const core::instance_record*> rank_instances(const core::member_list& members,
                                                         const std::string& region,
                                                         const std::set<std::string>& suspects) {
    std::vector<const core::instance_record*> ranking;
    for (const auto& instance : members.instances) {
        if (instance.region == region && suspects.count(instance.name) == 0) {
            ranking.push_back(&instance);
        }
    }
    std::sort(ranking.begin(), ranking.end(), [](const auto* a, const auto* b) {
        return core::rendezvous_rank("relay", a->name) > core::rendezvous_rank("relay", b->name);
    });
    return ranking;
}

} // namespace

relay_position find_relay_position(const core::member_list& members, const std::string& self,
                                   const std::string& own_region, const std::string& store_region,
                                   const std::set<std::string>& suspects) {
    const auto ranking = rank_instances(members, own_region, suspects);
    const auto it =
        std::find_if(ranking.begin(), ranking.end(), [&](const auto* i) { return i->name == self; });
    relay_position position;
    if (it != ranking.begin() && !ranking.empty()) {
        // An instance that is not listed yet is attached below the root.
        const auto index =
            it == ranking.end() ? std::size_t{1} : static_cast<std::size_t>(it - ranking.begin());
        position.parent = ranking[(index - 1) / relay_fan_out]->peer();
        return position;
    }
    position.is_region_root = true;
    const auto store_ranking = rank_instances(members, store_region, suspects);
    if (own_region == store_region || store_ranking.empty()) {
        position.is_global_root = true;
    } else {
        position.parent = store_ranking.front()->peer();
    }
    return position;
}

relay::relay(net::asio::io_context& context, net::link_pool& links, std::string self, std::string region,
             std::function<void(const core::versioned_value&)> on_change,
             std::function<bool(const std::string&)> accepts)
    : m_context(context), m_links(links), m_self(std::move(self)), m_region(std::move(region)),
      m_on_change(std::move(on_change)), m_accepts(std::move(accepts)),
      m_members(std::make_shared<core::member_list>()) {}

bool relay::merge(const core::versioned_value& value) {
    if (!m_accepts(value.name) || !m_values.merge(value)) {
        return false;
    }
    m_changed_serial[value.name] = ++m_serial;
    m_on_change(value);
    m_values_changed.notify_all();
    return true;
}

bool relay::publish(core::versioned_value value) {
    if (!merge(value)) {
        return false;
    }
    push_up(value);
    return true;
}

void relay::push_up(const core::versioned_value& value) {
    if (const auto parent = position().parent) {
        send_directly(*parent, value);
    }
}

void relay::send_directly(const core::endpoint& to, const core::versioned_value& value) {
    net::spawn(m_context, push(to, {value}));
}

awaitable<void> relay::push(core::endpoint to, std::vector<core::versioned_value> values) {
    net::sync_request request;
    request.pushed = std::move(values);
    co_await exchange(std::move(to), std::move(request));
}

awaitable<std::optional<net::sync_answer>> relay::exchange(core::endpoint to, net::sync_request request) {
    const auto deadline = now() + core::milliseconds(request.wait_ms) + answer_margin;
    net::frame frame{net::frame_type::sync, 0, net::pack_message(request)};
    auto reply = co_await m_links.call(to, std::move(frame), deadline);
    if (!reply || reply->type != net::frame_type::sync_answer) {
        co_return std::nullopt;
    }
    auto answer = net::unpack_message<net::sync_answer>(reply->payload);
    if (!answer) {
        co_return std::nullopt;
    }
    co_return *answer;
}

awaitable<net::sync_answer> relay::answer(net::sync_request request) {
    for (const auto& value : request.pushed) {
        if (merge(value)) {
            push_up(value);
        }
    }
    net::sync_answer reply;
    if (request.with_summary) {
        reply.newer = m_values.newer_than(request.summary);
        reply.wanted = m_values.names_to_fetch(request.summary);
        std::erase_if(reply.wanted, [&](const auto& name) { return !m_accepts(name); });
    } else if (request.digest == m_values.digest() && request.wait_ms > 0) {
        const auto since = m_serial;
        const auto until = now() + std::min(core::milliseconds(request.wait_ms), long_poll_timeout);
        while (m_serial == since && now() < until) {
            co_await m_values_changed.wait_until(until);
        }
        for (const auto& [name, serial] : m_changed_serial) {
            const auto* value = serial > since ? m_values.find(name) : nullptr;
            if (value != nullptr) {
                reply.newer.push_back(*value);
            }
        }
    }
    reply.digest = m_values.digest();
    co_return reply;
}

awaitable<void> relay::reconcile(core::endpoint parent) {
    net::sync_request request;
    request.with_summary = true;
    request.summary = m_values.summary();
    const auto reply = co_await exchange(parent, std::move(request));
    if (!reply) {
        mark_suspect(parent);
        co_return;
    }
    for (const auto& value : reply->newer) {
        merge(value);
    }
    std::vector<core::versioned_value> wanted;
    for (const auto& name : reply->wanted) {
        if (const auto* value = m_values.find(name)) {
            wanted.push_back(*value);
        }
    }
    if (!wanted.empty()) {
        co_await push(parent, std::move(wanted));
    }
}

awaitable<void> relay::follow_parent() {
    for (;;) {
        const auto parent = position().parent;
        log_parent_change(parent);
        if (!parent) {
            co_await net::wait_for(retry_delay);
            continue;
        }
        net::sync_request request;
        request.digest = m_values.digest();
        request.wait_ms = long_poll_timeout.count();
        const auto reply = co_await exchange(*parent, std::move(request));
        if (!reply) {
            mark_suspect(*parent);
            co_await net::wait_for(failover_delay);
            continue;
        }
        for (const auto& value : reply->newer) {
            merge(value);
        }
        if (reply->digest != m_values.digest()) {
            co_await reconcile(*parent);
            if (reply->newer.empty()) {
                co_await net::wait_for(retry_delay);
            }
        }
    }
}

void relay::mark_suspect(const core::endpoint& parent) {
    for (const auto& instance : m_members->instances) {
        if (instance.peer() == parent) {
            m_suspects[instance.name] = now();
            telemetry::log(telemetry::event::relay_unreachable, {{"parent", instance.name}});
        }
    }
}

void relay::log_parent_change(const std::optional<core::endpoint>& parent) {
    if (parent != m_logged_parent) {
        m_logged_parent = parent;
        telemetry::log(telemetry::event::relay_parent,
                       {{"parent", parent ? core::to_string(*parent) : "none"}});
    }
}

void relay::set_members(std::shared_ptr<const core::member_list> members, std::string store_region) {
    m_members = std::move(members);
    m_store_region = std::move(store_region);
}

relay_position relay::position() const {
    std::set<std::string> suspects;
    for (const auto& [name, since] : m_suspects) {
        if (now() - since < suspect_duration && name != m_self) {
            suspects.insert(name);
        }
    }
    return find_relay_position(*m_members, m_self, m_region, m_store_region, suspects);
}

} // namespace balsampost::daemon
