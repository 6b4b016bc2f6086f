// The order in which callers' connections are closed when memory or descriptors run out.
#pragma once

#include "balsampost/core/time.h"

#include <cstdint>
#include <span>
#include <vector>

namespace balsampost::core::memory {

enum class activity : std::uint8_t {
    idle,             ///< No request is read, in flight or answered.
    waits_for_caller, ///< Part of a request has arrived, or an answer is not taken.
    busy,             ///< A request is in flight.
};

enum class closing_cause : std::uint8_t { idle, slow, largest };

/// A connection that may be closed.
struct candidate {
    activity what = activity::busy;
    std::uint64_t bytes = 0;
    std::uint64_t rate = 0;     ///< Bytes per second, while it waits for the caller.
    time_point rate_since{};    ///< Start of the time over which the rate is taken.
    time_point last_progress{}; ///< Since when it is idle, or when the caller last sent or took a byte.
};

struct closing_choice {
    std::size_t index = 0; ///< Of the candidate.
    closing_cause cause = closing_cause::idle;
};

/// An idle connection that had a request less than this time ago is likely to get another, and a caller that
/// sent or took a byte less than this time ago goes on.
inline constexpr milliseconds min_quiet_time{1'000};
/// A caller with a lower rate is slow; the slowest links that callers are expected on carry several times as
/// much.
inline constexpr std::uint64_t slow_bytes_per_second = 16U << 10U;

/// Orders candidates: idle ones by the longest time, then those that wait for a caller who is quiet or slow,
/// by the lowest rate, then, for `larger_than` bytes only, the others by their size.
std::vector<closing_choice> closing_order(std::span<const candidate> candidates, time_point now,
                                          std::uint64_t larger_than);
/// As `closing_order`, without those that are closed for their size.
std::vector<closing_choice> closing_order_without_largest(std::span<const candidate> candidates,
                                                          time_point now);

} // namespace balsampost::core::memory
