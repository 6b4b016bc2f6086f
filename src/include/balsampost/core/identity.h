// Identities of instances, backend servers and cells, and the epochs that order changes.
#pragma once

#include "balsampost/core/ini.h"

#include <msgpack.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace balsampost::core {

/// One run of a daemon. A restart under the same name is another instance: it has no record of the promises
/// granted by the earlier run, so the two must not be confused.
struct instance_id {
    std::string name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const instance_id&) const = default;
    bool empty() const { return name.empty(); }
    MSGPACK_DEFINE(name, incarnation);
};

std::string to_string(const instance_id& id);

/// A fencing token. `term` increases with each change of a cell's coordinator, `sequence` with each change
/// made by one coordinator; compared in that order.
struct epoch {
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const epoch&) const = default;
    MSGPACK_DEFINE(term, sequence);
};

std::string to_string(const epoch& e);

/// A bounded set of slices and servers of one service, with one coordinator.
struct cell_id {
    std::string service;
    std::uint32_t index = 0;

    auto operator<=>(const cell_id&) const = default;
    MSGPACK_DEFINE(service, index);
};

std::string to_string(const cell_id& id);

enum class member_state : std::uint8_t { live, leaving };

/// An instance in the platform's member list.
struct instance_record {
    std::string name;
    std::string region;
    std::string failure_domain;
    std::string peer_address;
    std::uint16_t peer_port = 0;
    member_state state = member_state::live;

    auto operator<=>(const instance_record&) const = default;
    endpoint peer() const { return {peer_address, peer_port}; }
    MSGPACK_DEFINE(name, region, failure_domain, peer_address, peer_port, state);
};

/// A backend server in the platform's member list.
struct server_record {
    std::string name;
    std::string service;
    std::string region;
    std::string failure_domain;
    std::string address;
    std::uint16_t port = 0;
    member_state state = member_state::live;

    auto operator<=>(const server_record&) const = default;
    endpoint location() const { return {address, port}; }
    MSGPACK_DEFINE(name, service, region, failure_domain, address, port, state);
};

/// One version of the platform's member list. The list lags behind: it may still contain a member that has
/// failed, and not yet contain one that is running.
struct member_list {
    std::uint64_t version = 0;
    std::vector<instance_record> instances;
    std::vector<server_record> servers;

    MSGPACK_DEFINE(version, instances, servers);
    const instance_record* find_instance(const std::string& name) const;
    const server_record* find_server(const std::string& name) const;
};

/// 64-bit XXH3 of `text`.
std::uint64_t hash_of(std::string_view text);

/// The slice that `key` falls into; `slices` is a power of two.
std::uint32_t slice_of(std::string_view key, std::uint32_t slices);

/// The cell that holds `slice`. Cells are contiguous ranges, so that a cell's slices are known without a
/// table.
std::uint32_t cell_of_slice(std::uint32_t slice, std::uint32_t slices, std::uint32_t cells);

/// Rank of `name` for `subject` in rendezvous hashing; the highest rank is preferred.
std::uint64_t rendezvous_rank(std::string_view subject, std::string_view name);

} // namespace balsampost::core

MSGPACK_ADD_ENUM(balsampost::core::member_state);
