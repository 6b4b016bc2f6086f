// The control thread's start, exchanges and shutdown.
#include "control.h"

#include "balsampost/telemetry/log.h"

#include <algorithm>

namespace balsampost::daemon {

using net::awaitable;
using net::now;
using telemetry::event;

namespace {

constexpr std::size_t idle_control_links = 8;
constexpr core::milliseconds handshake_time{2000};
/// An instance that could not be reached is not chosen for this long.
constexpr core::milliseconds unreachable_memory{1000};
constexpr core::milliseconds status_interval{100};
/// How soon a status that was asked for is made.
constexpr core::milliseconds status_tick{20};
/// A leaving instance accepts callers for at least this long, each answer closing its connection, so that the
/// platform's balancer learns of it and idle connections are used up.
constexpr core::milliseconds close_grace{1000};
/// A starting instance that has its objects waits this long for every cell's table before it accepts callers.
constexpr core::milliseconds table_patience{3000};
/// Room for this many numbers a run; incarnations are nanoseconds, so runs do not collide.
constexpr unsigned number_bits = 20;

} // namespace

control::control(const settings& config, core::instance_id self, metrics& measured)
    : m_settings(config), m_self(std::move(self)), m_metrics(measured),
      m_links({m_self, config.keys()}, idle_control_links), m_store(config.platform.addresses),
      m_relay(
          m_context, m_links, m_self.name, config.instance.region,
          [this](const core::versioned_value& value) { value_changed(value); },
          [this](const std::string& name) { return keeps(name); }),
      m_view(std::make_shared<routing_view>()), m_next_number(m_self.incarnation << number_bits),
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
    net::spawn(m_context, keep_status());
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
                                          now() + handshake_time);
    if (!link) {
        const auto code = link.error().code == core::error_code::protocol ? event::peer_broke_protocol
                                                                          : event::peer_refused;
        telemetry::log(code, {{"reason", link.error().message}});
        co_return;
    }
    const auto broken = m_accepted_traffic.protocol_errors;
    co_await net::serve_link(
        *link, [this](const core::instance_id& from, net::frame f) { return answer(from, std::move(f)); });
    if (m_accepted_traffic.protocol_errors != broken) {
        telemetry::log(event::peer_broke_protocol, {{"peer", core::to_string((*link)->peer())}});
    }
}

awaitable<net::frame> control::answer(const core::instance_id& from, net::frame f) {
    net::frame reply{net::frame_type::pong, f.request, ""};
    if (f.type == net::frame_type::promise_request) {
        const auto request = net::unpack_message<net::promise_request>(f.payload);
        net::promise_answer said;
        if (request && request->lease.holder == from) {
            if (auto* runner = cell(request->cell)) {
                said = runner->on_promise_request(*request);
            }
        }
        reply.type = net::frame_type::promise_answer;
        reply.payload = net::pack_message(said);
    } else if (f.type == net::frame_type::heartbeat) {
        const auto beat = net::unpack_message<core::home_heartbeat>(f.payload);
        core::home_reply said;
        if (beat && beat->home == from) {
            if (auto* runner = cell(beat->cell)) {
                said = runner->on_heartbeat(*beat);
            }
        }
        reply.type = net::frame_type::heartbeat_answer;
        reply.payload = net::pack_message(said);
    } else if (f.type == net::frame_type::sync) {
        auto request = net::unpack_message<net::sync_request>(f.payload);
        net::sync_answer said;
        if (request) {
            said = co_await m_relay.answer(std::move(*request));
        }
        reply.type = net::frame_type::sync_answer;
        reply.payload = net::pack_message(said);
    } else if (f.type == net::frame_type::command) {
        const auto given = net::unpack_message<net::command_message>(f.payload);
        net::command_answer said{false, "malformed command"};
        if (given) {
            operator_command command{given->name, given->arguments, [&said](bool ok, std::string text) {
                                         said = {ok, std::move(text)};
                                     }};
            command.arguments.emplace_back("local"); // Carried out here or refused, never passed on again.
            run_command(command);
        }
        reply.type = net::frame_type::command_answer;
        reply.payload = net::pack_message(said);
    }
    co_return reply;
}

cell_runner* control::cell(const core::cell_id& id) {
    const auto at = m_cells.find(id);
    return at == m_cells.end() ? nullptr : at->second.get();
}

void control::consume(control_report& report) {
    if (const auto* drained = std::get_if<slice_drained>(&report)) {
        if (auto* runner = cell(drained->cell)) {
            runner->on_drained(drained->server, drained->slice);
        }
    } else if (const auto* whole = std::get_if<server_drained>(&report)) {
        if (auto* runner = cell(whole->cell)) {
            runner->on_server_drained(whole->server);
        }
    } else if (const auto* load = std::get_if<load_report>(&report)) {
        if (auto* runner = cell(load->cell)) {
            runner->on_load(*load);
        }
    } else if (std::holds_alternative<traffic_idle>(report)) {
        m_traffic_idle = true;
    }
}

cell_dependencies control::surroundings() {
    return {m_context,
            m_links,
            m_store,
            m_self,
            [this]() -> const routing_view& { return *m_view; },
            [this] { return m_leaving; },
            [this](const std::string& instance) {
                const auto at = m_unreachable.find(instance);
                return at != m_unreachable.end() && now() - at->second < unreachable_memory;
            },
            [this](const std::string& instance, bool reachable) {
                if (reachable) {
                    m_unreachable.erase(instance);
                } else {
                    m_unreachable[instance] = now();
                }
            },
            [this](const core::cell_id& id, const core::cell_table& table) {
                m_relay.publish(cell_value(id, table));
            },
            [this](const core::cell_id& id, const core::cell_table& table, const core::instance_id& to) {
                const auto at = m_view->instances.find(to);
                if (at != m_view->instances.end()) {
                    m_relay.send_directly(at->second.peer(), cell_value(id, table));
                }
            },
            [this](const homes_update& update) { m_to_traffic->push(update); },
            [this] { return ++m_next_number; }};
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
    const auto has_duties = [this] {
        return std::any_of(m_cells.begin(), m_cells.end(),
                           [](const auto& c) { return c.second->has_duties(); });
    };
    const auto grace = now() + close_grace;
    while ((has_duties() || now() < grace) && now() < deadline) {
        co_await net::wait_for(core::milliseconds(20));
    }
    m_to_traffic->push(stop_accepting{});
    while (!m_traffic_idle && now() < deadline) {
        co_await net::wait_for(core::milliseconds(20));
    }
    if (has_duties() || !m_traffic_idle) {
        telemetry::log(event::drain_deadline, {});
    }
    done();
}

awaitable<void> control::keep_status() {
    auto next = now();
    for (;;) {
        if (m_status_asked.exchange(false)) {
            std::atomic_store(&m_status, std::make_shared<const std::string>(status_json()));
        }
        if (now() < next) {
            co_await net::wait_for(status_tick);
            continue;
        }
        next = now() + status_interval;
        set_cell_gauges();
        const auto& calls = m_store.calls();
        m_metrics.store_reads.Set(static_cast<double>(calls.reads));
        m_metrics.store_writes.Set(static_cast<double>(calls.writes));
        m_metrics.store_failures.Set(static_cast<double>(calls.failures));
        const auto& out = m_links.traffic();
        m_metrics.control_bytes_sent.Set(static_cast<double>(out.bytes_sent + m_accepted_traffic.bytes_sent));
        m_metrics.control_bytes_received.Set(
            static_cast<double>(out.bytes_received + m_accepted_traffic.bytes_received));
        m_metrics.protocol_errors.Set(
            static_cast<double>(out.protocol_errors + m_accepted_traffic.protocol_errors));
        store_state(m_store.out());
        open_for_callers();
    }
}

void control::open_for_callers() {
    if (m_ready || m_leaving || m_config_version == 0 || m_view->members->version == 0) {
        return;
    }
    const bool tables = std::all_of(m_cells.begin(), m_cells.end(), [](const auto& c) {
        return c.second->home().table().version != core::epoch{};
    });
    if (tables || now() - m_config_since > table_patience) {
        m_ready = true;
        m_to_traffic->push(start_accepting{});
    }
}

void control::store_state(bool out) {
    if (out != m_store_out) {
        m_store_out = out;
        telemetry::log(out ? event::store_unavailable : event::store_recovered, {});
    }
}

} // namespace balsampost::daemon
