// Exchanges of the relay.
#include "relay.h"

#include "balsampost/telemetry/log.h"

#include <algorithm>

namespace balsampost::daemon {

namespace {

using net::awaitable;
using net::now;

/// How long a parent keeps a question open that finds nothing new.
constexpr core::milliseconds long_poll{1000};
/// An exchange that is not answered this long after it should be makes the parent suspect.
constexpr core::milliseconds answer_slack{300};
/// A suspect parent is tried again after this.
constexpr core::milliseconds suspect_memory{5000};
/// Pause between two exchanges that brought no agreement, and before a question without a parent.
constexpr core::milliseconds pause_time{100};

std::vector<const core::instance_record*> ranked(const core::member_list& members, const std::string& region,
                                                 const std::set<std::string>& suspects) {
    std::vector<const core::instance_record*> order;
    for (const auto& instance : members.instances) {
        if (instance.region == region && suspects.count(instance.name) == 0) {
            order.push_back(&instance);
        }
    }
    std::sort(order.begin(), order.end(), [](const auto* a, const auto* b) {
        return core::rendezvous_rank("relay", a->name) > core::rendezvous_rank("relay", b->name);
    });
    return order;
}

} // namespace

relay_place place_in_relay(const core::member_list& members, const std::string& self,
                           const std::string& own_region, const std::string& store_region,
                           const std::set<std::string>& suspects) {
    const auto order = ranked(members, own_region, suspects);
    const auto at = std::find_if(order.begin(), order.end(), [&](const auto* i) { return i->name == self; });
    relay_place place;
    if (at != order.begin() && !order.empty()) {
        // An instance not yet listed hangs below the root.
        const auto index = at == order.end() ? std::size_t{1} : static_cast<std::size_t>(at - order.begin());
        place.parent = order[(index - 1) / relay_fan_out]->peer();
        return place;
    }
    place.root_of_region = true;
    const auto store_order = ranked(members, store_region, suspects);
    if (own_region == store_region || store_order.empty()) {
        place.root_of_all = true;
    } else {
        place.parent = store_order.front()->peer();
    }
    return place;
}

relay::relay(net::asio::io_context& context, net::link_pool& links, std::string self, std::string region,
             std::function<void(const core::versioned_value&)> changed,
             std::function<bool(const std::string&)> keep)
    : m_context(context), m_links(links), m_self(std::move(self)), m_region(std::move(region)),
      m_changed(std::move(changed)), m_keep(std::move(keep)),
      m_members(std::make_shared<core::member_list>()) {}

bool relay::merge(const core::versioned_value& value) {
    if (!m_keep(value.name) || !m_values.merge(value)) {
        return false;
    }
    m_changed_at[value.name] = ++m_serial;
    m_changed(value);
    m_news.notify_all();
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
    if (const auto parent = place().parent) {
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
    const auto deadline = now() + core::milliseconds(request.wait_ms) + answer_slack;
    net::frame f{net::frame_type::sync, 0, net::pack_message(request)};
    auto reply = co_await m_links.call(to, std::move(f), deadline);
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
        std::erase_if(reply.wanted, [&](const auto& name) { return !m_keep(name); });
    } else if (request.digest == m_values.digest() && request.wait_ms > 0) {
        const auto since = m_serial;
        const auto until = now() + std::min(core::milliseconds(request.wait_ms), long_poll);
        while (m_serial == since && now() < until) {
            co_await m_news.wait_until(until);
        }
        for (const auto& [name, serial] : m_changed_at) {
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
        suspect(parent);
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
        const auto parent = place().parent;
        note_parent(parent);
        if (!parent) {
            co_await net::wait_for(pause_time);
            continue;
        }
        net::sync_request request;
        request.digest = m_values.digest();
        request.wait_ms = long_poll.count();
        const auto reply = co_await exchange(*parent, std::move(request));
        if (!reply) {
            suspect(*parent);
            co_await net::wait_for(core::milliseconds(10));
            continue;
        }
        for (const auto& value : reply->newer) {
            merge(value);
        }
        if (reply->digest != m_values.digest()) {
            co_await reconcile(*parent);
            if (reply->newer.empty()) {
                co_await net::wait_for(pause_time);
            }
        }
    }
}

void relay::suspect(const core::endpoint& parent) {
    for (const auto& instance : m_members->instances) {
        if (instance.peer() == parent) {
            m_suspects[instance.name] = now();
            telemetry::log(telemetry::event::relay_unreachable, {{"parent", instance.name}});
        }
    }
}

void relay::note_parent(const std::optional<core::endpoint>& parent) {
    if (parent != m_parent) {
        m_parent = parent;
        telemetry::log(telemetry::event::relay_parent,
                       {{"parent", parent ? core::to_string(*parent) : "none"}});
    }
}

void relay::set_members(std::shared_ptr<const core::member_list> members, std::string store_region) {
    m_members = std::move(members);
    m_store_region = std::move(store_region);
}

relay_place relay::place() const {
    std::set<std::string> suspects;
    for (const auto& [name, since] : m_suspects) {
        if (now() - since < suspect_memory && name != m_self) {
            suspects.insert(name);
        }
    }
    return place_in_relay(*m_members, m_self, m_region, m_store_region, suspects);
}

} // namespace balsampost::daemon
