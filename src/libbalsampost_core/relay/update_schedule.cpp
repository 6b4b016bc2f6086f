// First-in-first-out order of receivers, and a token bucket in bytes.
#include "balsampost/core/relay/update_schedule.h"

#include <algorithm>
#include <cmath>

namespace balsampost::core::relay {

void update_schedule::request(const update_receiver& receiver) {
    if (m_waiting.insert(receiver).second) {
        m_order.push_back(receiver);
    }
}

double update_schedule::credit(time_point now) const {
    const auto burst = static_cast<double>(m_settings.burst_bytes);
    if (m_credit_at == never) {
        return burst;
    }
    const auto elapsed = std::max(std::chrono::duration<double>(now - m_credit_at).count(), 0.0);
    return std::min(burst, m_credit + elapsed * m_settings.bytes_per_s);
}

std::optional<update_receiver> update_schedule::next(time_point now) {
    if (m_order.empty() || now < m_blocked_until || credit(now) <= 0) {
        return std::nullopt;
    }
    auto receiver = std::move(m_order.front());
    m_order.pop_front();
    m_waiting.erase(receiver);
    return receiver;
}

void update_schedule::sent(std::size_t bytes, time_point now) {
    m_credit = credit(now) - static_cast<double>(bytes);
    m_credit_at = now;
}

void update_schedule::blocked(const update_receiver& receiver, time_point now) {
    m_blocked_until = now + m_settings.blocked_delay;
    if (m_waiting.insert(receiver).second) {
        m_order.push_front(receiver);
    }
}

time_point update_schedule::next_due(time_point now) const {
    if (m_order.empty()) {
        return time_point::max();
    }
    auto due = std::max(now, m_blocked_until);
    if (const double missing = -credit(now); missing >= 0) {
        // One byte more than is missing, since a credit of zero does not suffice.
        const auto wait = std::ceil((missing + 1) / m_settings.bytes_per_s * 1'000);
        due = std::max<time_point>(due, now + milliseconds(static_cast<std::int64_t>(wait)));
    }
    return due;
}

} // namespace balsampost::core::relay
