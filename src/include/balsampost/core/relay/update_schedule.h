// Order and pace of the updates that a coordinator or relay sends. A burst of changes makes updates of tens
// of kilobytes; sent to all receivers at once, they exceed what the socket and the link take, and the
// receivers at the end of the list get none. Here each waiting receiver has its turn, and the bytes sent keep
// to a rate.
#pragma once

#include "balsampost/core/time.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <string>

namespace balsampost::core::relay {

struct schedule_settings {
    /// Rate to which the updates of this instance keep.
    double bytes_per_s = 1e7;
    /// Bytes that may be sent at once. Small updates to all receivers of a relay fit into it, so that they
    /// cost one wake-up.
    std::size_t burst_bytes = 128U << 10U;
    /// Delay after the socket took no datagram.
    milliseconds blocked_delay{4};
};

/// An instance that gets the updates of one service.
struct update_receiver {
    std::string service;
    std::string instance;

    auto operator<=>(const update_receiver&) const = default;
};

/// Receivers that wait for an update, in the order in which they are served. Updates are built when it is a
/// receiver's turn, so one that waits gets the latest state once, however often it was requested.
class update_schedule {
public:
    explicit update_schedule(schedule_settings settings = {}) : m_settings(settings) {}

    /// A receiver that waits already keeps its place.
    void request(const update_receiver& receiver);
    /// Removes and returns the receiver to serve now; empty if none waits or the rate is used up.
    std::optional<update_receiver> next(time_point now);
    /// Records that a datagram was sent.
    void sent(std::size_t bytes, time_point now);
    /// The socket did not take the update of `receiver`: it is served first after a delay.
    void blocked(const update_receiver& receiver, time_point now);
    /// When `next` may return a receiver again; `time_point::max()` if none waits.
    time_point next_due(time_point now) const;
    std::size_t waiting() const { return m_waiting.size(); }

private:
    double credit(time_point now) const;

    schedule_settings m_settings;
    std::deque<update_receiver> m_order; // Each receiver once; the same elements as m_waiting.
    std::set<update_receiver> m_waiting;
    double m_credit = 0; // In bytes, as of m_credit_at; negative after a datagram larger than the credit.
    time_point m_credit_at = never;
    time_point m_blocked_until = never;
};

} // namespace balsampost::core::relay
