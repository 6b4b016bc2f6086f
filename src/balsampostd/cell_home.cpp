// The home role of a cell: sends heartbeats to the coordinator and lease orders to the servers.
#include "cell_runner.h"

#include "balsampost/core/json_text.h"
#include "balsampost/net/http.h"
#include "balsampost/telemetry/log.h"

#include <nlohmann/json.hpp>

namespace balsampost::daemon {

using net::awaitable;
using net::now;
using telemetry::event;

namespace {

/// Interval at which the core is polled for the next lease order to a server.
constexpr core::milliseconds order_poll_interval{5};
constexpr std::uint64_t max_order_answer_bytes = 64U << 10U; // A server's answer to an order is short.
/// Longest wait before an instance without servers in the cell checks again whether it is a home.
constexpr core::milliseconds home_check_interval{200};

nlohmann::json to_json(const core::lease_order& order, const std::string& home_id) {
    nlohmann::json json;
    json["giver"] = home_id;
    json["number"] = order.number;
    json["term"] = core::to_string(order.home_since);
    json["until_ns"] = order.until_ns;
    json["list_version"] = order.list_version;
    if (order.with_list) {
        json["slices"] = nlohmann::json::array();
        for (const auto& slice : order.slices) {
            json["slices"].push_back({slice.slice, slice.since.term, slice.since.sequence});
        }
    }
    return json;
}

std::optional<core::lease_answer> answer_from(const net::http_answer& http) {
    const auto json = core::parse_json(http.body);
    if (http.status != 200 || !json) {
        return std::nullopt;
    }
    try {
        core::lease_answer answer;
        answer.accepted = json->value("accepted", false);
        answer.server_time_ns = json->at("time_ns").get<std::int64_t>();
        answer.list_version = json->value("list_version", std::uint64_t{0});
        answer.running = json->value("running", 0U);
        return answer;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt; // A field is missing or of another type.
    }
}

} // namespace

awaitable<bool> cell_runner::send_heartbeat(core::instance_id to) {
    const auto& view = m_deps.view();
    const auto it = view.instances.find(to);
    if (it == view.instances.end()) {
        co_return false;
    }
    auto heartbeat = m_home.heartbeat(now());
    for (auto& report : heartbeat.servers) {
        report.load_permille = m_server_loads[report.name];
    }
    heartbeat.loads = std::move(m_slice_loads);
    m_slice_loads.clear();
    const auto sent = now();
    core::home_reply reply;
    if (to == m_deps.self) {
        reply = on_heartbeat(heartbeat);
    } else {
        net::frame frame{net::frame_type::heartbeat, 0, net::pack_message(heartbeat)};
        const auto response = co_await m_deps.links.call(it->second.peer(), std::move(frame),
                                                         sent + 2 * m_timing.renew_interval);
        m_deps.report_reachability(to.name, response.has_value());
        if (!response || response->type != net::frame_type::heartbeat_answer) {
            co_return false;
        }
        auto unpacked = net::unpack_message<core::home_reply>(response->payload);
        if (!unpacked) {
            co_return false;
        }
        reply = std::move(*unpacked);
    }
    m_home.on_reply(reply, sent, now());
    if (!reply.authoritative && !reply.coordinator_hint.empty() && reply.coordinator_hint != to) {
        m_heartbeat_target = reply.coordinator_hint;
    }
    publish_homes();
    co_return reply.authoritative;
}

awaitable<void> cell_runner::run_heartbeats() {
    while (!m_retired) {
        if (!m_home.is_home()) {
            co_await m_heartbeat_wakeup.wait_until(now() + home_check_interval);
            continue;
        }
        if (m_heartbeat_target.empty()) {
            m_heartbeat_target = m_home.table().holder;
        }
        const auto target = m_heartbeat_target;
        const bool authoritative = co_await send_heartbeat(target);
        if (!authoritative && m_heartbeat_target == target) {
            // Alternate between holder and standby, as either may be in authority by now.
            const auto& table = m_home.table();
            m_heartbeat_target =
                target == table.holder && !table.standby.empty() ? table.standby : table.holder;
        }
        const auto interval = authoritative ? m_timing.renew_interval : m_timing.renew_interval / 4;
        co_await m_heartbeat_wakeup.wait_until(now() + interval);
    }
}

void cell_runner::tick_home() {
    if (m_home.tick(now())) {
        for (const auto& report : m_home.heartbeat(now()).servers) {
            if (!report.responsive && !report.released.empty()) {
                telemetry::log(event::server_lease_expired,
                               {{"cell", core::to_string(m_id)}, {"server", report.name}});
            }
        }
        m_heartbeat_wakeup.notify_all();
        publish_homes();
    }
}

void cell_runner::publish_homes() {
    homes_update update{m_id, m_home.serving()};
    if (update.servers.empty() && m_sent_serving_version == m_home.serving_version()) {
        return;
    }
    m_sent_serving_version = m_home.serving_version();
    m_deps.homes_changed(update);
}

void cell_runner::start_order_loops() {
    for (const auto& row : m_home.table().servers) {
        if (row.home != m_deps.self || m_order_loops[row.name] == row.home_since) {
            continue;
        }
        m_order_loops[row.name] = row.home_since;
        telemetry::log(event::home_began, {{"cell", core::to_string(m_id)}, {"server", row.name}});
        net::spawn(m_deps.context, run_orders(row.name, row.home_since));
    }
}

awaitable<void> cell_runner::run_orders(std::string server, core::epoch home_since) {
    std::optional<net::http_client> client;
    const std::string home_id = core::to_string(m_deps.self);
    while (!m_retired) {
        const auto* row = m_home.table().find(server);
        if (row == nullptr || row->home != m_deps.self || row->home_since != home_since) {
            break;
        }
        const auto* record = m_deps.view().members->find_server(server);
        if (record != nullptr && (!client || client->to() != record->location())) {
            client.emplace(record->location(), max_order_answer_bytes);
        }
        const auto order = client ? m_home.order_for(server, now()) : std::nullopt;
        if (!order) {
            co_await net::wait_for(order_poll_interval);
            continue;
        }
        const auto sent = now();
        net::http_request request{"POST", "/balsampost/lease", to_json(*order, home_id).dump(), {}};
        request.headers["Content-Type"] = "application/json";
        // The process may have been suspended since the order was built. The client checks right before the
        // write that the home lease has not expired meanwhile.
        const auto http = co_await client->request(std::move(request), sent + m_timing.suspect_timeout,
                                                   [this] { return now() < m_home.home_lease_until(); });
        const auto answer = http ? answer_from(*http) : std::nullopt;
        if (answer) {
            if (!answer->accepted) {
                telemetry::log(event::server_refused_order,
                               {{"cell", core::to_string(m_id)}, {"server", server}});
            }
            const auto serving = m_home.serving_version();
            m_home.on_answer(server, order->number, *answer, sent, now());
            if (serving != m_home.serving_version()) {
                // Report the confirmed or released slices to the coordinator without delay.
                m_heartbeat_wakeup.notify_all();
            }
            publish_homes();
        } else {
            m_home.on_order_failed(server, order->number);
            client->close();
            co_await net::wait_for(order_poll_interval);
        }
    }
    telemetry::log(event::home_ended, {{"cell", core::to_string(m_id)}, {"server", server}});
}

void cell_runner::on_drained(const std::string& server, std::uint32_t slice) {
    m_home.drained(server, slice);
}

void cell_runner::on_server_drained(const std::string& server) {
    m_home.drained_all(server);
    m_heartbeat_wakeup.notify_all();
}

void cell_runner::on_load(const load_report& report) {
    m_server_loads.clear();
    for (const auto& [server, permille] : report.server_permille) {
        m_server_loads[server] = permille;
    }
    m_slice_loads = report.slices;
}

} // namespace balsampost::daemon
