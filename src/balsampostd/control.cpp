// The control thread: start, frames from other instances, status updates and shutdown.
#include "control.h"

#include "balsampost/telemetry/log.h"

#include <algorithm>

namespace balsampost::daemon {

using net::awaitable;
using net::now;
using telemetry::event;

namespace {

constexpr std::size_t max_idle_control_links = 8;
constexpr core::milliseconds handshake_timeout{2000};
/// An instance is not chosen for this long after a failed call to it.
constexpr core::milliseconds unreachable_period{1000};
constexpr core::milliseconds status_interval{100};
/// Interval at which requests for a new status are checked.
constexpr core::milliseconds status_request_poll_interval{20};
/// A leaving instance accepts callers for at least this long and closes each connection after its answer.
/// This gives the platform's load balancer time to detect the shutdown, and callers time to use up idle
/// connections.
constexpr core::milliseconds min_close_time{1000};
/// A starting instance waits at most this long, once it has its configuration, for the tables of all cells
/// before it accepts callers.
constexpr core::milliseconds max_table_wait{3000};
/// Low bits of a unique number that count within one incarnation. The incarnation, a start time in
/// nanoseconds, fills the bits above, so the numbers of two incarnations do not collide.
constexpr unsigned unique_number_bits = 20;

} // namespace

control::control(const settings& config, core::instance_id self, metrics& daemon_metrics)
    : m_settings(config), m_self(std::move(self)), m_metrics(daemon_metrics),
      m_links({m_self, config.keys()}, max_idle_control_links), m_store(config.platform.addresses),
      m_relay(
          m_context, m_links, m_self.name, config.instance.region,
          [this](const core::versioned_value& value) { on_value_changed(value); },
          [this](const std::string& name) { return is_value_relevant(name); }),
      m_view(std::make_shared<routing_view>()),
      m_last_unique_number(m_self.incarnation << unique_number_bits),
      m_status(std::make_shared<const std::string>("{}")) {
    m_view->objects = std::make_shared<core::object_set>();
    m_view->members = std::make_shared<core::member_list>();
}

control::~control() {
    stop();
}

void control::start() {
    m_acceptor.emplace(net::listen_on(m_context, m_settings.listen.peer));
    announce();
    net::spawn(m_context, accept_peers());
    net::spawn(m_context, watch_config());
    net::spawn(m_context, watch_members());
    net::spawn(m_context, m_relay.follow_parent());
    net::spawn(m_context, run_status_loop());
    m_thread = std::thread([this] { m_context.run(); });
}

void control::stop() {
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

awaitable<void> control::accept_peers() {
    for (;;) {
        net::error_code ec;
        net::tcp::socket socket(m_context);
        co_await m_acceptor->async_accept(socket, net::into(ec));
        if (!ec) {
            net::spawn(m_context, serve_peer(std::move(socket)));
        } else {
            co_await net::wait_for(core::milliseconds(10));
        }
    }
}

awaitable<void> control::serve_peer(net::tcp::socket socket) {
    auto link = co_await net::accept_link(std::move(socket), m_links.identity(), m_accepted_traffic,
                                          now() + handshake_timeout);
    if (!link) {
        const auto code = link.error().code == core::error_code::protocol ? event::peer_broke_protocol
                                                                          : event::peer_refused;
        telemetry::log(code, {{"reason", link.error().message}});
        co_return;
    }
    const auto previous_errors = m_accepted_traffic.protocol_errors;
    co_await net::serve_link(*link, [this](const core::instance_id& from, net::frame f) {
        return handle_frame(from, std::move(f));
    });
    if (m_accepted_traffic.protocol_errors != previous_errors) {
        telemetry::log(event::peer_broke_protocol, {{"peer", core::to_string((*link)->peer())}});
    }
}

awaitable<net::frame> control::handle_frame(const core::instance_id& from, net::frame frame) {
    net::frame reply{net::frame_type::pong, frame.request, ""};
    if (frame.type == net::frame_type::promise_request) {
        const auto request = net::unpack_message<net::promise_request>(frame.payload);
        net::promise_answer response;
        if (request && request->lease.holder == from) {
            if (auto* runner = find_cell(request->cell)) {
                response = runner->on_promise_request(*request);
            }
        }
        reply.type = net::frame_type::promise_answer;
        reply.payload = net::pack_message(response);
    } else if (frame.type == net::frame_type::heartbeat) {
        const auto heartbeat = net::unpack_message<core::home_heartbeat>(frame.payload);
        core::home_reply response;
        if (heartbeat && heartbeat->home == from) {
            if (auto* runner = find_cell(heartbeat->cell)) {
                response = runner->on_heartbeat(*heartbeat);
            }
        }
        reply.type = net::frame_type::heartbeat_answer;
        reply.payload = net::pack_message(response);
    } else if (frame.type == net::frame_type::sync) {
        auto request = net::unpack_message<net::sync_request>(frame.payload);
        net::sync_answer response;
        if (request) {
            response = co_await m_relay.answer(std::move(*request));
        }
        reply.type = net::frame_type::sync_answer;
        reply.payload = net::pack_message(response);
    } else if (frame.type == net::frame_type::command) {
        const auto message = net::unpack_message<net::command_message>(frame.payload);
        net::command_answer response{false, "malformed command"};
        if (message) {
            operator_command command{message->name, message->arguments,
                                     [&response](bool ok, std::string text) {
                                         response = {ok, std::move(text)};
                                     }};
            // Prevents a second forwarding: the command is executed here or refused.
            command.arguments.emplace_back("local");
            run_command(command);
        }
        reply.type = net::frame_type::command_answer;
        reply.payload = net::pack_message(response);
    }
    co_return reply;
}

cell_runner* control::find_cell(const core::cell_id& id) {
    const auto entry = m_cells.find(id);
    return entry == m_cells.end() ? nullptr : entry->second.get();
}

void control::consume(control_report& report) {
    if (const auto* slice = std::get_if<slice_drained>(&report)) {
        if (auto* runner = find_cell(slice->cell)) {
            runner->on_drained(slice->server, slice->slice);
        }
    } else if (const auto* server = std::get_if<server_drained>(&report)) {
        if (auto* runner = find_cell(server->cell)) {
            runner->on_server_drained(server->server);
        }
    } else if (const auto* load = std::get_if<load_report>(&report)) {
        if (auto* runner = find_cell(load->cell)) {
            runner->on_load(*load);
        }
    } else if (std::holds_alternative<traffic_idle>(report)) {
        m_traffic_idle = true;
    }
}

cell_dependencies control::make_cell_dependencies() {
    return {m_context,
            m_links,
            m_store,
            m_self,
            [this]() -> const routing_view& { return *m_view; },
            [this] { return m_leaving; },
            [this](const std::string& instance) {
                const auto failure = m_last_failures.find(instance);
                return failure != m_last_failures.end() && now() - failure->second < unreachable_period;
            },
            [this](const std::string& instance, bool reachable) {
                if (reachable) {
                    m_last_failures.erase(instance);
                } else {
                    m_last_failures[instance] = now();
                }
            },
            [this](const core::cell_id& id, const core::cell_table& table) {
                m_relay.publish(cell_table_value(id, table));
            },
            [this](const core::cell_id& id, const core::cell_table& table, const core::instance_id& to) {
                const auto instance = m_view->instances.find(to);
                if (instance != m_view->instances.end()) {
                    m_relay.send_directly(instance->second.peer(), cell_table_value(id, table));
                }
            },
            [this](const homes_update& update) { m_to_traffic->push(update); },
            [this] { return ++m_last_unique_number; }};
}

void control::leave(std::function<void()> done) {
    m_leaving = true;
    announce();
    m_to_traffic->push(close_connections{});
    for (auto& [id, runner] : m_cells) {
        runner->leave();
    }
    net::spawn(m_context, wait_for_handover(std::move(done)));
}

awaitable<void> control::wait_for_handover(std::function<void()> done) {
    const auto deadline = now() + m_settings.limits.drain_time;
    const auto any_cell_busy = [this] {
        return std::any_of(m_cells.begin(), m_cells.end(),
                           [](const auto& c) { return c.second->has_duties(); });
    };
    const auto earliest_stop = now() + min_close_time;
    while ((any_cell_busy() || now() < earliest_stop) && now() < deadline) {
        co_await net::wait_for(core::milliseconds(20));
    }
    m_to_traffic->push(stop_accepting{});
    while (!m_traffic_idle && now() < deadline) {
        co_await net::wait_for(core::milliseconds(20));
    }
    if (any_cell_busy() || !m_traffic_idle) {
        telemetry::log(event::drain_deadline, {});
    }
    done();
}

awaitable<void> control::run_status_loop() {
    auto next_update = now();
    for (;;) {
        if (m_status_requested.exchange(false)) {
            std::atomic_store(&m_status, std::make_shared<const std::string>(status_json()));
        }
        if (now() < next_update) {
            co_await net::wait_for(status_request_poll_interval);
            continue;
        }
        next_update = now() + status_interval;
        set_cell_gauges();
        const auto& store_calls = m_store.calls();
        m_metrics.store_reads.Set(static_cast<double>(store_calls.reads));
        m_metrics.store_writes.Set(static_cast<double>(store_calls.writes));
        m_metrics.store_failures.Set(static_cast<double>(store_calls.failures));
        const auto& outgoing = m_links.traffic();
        m_metrics.control_bytes_sent.Set(
            static_cast<double>(outgoing.bytes_sent + m_accepted_traffic.bytes_sent));
        m_metrics.control_bytes_received.Set(
            static_cast<double>(outgoing.bytes_received + m_accepted_traffic.bytes_received));
        m_metrics.protocol_errors.Set(
            static_cast<double>(outgoing.protocol_errors + m_accepted_traffic.protocol_errors));
        update_store_state(m_store.out());
        accept_callers_when_ready();
    }
}

void control::accept_callers_when_ready() {
    if (m_ready || m_leaving || m_config_version == 0 || m_view->members->version == 0) {
        return;
    }
    const bool have_all_tables = std::all_of(m_cells.begin(), m_cells.end(), [](const auto& c) {
        return c.second->home().table().version != core::epoch{};
    });
    if (have_all_tables || now() - m_config_applied_at > max_table_wait) {
        m_ready = true;
        m_to_traffic->push(start_accepting{});
    }
}

void control::update_store_state(bool unavailable) {
    if (unavailable != m_store_unavailable) {
        m_store_unavailable = unavailable;
        telemetry::log(unavailable ? event::store_unavailable : event::store_recovered, {});
    }
}

} // namespace balsampost::daemon
