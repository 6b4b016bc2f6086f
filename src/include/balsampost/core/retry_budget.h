// Retry budget: successful requests earn retries, so that retries cannot multiply the load on servers that
// are already failing.
#pragma once

#include "balsampost/core/time.h"

#include <cstdint>

namespace balsampost::core {

struct retry_limits {
    /// Retries earned by one successful request.
    double earned_per_success = 0.1;
    /// Maximum number of available retries; also the number that a new budget starts with.
    double max_available = 10;
    /// Backoff before the first retry; it doubles with each further retry.
    milliseconds initial_backoff{10};
    milliseconds max_backoff{200};
};

class retry_budget {
public:
    explicit retry_budget(retry_limits limits = {}) : m_limits(limits), m_available(limits.max_available) {}

    void record_success();
    /// Uses up one retry. Returns false if none is available.
    bool take();
    double available() const { return m_available; }

    /// Exponential backoff before retry number `attempt`, counted from 1. `random` selects a value in the
    /// upper half of the backoff interval as jitter.
    duration backoff(std::uint32_t attempt, std::uint64_t random) const;

private:
    retry_limits m_limits;
    double m_available; // In [0, m_limits.max_available].
};

} // namespace balsampost::core
