// The daemon's metrics, exported through prometheus-cpp.
#pragma once

#include "balsampost/core/outcome.h"
#include "balsampost/core/time.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <string>

namespace balsampost::daemon {

/// Metrics of this process. All members may be used from any thread.
class metrics {
public:
    metrics();

    /// Counts a request that a server answered and records its latency.
    void answered(core::duration latency);
    /// Counts a request that ended without a server's answer.
    void refused(core::refusal_reason reason);
    /// Returns all metrics in the Prometheus text format.
    std::string serialize();

    prometheus::Counter& retries;
    /// Answers that ended before they were complete.
    prometheus::Counter& cut_off;
    prometheus::Counter& queue_refusals;
    prometheus::Gauge& callers;
    prometheus::Gauge& queued;
    prometheus::Gauge& running;
    prometheus::Gauge& store_reads;
    prometheus::Gauge& store_writes;
    prometheus::Gauge& store_failures;
    prometheus::Gauge& control_bytes_sent;
    prometheus::Gauge& control_bytes_received;
    prometheus::Gauge& protocol_errors;
    prometheus::Gauge& cells_coordinated;
    prometheus::Gauge& servers_homed;
    prometheus::Gauge& ownership_moves;
    prometheus::Gauge& config_version;
    prometheus::Gauge& region_bytes;

private:
    explicit metrics(std::shared_ptr<prometheus::Registry> registry);

    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Histogram& m_latency;
    prometheus::Counter& m_answered;
    std::array<prometheus::Counter*, core::refusal_reason_count> m_refused;
};

} // namespace balsampost::daemon
