// Limits of what callers may hold and how slow they may be, and the report of connections that are closed for
// them.
#pragma once

#include "balsampost/core/memory/account.h"
#include "balsampost/core/memory/closing_order.h"
#include "balsampost/core/memory/progress.h"
#include "balsampost/entry/settings.h"

#include <array>
#include <memory>

namespace balsampost::entry {

class entry_metrics;

/// Returns the account's limits for an instance with these settings.
core::memory::account_limits memory_limits_of(const settings& s);
core::memory::progress_rule progress_rule_of(const settings& s);

/// Memory of a header section of `fields` fields and `bytes` bytes of text. The parser allocates a node for
/// each field.
constexpr std::uint64_t header_memory(std::uint64_t fields, std::uint64_t bytes) {
    constexpr std::uint64_t node_bytes = 80;
    return fields * node_bytes + bytes;
}

/// Why a caller's connection was closed or its request refused.
enum class caller_limit : std::uint8_t {
    idle,
    slow,
    largest,
    connection_memory,
    address_memory,
    total_memory,
    rate
};
inline constexpr std::size_t caller_limits_count = 7;
const char* to_string(caller_limit cause);
caller_limit limit_of(core::memory::closing_cause cause);
caller_limit limit_of(core::memory::charge_result result);

/// Counts closed connections by cause. Logs one line for a crowd: the first at once, then what came since, at
/// most once in an interval.
class closing_report {
public:
    explicit closing_report(entry_metrics& metrics) : m_metrics(metrics) {}
    void note(caller_limit cause, std::size_t requests_cut = 0);

private:
    entry_metrics& m_metrics;
    std::array<std::uint64_t, caller_limits_count> m_unlogged{};
    std::uint64_t m_unlogged_requests = 0;
    core::time_point m_next_line = core::never;
};

} // namespace balsampost::entry
