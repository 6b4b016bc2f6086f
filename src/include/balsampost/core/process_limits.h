// Limits of descriptors and memory: the least of what the settings state and what the system grants, and the
// rule by which the descriptors are split among a router's uses.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace balsampost::core {

struct process_limits {
    std::uint64_t descriptors = 0;
    std::uint64_t memory_bytes = 0;
};

/// What the system grants; a value that could not be read or has no limit is absent.
struct granted_limits {
    std::optional<std::uint64_t> descriptors;
    /// All in bytes.
    std::optional<std::uint64_t> address_space;
    std::optional<std::uint64_t> data_segment;
    std::optional<std::uint64_t> group_memory;
    std::optional<std::uint64_t> machine_memory;
};

/// Returns the limits to keep to: each is the least of the known values.
process_limits limits_in_force(const process_limits& stated, const granted_limits& granted);

/// What a socket is used for.
enum class descriptor_use : std::uint8_t {
    callers,
    readiness,
    metrics,
    servers, ///< Requests of callers.
    control, ///< The store, orders and probes.
};

constexpr std::size_t descriptor_uses = 5;

/// Number of descriptors by use.
using descriptor_counts = std::array<std::uint64_t, descriptor_uses>;

constexpr std::size_t index_of(descriptor_use use) {
    return static_cast<std::size_t>(use);
}

/// Each use keeps its reserve even when it does not use it; what is left belongs to whoever comes first.
struct descriptor_split {
    /// Descriptors for all sockets that come and go. The rest is for files, listeners and datagrams.
    std::uint64_t sockets = 0;
    descriptor_counts reserved{};
};

descriptor_split split_descriptors(std::uint64_t descriptors);

/// Whether `use` may open one more socket besides those that are open.
bool has_room(const descriptor_split& split, const descriptor_counts& open, descriptor_use use);

/// Maximum number of sockets for `use`: all but the reserves of the others.
std::uint64_t max_sockets(const descriptor_split& split, descriptor_use use);

} // namespace balsampost::core
