// The traffic thread: accepts connections, applies orders of the control thread and runs periodic tasks.
#include "traffic.h"

#include "balsampost/telemetry/log.h"

namespace balsampost::daemon {

using net::awaitable;
using net::now;
using telemetry::event;

namespace {

constexpr core::milliseconds handshake_timeout{2000};
constexpr core::milliseconds tick_interval{10};
constexpr core::milliseconds load_report_interval{1000};
/// Ids of non-idempotent requests that a home remembers to detect duplicates.
constexpr std::size_t max_remembered_request_ids = 100'000;
/// A load report contains at most this many slices, those with the highest request rates.
constexpr std::size_t max_reported_slices = 256;

} // namespace

traffic_thread::traffic_thread(const settings& config, core::instance_id self, metrics& daemon_metrics,
                               telemetry::span_store& spans)
    : m_settings(config), m_self(std::move(self)), m_metrics(daemon_metrics), m_spans(spans),
      m_links({m_self, config.keys()}, config.limits.links_per_peer),
      m_view(std::make_shared<routing_view>()), m_random(m_self.incarnation) {
    auto empty = std::make_shared<routing_view>();
    empty->objects = std::make_shared<core::object_set>();
    empty->members = std::make_shared<core::member_list>();
    m_view = std::move(empty);
}

traffic_thread::~traffic_thread() {
    stop();
}

void traffic_thread::start() {
    m_caller_acceptor.emplace(net::bind_to(m_context, m_settings.listen.callers));
    m_peer_acceptor.emplace(net::listen_on(m_context, m_settings.listen.data));
    net::spawn(m_context, accept_peers());
    net::spawn(m_context, run_periodic_tasks());
    m_thread = std::thread([this] { m_context.run(); });
}

void traffic_thread::stop() {
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

awaitable<void> traffic_thread::accept_callers() {
    for (;;) {
        net::error_code ec;
        net::tcp::socket socket(m_context);
        co_await m_caller_acceptor->async_accept(socket, net::into(ec));
        if (!m_caller_acceptor->is_open()) {
            co_return;
        }
        if (ec) {
            co_await net::wait_for(tick_interval);
        } else if (m_open_caller_connections < m_settings.limits.callers) {
            net::spawn(m_context, serve_caller(*this, std::move(socket)));
        }
    }
}

awaitable<void> traffic_thread::accept_peers() {
    const auto serve_accepted = [](traffic_thread& traffic, net::tcp::socket socket) -> awaitable<void> {
        auto link = co_await net::accept_link(std::move(socket), traffic.m_links.identity(),
                                              traffic.m_accepted_traffic, now() + handshake_timeout);
        if (!link) {
            telemetry::log(event::peer_refused, {{"reason", link.error().message}});
            co_return;
        }
        co_await serve_peer_link(traffic, *link);
    };
    for (;;) {
        net::error_code ec;
        net::tcp::socket socket(m_context);
        co_await m_peer_acceptor->async_accept(socket, net::into(ec));
        if (ec) {
            co_await net::wait_for(tick_interval);
        } else {
            net::spawn(m_context, serve_accepted(*this, std::move(socket)));
        }
    }
}

void traffic_thread::consume(traffic_order& order) {
    if (const auto* new_view = std::get_if<view_ptr>(&order)) {
        m_view = *new_view;
        update_region_budget();
        m_view_changed.notify_all();
    } else if (const auto* homes = std::get_if<homes_update>(&order)) {
        update_homes(*homes);
    } else if (std::holds_alternative<start_accepting>(order)) {
        net::error_code ec;
        m_caller_acceptor->listen(net::tcp::acceptor::max_listen_connections, ec);
        net::spawn(m_context, accept_callers());
    } else if (std::holds_alternative<close_connections>(order)) {
        m_closing_connections = true;
    } else if (std::holds_alternative<stop_accepting>(order)) {
        m_stopping = true;
        net::error_code ec;
        m_caller_acceptor->close(ec);
    }
}

void traffic_thread::update_region_budget() {
    if (m_view->objects == m_budget_objects && m_view->members == m_budget_members) {
        return;
    }
    m_budget_objects = m_view->objects;
    m_budget_members = m_view->members;
    m_region_budget.update(*m_view->objects, *m_view->members, m_settings.instance.region, now());
}

awaitable<void> traffic_thread::throttle(std::string region, core::traffic_class traffic_class,
                                         core::direction direction, std::uint64_t bytes) {
    m_region_budget.charge(region, traffic_class, direction, bytes, now());
    const auto wait = m_region_budget.delay(region, traffic_class, direction, now());
    if (wait > core::duration::zero()) {
        co_await net::wait_for(wait);
    }
}

void traffic_thread::update_homes(const homes_update& update) {
    auto& gates = m_gates[update.cell];
    const auto service = m_view->objects->services.find(update.cell.service);
    std::set<std::string> served_names;
    for (const auto& homed_server : update.servers) {
        served_names.insert(homed_server.server);
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
        const bool removed = served_names.count(entry.first) == 0 || !entry.second;
        if (removed && entry.second) {
            entry.second->close();
        }
        return removed;
    });
}

std::shared_ptr<server_gate> traffic_thread::gate(const std::string& service, const std::string& server) {
    for (auto cell_gates = m_gates.lower_bound({service, 0});
         cell_gates != m_gates.end() && cell_gates->first.service == service; ++cell_gates) {
        const auto found = cell_gates->second.find(server);
        if (found != cell_gates->second.end()) {
            return found->second;
        }
    }
    return nullptr;
}

bool traffic_thread::record_request_id(const std::string& request_id) {
    if (!m_request_ids.insert(request_id).second) {
        return false;
    }
    m_request_id_order.push_back(request_id);
    if (m_request_id_order.size() > max_remembered_request_ids) {
        m_request_ids.erase(m_request_id_order.front());
        m_request_id_order.pop_front();
    }
    return true;
}

void traffic_thread::store_span(telemetry::span span) {
    span.instance = m_self.name;
    if (m_settings.trace.log) {
        telemetry::log(event::span, {{"span", telemetry::to_json(span)}});
    }
    m_spans.add(std::move(span));
}

void traffic_thread::report_loads() {
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
        report.slices.resize(std::min(report.slices.size(), max_reported_slices));
        if (!report.server_permille.empty()) {
            m_to_control->push(report);
        }
    }
}

awaitable<void> traffic_thread::run_periodic_tasks() {
    auto next_load_report = now() + load_report_interval;
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
        m_metrics.callers.Set(m_open_caller_connections);
        m_metrics.region_bytes.Set(static_cast<double>(m_region_budget.charged_bytes()));
        if (now() >= next_load_report) {
            next_load_report += load_report_interval;
            report_loads();
        }
        if (m_stopping && m_in_flight == 0 && !m_idle_reported) {
            m_idle_reported = m_to_control->push(traffic_idle{});
        }
        co_await net::wait_for(tick_interval);
    }
}

} // namespace balsampost::daemon
