// Groups of connections and their order within a group.
#include "balsampost/core/memory/closing_order.h"

#include <algorithm>
#include <limits>

namespace balsampost::core::memory {

namespace {

closing_cause cause_for(const candidate& c, time_point now) {
    const bool quiet = c.last_progress + min_quiet_time <= now;
    if (c.what == activity::idle && quiet) {
        return closing_cause::idle;
    }
    const bool slow = c.rate_since + min_quiet_time <= now && c.rate < slow_bytes_per_second;
    return c.what == activity::waits_for_caller && (quiet || slow) ? closing_cause::slow
                                                                   : closing_cause::largest;
}

/// Whether `a` is closed before `b`, which has the same cause.
bool before(const candidate& a, const candidate& b, closing_cause cause) {
    if (cause == closing_cause::largest) {
        return a.bytes > b.bytes;
    }
    if (cause == closing_cause::slow && a.rate != b.rate) {
        return a.rate < b.rate;
    }
    return a.last_progress < b.last_progress;
}

} // namespace

std::vector<closing_choice> closing_order(std::span<const candidate> candidates, time_point now,
                                          std::uint64_t larger_than) {
    std::vector<closing_choice> out;
    out.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto cause = cause_for(candidates[i], now);
        if (cause != closing_cause::largest || candidates[i].bytes > larger_than) {
            out.push_back({i, cause});
        }
    }
    std::sort(out.begin(), out.end(), [&](const closing_choice& a, const closing_choice& b) {
        return a.cause != b.cause ? a.cause < b.cause
                                  : before(candidates[a.index], candidates[b.index], a.cause);
    });
    return out;
}

std::vector<closing_choice> closing_order_without_largest(std::span<const candidate> candidates,
                                                          time_point now) {
    return closing_order(candidates, now, std::numeric_limits<std::uint64_t>::max());
}

} // namespace balsampost::core::memory
