// Messages between the daemon's threads: immutable views and orders from control to traffic, reports from
// traffic to control, and operator commands from admin to control.
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

/// An instance's addresses and state, published to the other instances through the relay.
struct announcement {
    core::instance_id id;
    std::string region;
    std::string failure_domain;
    std::string peer_address;
    std::uint16_t peer_port = 0;
    std::string data_address;
    std::uint16_t data_port = 0;
    bool leaving = false;
    std::uint64_t config_version = 0; ///< Version of the configuration in force on that instance.

    MSGPACK_DEFINE(id, region, failure_domain, peer_address, peer_port, data_address, data_port, leaving,
                   config_version);
    core::endpoint peer() const { return {peer_address, peer_port}; }
    core::endpoint data() const { return {data_address, data_port}; }
};

/// A snapshot of all data that requests are routed by. Must not be modified once it is shared with another
/// thread.
struct routing_view {
    std::shared_ptr<const core::object_set> objects;
    std::shared_ptr<const core::member_list> members;
    /// Tables by service name, then cell index; null for a cell whose table is not known.
    std::map<std::string, std::vector<std::shared_ptr<const core::cell_table>>> cells;
    std::map<core::instance_id, announcement> instances;
};

using view_ptr = std::shared_ptr<const routing_view>;

/// The servers of one cell that this instance is the home of.
struct homes_update {
    core::cell_id cell;
    std::vector<core::home_agent::homed_server> servers;
};

/// Starts accepting callers: the configuration is in force on this instance.
struct start_accepting {};
/// Closes each caller connection after its next answer, because the instance is leaving.
struct close_connections {};
/// Stops accepting callers. Traffic sends `traffic_idle` once no request is in flight.
struct stop_accepting {};

/// A message from the control thread to the traffic thread.
using traffic_order =
    std::variant<std::monostate, view_ptr, homes_update, start_accepting, close_connections, stop_accepting>;

/// A server runs no request of the slice any more, after the home started to drain the slice.
struct slice_drained {
    core::cell_id cell;
    std::string server;
    std::uint32_t slice = 0;
};

/// A server runs no request of this home any more. The home drains it when the server moves to another home.
struct server_drained {
    core::cell_id cell;
    std::string server;
};

/// Recent load of the servers and slices of a cell, measured at this home.
struct load_report {
    core::cell_id cell;
    std::map<std::string, std::uint32_t> server_permille;
    std::vector<core::slice_load> slices;
};

/// No request of a caller or peer is in flight any more. Sent after `stop_accepting`.
struct traffic_idle {};

/// A message from the traffic thread to the control thread.
using control_report = std::variant<std::monostate, slice_drained, server_drained, load_report, traffic_idle>;

/// An operator's command. The control thread calls `reply` once with the result.
struct operator_command {
    std::string name;
    std::vector<std::string> arguments;
    std::function<void(bool ok, std::string text)> reply;
};

} // namespace balsampost::daemon
