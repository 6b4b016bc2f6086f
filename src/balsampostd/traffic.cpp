// The traffic thread's acceptors, gates and ticks.
#include "traffic.h"

#include "balsampost/telemetry/log.h"

namespace balsampost::daemon {

using net::awaitable;
using net::now;
using telemetry::event;

namespace {

constexpr core::milliseconds handshake_time{2000};
constexpr core::milliseconds tick{10};
constexpr core::milliseconds load_interval{1000};
/// Ids of non-idempotent requests remembered at a home.
constexpr std::size_t most_seen = 100'000;
/// Busiest slices reported in one load report.
constexpr std::size_t most_reported_slices = 256;

} // namespace

traffic::traffic(const settings& config, core::instance_id self, metrics& measured,
                 telemetry::span_store& spans)
    : m_settings(config), m_self(std::move(self)), m_metrics(measured), m_spans(spans),
      m_links({m_self, config.keys()}, config.limits.links_per_peer),
      m_view(std::make_shared<routing_view>()), m_random(m_self.incarnation) {
    auto empty = std::make_shared<routing_view>();
    empty->objects = std::make_shared<core::object_set>();
    empty->members = std::make_shared<core::member_list>();
    m_view = std::move(empty);
}

traffic::~traffic() {
    stop();
}

void traffic::start() {
    m_callers.emplace(net::bind_to(m_context, m_settings.listen.callers));
    m_peers.emplace(net::listen_on(m_context, m_settings.listen.data));
    net::spawn(m_context, accept_peers());
    net::spawn(m_context, every_tick());
    m_thread = std::thread([this] { m_context.run(); });
}

void traffic::stop() {
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

awaitable<void> traffic::accept_callers() {
    for (;;) {
        net::error_code ec;
        net::tcp::socket socket(m_context);
        co_await m_callers->async_accept(socket, net::into(ec));
        if (!m_callers->is_open()) {
            co_return;
        }
        if (ec) {
            co_await net::wait_for(tick);
        } else if (m_open_callers < m_settings.limits.callers) {
            net::spawn(m_context, serve_caller(*this, std::move(socket)));
        }
    }
}

awaitable<void> traffic::accept_peers() {
    const auto admit = [](traffic& owner, net::tcp::socket socket) -> awaitable<void> {
        auto link = co_await net::accept_link(std::move(socket), owner.m_links.identity(),
                                              owner.m_accepted_traffic, now() + handshake_time);
        if (!link) {
            telemetry::log(event::peer_refused, {{"reason", link.error().message}});
            co_return;
        }
        co_await serve_home(owner, *link);
    };
    for (;;) {
        net::error_code ec;
        net::tcp::socket socket(m_context);
        co_await m_peers->async_accept(socket, net::into(ec));
        if (ec) {
            co_await net::wait_for(tick);
        } else {
            net::spawn(m_context, admit(*this, std::move(socket)));
        }
    }
}

void traffic::consume(traffic_order& order) {
    if (const auto* next = std::get_if<view_ptr>(&order)) {
        m_view = *next;
        update_budget();
        m_view_changed.notify_all();
    } else if (const auto* homes = std::get_if<homes_update>(&order)) {
        update_homes(*homes);
    } else if (std::holds_alternative<start_accepting>(order)) {
        net::error_code ec;
        m_callers->listen(net::tcp::acceptor::max_listen_connections, ec);
        net::spawn(m_context, accept_callers());
    } else if (std::holds_alternative<close_connections>(order)) {
        m_closing = true;
    } else if (std::holds_alternative<stop_accepting>(order)) {
        m_stopping = true;
        net::error_code ec;
        m_callers->close(ec);
    }
}

void traffic::update_budget() {
    if (m_view->objects == m_budget_objects && m_view->members == m_budget_members) {
        return;
    }
    m_budget_objects = m_view->objects;
    m_budget_members = m_view->members;
    m_budget.update(*m_view->objects, *m_view->members, m_settings.instance.region, now());
}

awaitable<void> traffic::pace(std::string region, core::traffic_class c, core::direction d,
                              std::uint64_t bytes) {
    m_budget.charge(region, c, d, bytes, now());
    const auto wait = m_budget.delay(region, c, d, now());
    if (wait > core::duration::zero()) {
        co_await net::wait_for(wait);
    }
}

void traffic::update_homes(const homes_update& update) {
    auto& gates = m_gates[update.cell];
    const auto service = m_view->objects->services.find(update.cell.service);
    std::set<std::string> present;
    for (const auto& homed_server : update.servers) {
        present.insert(homed_server.server);
        auto& gate = gates[homed_server.server];
        const auto* record = m_view->members->find_server(homed_server.server);
        if (!gate && record != nullptr && service != m_view->objects->services.end()) {
            gate = std::make_shared<server_gate>(update.cell, homed_server.server, record->location(),
                                                 service->second,
                                                 [this](const control_report& r) { m_to_control->push(r); });
        }
        if (gate) {
            gate->update(homed_server);
        }
    }
    std::erase_if(gates, [&](const auto& entry) {
        const bool gone = present.count(entry.first) == 0 || !entry.second;
        if (gone && entry.second) {
            entry.second->close();
        }
        return gone;
    });
}

std::shared_ptr<server_gate> traffic::gate(const std::string& service, const std::string& server) {
    for (auto at = m_gates.lower_bound({service, 0}); at != m_gates.end() && at->first.service == service;
         ++at) {
        const auto found = at->second.find(server);
        if (found != at->second.end()) {
            return found->second;
        }
    }
    return nullptr;
}

bool traffic::first_time(const std::string& request_id) {
    if (!m_seen.insert(request_id).second) {
        return false;
    }
    m_seen_order.push_back(request_id);
    if (m_seen_order.size() > most_seen) {
        m_seen.erase(m_seen_order.front());
        m_seen_order.pop_front();
    }
    return true;
}

void traffic::record(telemetry::span s) {
    s.instance = m_self.name;
    if (m_settings.trace.log) {
        telemetry::log(event::span, {{"span", telemetry::to_json(s)}});
    }
    m_spans.add(std::move(s));
}

void traffic::send_loads() {
    for (auto& [cell, gates] : m_gates) {
        load_report report{cell, {}, {}};
        for (auto& [name, gate] : gates) {
            report.server_permille[name] = gate->load_permille();
            for (const auto& [slice, count] : gate->take_slice_counts()) {
                report.slices.push_back({slice, count});
            }
        }
        std::sort(report.slices.begin(), report.slices.end(),
                  [](const auto& a, const auto& b) { return a.requests_per_second > b.requests_per_second; });
        report.slices.resize(std::min(report.slices.size(), most_reported_slices));
        if (!report.server_permille.empty()) {
            m_to_control->push(report);
        }
    }
}

awaitable<void> traffic::every_tick() {
    auto next_loads = now() + load_interval;
    for (;;) {
        std::size_t waiting = 0;
        std::size_t running = 0;
        for (auto& [cell, gates] : m_gates) {
            for (auto& [name, gate] : gates) {
                gate->expire_waiting(now());
                waiting += gate->queue().waiting();
                running += gate->queue().running();
            }
        }
        m_metrics.queued.Set(static_cast<double>(waiting));
        m_metrics.running.Set(static_cast<double>(running));
        m_metrics.callers.Set(m_open_callers);
        m_metrics.region_bytes.Set(static_cast<double>(m_budget.charged_bytes()));
        if (now() >= next_loads) {
            next_loads += load_interval;
            send_loads();
        }
        if (m_stopping && m_in_flight == 0 && !m_idle_reported) {
            m_idle_reported = m_to_control->push(traffic_idle{});
        }
        co_await net::wait_for(tick);
    }
}

} // namespace balsampost::daemon
