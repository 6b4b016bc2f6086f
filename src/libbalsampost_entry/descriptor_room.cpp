// Limits of the system applied to the settings, and the count of open sockets.
#include "balsampost/entry/descriptor_room.h"

#include "balsampost/net/process_limits.h"
#include "balsampost/telemetry/log.h"

#include <algorithm>
#include <limits>

namespace balsampost::entry {

namespace {

constexpr unsigned mebibyte_bits = 20;

std::string text_of(const std::optional<std::uint64_t>& amount) {
    return amount ? std::to_string(*amount) : "none";
}

std::string mebibytes_of(const std::optional<std::uint64_t>& bytes) {
    return bytes ? std::to_string(*bytes >> mebibyte_bits) : "none";
}

/// Returns the bytes as whole mebibytes, at least one.
std::uint32_t whole_mebibytes(std::uint64_t bytes) {
    return static_cast<std::uint32_t>(
        std::clamp<std::uint64_t>(bytes >> mebibyte_bits, 1, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

void bound_by_system(resource_settings& s) {
    const auto granted = net::raise_and_read_limits();
    const auto stated = s;
    const auto limits = core::limits_in_force(
        {s.descriptors, static_cast<std::uint64_t>(s.memory_mb) << mebibyte_bits}, granted);
    s.descriptors = static_cast<std::uint32_t>(limits.descriptors);
    s.memory_mb = whole_mebibytes(limits.memory_bytes);
    telemetry::log(telemetry::event::limits_in_force,
                   {{"descriptors", std::to_string(s.descriptors)},
                    {"descriptors_stated", std::to_string(stated.descriptors)},
                    {"descriptors_granted", text_of(granted.descriptors)},
                    {"memory_mb", std::to_string(s.memory_mb)},
                    {"memory_mb_stated", std::to_string(stated.memory_mb)},
                    {"address_space_mb", mebibytes_of(granted.address_space)},
                    {"data_segment_mb", mebibytes_of(granted.data_segment)},
                    {"group_memory_mb", mebibytes_of(granted.group_memory)},
                    {"machine_memory_mb", mebibytes_of(granted.machine_memory)}});
}

bool descriptor_room::has_room(core::descriptor_use use) const {
    core::descriptor_counts open{};
    for (std::size_t i = 0; i < core::descriptor_uses; ++i) {
        open[i] = m_counters[i] ? m_counters[i]() : 0;
    }
    return core::has_room(m_split, open, use);
}

} // namespace balsampost::entry
