// The assignments of one cell: the owner of each slice and the home of each server. Also the heartbeats by
// which homes report to the cell's coordinator, and its replies.
#pragma once

#include "balsampost/core/identity.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace balsampost::core {

/// Number of a server within one cell's tables. Never reused for another server of the cell.
using server_number = std::uint32_t;
inline constexpr server_number no_server = 0xffff'ffff;

/// A server of the cell and its home.
struct server_row {
    server_number number = no_server;
    std::string name;
    /// The only instance that sends requests to the server; empty if none is assigned.
    instance_id home;
    /// Increases with each change of the home.
    epoch home_since;
    /// The previous home relinquished the server while its lease was still running, and the coordinator has
    /// not seen a later home renew it. The new home must wait for that lease to end before it reports the
    /// server as lapsed.
    bool handed_over = false;

    bool operator==(const server_row&) const = default;
    MSGPACK_DEFINE(number, name, home, home_since, handed_over);
};

/// The owner of a slice.
struct slice_row {
    server_number owner = no_server;
    /// Increases with each change of the owner.
    epoch owned_since;

    bool operator==(const slice_row&) const = default;
    MSGPACK_DEFINE(owner, owned_since);
};

/// One version of a cell's assignments; a later table has a higher version.
struct cell_table {
    epoch version;
    /// The table holds the slices first_slice .. first_slice + slices.size() - 1.
    std::uint32_t first_slice = 0;
    /// Number for the next server to be added; higher than every number in use.
    server_number next_number = 0;
    /// The coordinator that made this version.
    instance_id holder;
    /// The standby of `holder`; empty if there was none.
    instance_id standby;
    /// Ordered by number.
    std::vector<server_row> servers;
    std::vector<slice_row> slices;

    bool operator==(const cell_table&) const = default;
    MSGPACK_DEFINE(version, first_slice, next_number, holder, standby, servers, slices);

    const server_row* find(server_number number) const;
    const server_row* find(const std::string& name) const;
    server_row* find(server_number number);
    bool holds_slice(std::uint32_t slice) const {
        return slice >= first_slice && slice - first_slice < slices.size();
    }
    slice_row& slice_at(std::uint32_t slice) { return slices.at(slice - first_slice); }
    const slice_row& slice_at(std::uint32_t slice) const { return slices.at(slice - first_slice); }
};

/// The empty table of cell `index` of a service with `slices` slices in `cells` cells.
cell_table empty_table(std::uint32_t index, std::uint32_t slices, std::uint32_t cells);

/// A slice and the epoch since which its owner has owned it.
struct owned_slice {
    std::uint32_t slice = 0;
    epoch since;

    auto operator<=>(const owned_slice&) const = default;
    MSGPACK_DEFINE(slice, since);
};

/// State of one server, as its home reports it to the cell's coordinator.
struct server_report {
    std::string name;
    /// Identifies the assignment as home to which the report applies.
    epoch home_since;
    /// The server answered a lease order within the suspect timeout.
    bool responsive = false;
    /// The home grants the server no more leases under `home_since`.
    bool relinquished = false;
    /// Slices that have no owner any more: the server released them, or its lease expired.
    std::vector<owned_slice> released;
    /// Slots in use plus queued requests, in thousandths of the slots.
    std::uint32_t load_permille = 0;

    MSGPACK_DEFINE(name, home_since, responsive, relinquished, released, load_permille);
};

/// Request rate of one slice.
struct slice_load {
    std::uint32_t slice = 0;
    std::uint32_t requests_per_second = 0;

    MSGPACK_DEFINE(slice, requests_per_second);
};

/// Sent by a home to the coordinator every renewal interval and after each change of its reports.
struct home_heartbeat {
    cell_id cell;
    instance_id home;
    /// Version of the table that the home acts on.
    epoch table_version;
    bool leaving = false;
    std::vector<server_report> servers;
    /// The busiest slices; filled once a second, otherwise empty.
    std::vector<slice_load> loads;

    MSGPACK_DEFINE(cell, home, table_version, leaving, servers, loads);
};

/// The coordinator's reply to a heartbeat. The home counts its lease from before it sent the heartbeat.
struct home_reply {
    /// False if the answering instance holds no authority over the cell.
    bool authoritative = false;
    /// If not authoritative: the instance that may hold authority; may be empty.
    instance_id coordinator_hint;
    /// The home may act only on this table version or a later one.
    epoch table_version;
    /// Length of the home's lease in nanoseconds.
    std::int64_t home_lease_ns = 0;
    /// Slices that the home must have released by their servers.
    std::vector<owned_slice> release;
    /// Servers that are to get another home.
    std::vector<std::string> relinquish;

    MSGPACK_DEFINE(authoritative, coordinator_hint, table_version, home_lease_ns, release, relinquish);
};

} // namespace balsampost::core
