// What the threads of the daemon exchange: immutable views one way, small reports the other.
#pragma once

#include "balsampost/core/cell_table.h"
#include "balsampost/core/home_agent.h"
#include "balsampost/core/identity.h"
#include "balsampost/core/objects.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace balsampost::daemon {

/// How an instance introduces itself to the others, through the relay.
struct announcement {
    core::instance_id id;
    std::string region;
    std::string failure_domain;
    std::string peer_address;
    std::uint16_t peer_port = 0;
    std::string data_address;
    std::uint16_t data_port = 0;
    bool leaving = false;
    std::uint64_t config_version = 0; ///< Of the objects in force there.

    MSGPACK_DEFINE(id, region, failure_domain, peer_address, peer_port, data_address, data_port, leaving,
                   config_version);
    core::endpoint peer() const { return {peer_address, peer_port}; }
    core::endpoint data() const { return {data_address, data_port}; }
};

/// Everything that requests are routed by, at one moment. Never changed once shared.
struct routing_view {
    std::shared_ptr<const core::object_set> objects;
    std::shared_ptr<const core::member_list> members;
    std::map<std::string, std::vector<std::shared_ptr<const core::cell_table>>>
        cells; ///< By service, then index.
    std::map<core::instance_id, announcement> instances;
};

using view_ptr = std::shared_ptr<const routing_view>;

/// The servers that this instance is the home of, in one cell.
struct homes_update {
    core::cell_id cell;
    std::vector<core::home_agent::homed_server> servers;
};

/// The objects are in force here: callers may come.
struct start_accepting {};
/// The instance is leaving: each answer closes its connection.
struct close_connections {};
struct stop_accepting {};

/// Control to traffic.
using traffic_order =
    std::variant<std::monostate, view_ptr, homes_update, start_accepting, close_connections, stop_accepting>;

/// A slice has run out at a server, after the home asked for it.
struct slice_drained {
    core::cell_id cell;
    std::string server;
    std::uint32_t slice = 0;
};

/// A server has run out, since it gets another home.
struct server_drained {
    core::cell_id cell;
    std::string server;
};

struct load_report {
    core::cell_id cell;
    std::map<std::string, std::uint32_t> server_permille;
    std::vector<core::slice_load> slices;
};

/// No caller's or peer's request is in flight any more, after `stop_accepting`.
struct traffic_idle {};

/// Traffic to control.
using control_report = std::variant<std::monostate, slice_drained, server_drained, load_report, traffic_idle>;

/// An operator's command, answered through `reply` on the control thread.
struct operator_command {
    std::string name;
    std::vector<std::string> arguments;
    std::function<void(bool ok, std::string text)> reply;
};

} // namespace balsampost::daemon
