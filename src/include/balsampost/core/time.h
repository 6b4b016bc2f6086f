// Time types of the core library. Callers pass in readings of a monotonic clock; the core reads no clock
// itself, so that every decision can be replayed.
#pragma once

#include <chrono>
#include <cstdint>

namespace balsampost::core {

using std::chrono::milliseconds;
using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A point before every reading of the clock; means "never granted".
inline constexpr time_point never = time_point::min();

/// `start + length`, or `never` if `start` is `never`.
constexpr time_point after(time_point start, duration length) {
    return start == never ? never : start + length;
}

/// Whole milliseconds from `from` to `to`; negative if `to` is earlier.
constexpr std::int64_t milliseconds_between(time_point from, time_point to) {
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

} // namespace balsampost::core
