// The control thread: operator commands, per-cell metrics and the JSON for /status.
#include "control.h"

#include <nlohmann/json.hpp>

namespace balsampost::daemon {

using net::awaitable;
using net::now;

namespace {

constexpr core::milliseconds forward_timeout{2000};

/// An operator command and the number of arguments it requires.
struct command_syntax {
    const char* name;
    std::size_t argument_count;
    const char* usage;
};

constexpr command_syntax move_syntax{"move", 3, "move SERVICE SLICE SERVER"};
constexpr command_syntax explain_syntax{"explain", 2, "explain SERVICE KEY"};

} // namespace

void control::consume(operator_command& command) {
    run_command(command);
}

void control::run_command(operator_command& command) {
    if (command.name == move_syntax.name) {
        run_move(command);
    } else if (command.name == explain_syntax.name) {
        run_explain(command);
    } else {
        command.reply(false, "unknown command '" + command.name + "'");
    }
}

void control::run_explain(operator_command& command) {
    if (command.arguments.size() < explain_syntax.argument_count) {
        command.reply(false, std::string("usage: ") + explain_syntax.usage);
        return;
    }
    const auto& service = command.arguments[0];
    const auto config = m_view->objects->services.find(service);
    if (config == m_view->objects->services.end()) {
        command.reply(false, "there is no service '" + service + "'");
        return;
    }
    if (!config->second.divided_by_key) {
        command.reply(true, service + " is not divided by key: any of its servers may answer");
        return;
    }
    const auto slice = core::slice_of(command.arguments[1], config->second.slices);
    const core::cell_id id{service, core::cell_of_slice(slice, config->second.slices, config->second.cells)};
    auto* runner = find_cell(id);
    std::string text = "key " + command.arguments[1] + " is in slice " + std::to_string(slice) + " of cell " +
                       core::to_string(id);
    if (runner == nullptr || !runner->home().table().holds_slice(slice)) {
        command.reply(true, text + ", but this instance has not received the cell's table yet");
        return;
    }
    const auto& table = runner->home().table();
    const auto& owned = table.slice_at(slice);
    const auto* row = table.find(owned.owner);
    text += row == nullptr ? ", owned by no server"
                           : ", owned by " + row->name + " since " + core::to_string(owned.owned_since) +
                                 ", through home " + row->home.name;
    text += "; coordinator " + table.holder.name + ", table " + core::to_string(table.version);
    for (const auto& change : runner->coordinator().active() ? runner->coordinator().pending(now())
                                                             : std::vector<core::pending_change>{}) {
        text += "\npending: " + change.what + ", waiting for " + change.waiting_for;
    }
    command.reply(true, text);
}

void control::run_move(operator_command& command) {
    if (command.arguments.size() < move_syntax.argument_count) {
        command.reply(false, std::string("usage: ") + move_syntax.usage);
        return;
    }
    const auto& service = command.arguments[0];
    const auto config = m_view->objects->services.find(service);
    char* end = nullptr;
    const auto slice = static_cast<std::uint32_t>(std::strtoul(command.arguments[1].c_str(), &end, 10));
    if (config == m_view->objects->services.end() || !config->second.divided_by_key) {
        command.reply(false, "there is no service '" + service + "' divided by key");
        return;
    }
    if (*end != '\0' || command.arguments[1].empty() || slice >= config->second.slices) {
        command.reply(false, "'" + command.arguments[1] + "' is not a slice of " + service);
        return;
    }
    const core::cell_id id{service, core::cell_of_slice(slice, config->second.slices, config->second.cells)};
    auto* runner = find_cell(id);
    // The receiver of a forwarded command appends an argument (see handle_frame). Such a command must not be
    // forwarded again: its `reply` is valid only while handle_frame runs.
    const bool forwarded = command.arguments.size() > move_syntax.argument_count;
    if (runner == nullptr) {
        command.reply(false, "cell " + core::to_string(id) + " is not known on this instance yet");
        return;
    }
    const auto holder = runner->home().table().holder;
    if (!forwarded && holder != m_self && m_view->instances.count(holder) != 0) {
        net::spawn(m_context, forward_command(holder, command));
        return;
    }
    const auto refusal = runner->request_move(slice, command.arguments[2]);
    command.reply(refusal.empty(), refusal.empty() ? "planned" : refusal);
}

awaitable<void> control::forward_command(core::instance_id to, operator_command command) {
    const net::command_message message{command.name, command.arguments};
    net::frame f{net::frame_type::command, 0, net::pack_message(message)};
    const auto peer = m_view->instances.at(to).peer();
    const auto answer = co_await m_links.call(peer, std::move(f), now() + forward_timeout);
    if (!answer) {
        command.reply(false, "coordinator " + to.name + " does not answer: " + answer.error().message);
        co_return;
    }
    const auto response = net::unpack_message<net::command_answer>(answer->payload);
    command.reply(response && response->ok, response ? response->text : "malformed answer");
}

void control::set_cell_gauges() {
    double cells_coordinated = 0;
    double servers_homed = 0;
    double ownership_moves = 0;
    for (const auto& [id, runner] : m_cells) {
        cells_coordinated += runner->coordinator().active() ? 1 : 0;
        servers_homed += static_cast<double>(runner->home().homed_count());
        ownership_moves += static_cast<double>(runner->coordinator().moves_total());
    }
    m_metrics.cells_coordinated.Set(cells_coordinated);
    m_metrics.servers_homed.Set(servers_homed);
    m_metrics.ownership_moves.Set(ownership_moves);
}

std::string control::status_json() {
    nlohmann::ordered_json root;
    root["instance"] = core::to_string(m_self);
    root["region"] = m_settings.instance.region;
    root["failure_domain"] = m_settings.instance.failure_domain;
    root["leaving"] = m_leaving;
    root["config_version"] = m_config_version;
    root["members_version"] = m_view->members->version;
    root["store_out"] = m_store.out();
    const auto position = m_relay.position();
    root["relay_parent"] = position.parent ? core::to_string(*position.parent) : "none";
    root["instances"] = nlohmann::ordered_json::array();
    for (const auto& [id, instance] : m_view->instances) {
        root["instances"].push_back({{"id", core::to_string(id)},
                                     {"region", instance.region},
                                     {"failure_domain", instance.failure_domain},
                                     {"leaving", instance.leaving},
                                     {"config_version", instance.config_version}});
    }
    root["cells"] = nlohmann::ordered_json::array();
    for (const auto& [id, runner] : m_cells) {
        const auto& lease = runner->lease();
        const auto& table = runner->home().table();
        const bool coordinates = runner->coordinator().active();
        nlohmann::ordered_json entry{{"cell", core::to_string(id)},
                                     {"coordinates_here", coordinates},
                                     {"holder", table.holder.name},
                                     {"standby", table.standby.name},
                                     {"lease_holder", core::to_string(lease.known().holder)},
                                     {"lease_standby", core::to_string(lease.known().standby)},
                                     {"term", lease.known().term},
                                     {"table_version", core::to_string(table.version)}};
        for (const auto& row : table.servers) {
            std::size_t owned = 0;
            for (const auto& slice : table.slices) {
                owned += slice.owner == row.number ? 1 : 0;
            }
            entry["servers"].push_back({{"name", row.name}, {"home", row.home.name}, {"slices", owned}});
        }
        if (coordinates) {
            for (const auto& change : runner->coordinator().pending(now())) {
                entry["pending"].push_back({{"what", change.what}, {"waiting_for", change.waiting_for}});
            }
        }
        root["cells"].push_back(std::move(entry));
    }
    return root.dump(1);
}

} // namespace balsampost::daemon
