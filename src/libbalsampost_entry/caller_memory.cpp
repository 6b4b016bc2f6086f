// Limits from the settings, and the line for a crowd.
#include "balsampost/entry/caller_memory.h"

#include "balsampost/entry/entry_metrics.h"
#include "balsampost/net/asio.h"
#include "balsampost/telemetry/log.h"

namespace balsampost::entry {

namespace {

constexpr core::milliseconds line_interval{10'000};

std::uint64_t part_of_memory(const settings& s, std::uint32_t percent) {
    return (static_cast<std::uint64_t>(s.resources.memory_mb) << 20U) / 100 * percent;
}

} // namespace

core::memory::account_limits memory_limits_of(const settings& s) {
    return {part_of_memory(s, s.limits.memory_percent), part_of_memory(s, s.limits.connection_percent),
            part_of_memory(s, s.limits.address_percent)};
}

core::memory::progress_rule progress_rule_of(const settings& s) {
    return {s.limits.min_rate, s.limits.rate_window};
}

const char* to_string(caller_limit cause) {
    constexpr std::array<const char*, caller_limits_count> names{
        "idle", "slow", "largest", "connection_memory", "address_memory", "total_memory", "rate"};
    return names[static_cast<std::size_t>(cause)];
}

caller_limit limit_of(core::memory::closing_cause cause) {
    return static_cast<caller_limit>(cause); // The first enumerators are the same.
}

caller_limit limit_of(core::memory::charge_result result) {
    switch (result) {
    case core::memory::charge_result::connection_full:
        return caller_limit::connection_memory;
    case core::memory::charge_result::address_full:
        return caller_limit::address_memory;
    default:
        return caller_limit::total_memory;
    }
}

void closing_report::note(caller_limit cause, std::size_t requests_cut) {
    m_metrics.caller_limited(cause);
    ++m_unlogged[static_cast<std::size_t>(cause)];
    m_unlogged_requests += requests_cut;
    const auto at = net::now();
    if (at < m_next_line) {
        return;
    }
    m_next_line = at + line_interval;
    std::string counts;
    for (std::size_t i = 0; i < caller_limits_count; ++i) {
        if (const auto n = std::exchange(m_unlogged[i], 0); n > 0) {
            counts.append(counts.empty() ? "" : ", ");
            counts.append(to_string(static_cast<caller_limit>(i))).append(" ").append(std::to_string(n));
        }
    }
    telemetry::log(telemetry::event::callers_limited,
                   {{"causes", counts}, {"requests", std::to_string(std::exchange(m_unlogged_requests, 0))}});
}

} // namespace balsampost::entry
