// Prometheus metrics of an entry.
#pragma once

#include "balsampost/core/server_selection.h"
#include "balsampost/core/time.h"
#include "balsampost/entry/caller_memory.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <memory>
#include <string>

namespace balsampost::entry {

const char* to_string(core::attempt_result outcome);

class entry_metrics {
public:
    entry_metrics();

    void answered(unsigned status, core::milliseconds elapsed);
    void refused() { m_refused.Increment(); }
    void refused_for_pause() { m_refused_for_pause.Increment(); }
    void refused_for_evacuation() { m_refused_for_evacuation.Increment(); }
    void evacuated_domains(std::size_t count) { m_evacuated_domains.Set(static_cast<double>(count)); }
    void refused_for_regions() { m_refused_for_regions.Increment(); }
    void refused_for_share() { m_refused_for_share.Increment(); }
    void cold_servers(std::size_t count) { m_cold_servers.Set(static_cast<double>(count)); }
    /// Listed servers that leave by their own word, and that have asked for a pause which runs.
    void server_notices(std::size_t leaving, std::size_t paused) {
        m_leaving_servers.Set(static_cast<double>(leaving));
        m_paused_servers.Set(static_cast<double>(paused));
    }
    void failed(unsigned status);
    void attempt_failed(core::attempt_result outcome) {
        m_attempts[static_cast<std::size_t>(outcome)]->Increment();
    }
    /// A connection was closed, or a request refused, for a limit of callers.
    void caller_limited(caller_limit cause) { m_limited[static_cast<std::size_t>(cause)]->Increment(); }
    void memory_held(std::uint64_t bytes) { m_memory_held.Set(static_cast<double>(bytes)); }
    void caller_disconnected() { m_left.Increment(); }
    void store_call(bool ok) { (ok ? m_store_ok : m_store_failed).Increment(); }
    void keys_moved(std::uint64_t keys) { m_keys_moved.Increment(static_cast<double>(keys)); }
    void order(bool ok) { (ok ? m_orders_ok : m_orders_failed).Increment(); }
    void manifest_version(std::uint64_t version) { m_manifest.Set(static_cast<double>(version)); }
    /// `restored`: the store was restored while this instance knew an earlier epoch.
    void store_epoch(std::uint64_t number, bool restored) {
        m_store_epoch.Set(static_cast<double>(number));
        m_store_restores.Increment(restored ? 1 : 0);
    }
    void unknown_config_value() { m_unknown_config_values.Increment(); }
    void unknown_region() { m_unknown_regions.Increment(); }
    /// A load report whose speed is missing or unusable; its other figures are used.
    void slowdown_unusable() { m_slowdown_unusable.Increment(); }
    void leads(bool does) { m_leads.Set(does ? 1 : 0); }

    /// Returns all metrics in the Prometheus text format.
    std::string serialize() const;

private:
    explicit entry_metrics(std::shared_ptr<prometheus::Registry> registry);

    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>& m_answers_family;
    prometheus::Counter& m_answers_ok;
    prometheus::Counter& m_answers_client_error;
    prometheus::Counter& m_answers_server_error;
    prometheus::Counter& m_refused;
    prometheus::Counter& m_failed_gateway;
    prometheus::Counter& m_failed_timeout;
    prometheus::Counter& m_failed_other;
    prometheus::Counter& m_left;
    prometheus::Counter& m_store_ok;
    prometheus::Counter& m_store_failed;
    prometheus::Counter& m_orders_ok;
    prometheus::Counter& m_orders_failed;
    prometheus::Counter& m_keys_moved;
    prometheus::Gauge& m_manifest;
    prometheus::Gauge& m_store_epoch;
    prometheus::Counter& m_store_restores;
    prometheus::Gauge& m_leads;
    prometheus::Counter& m_refused_for_pause;
    prometheus::Gauge& m_leaving_servers;
    prometheus::Gauge& m_paused_servers;
    prometheus::Counter& m_refused_for_evacuation;
    prometheus::Gauge& m_evacuated_domains;
    prometheus::Counter& m_unknown_config_values;
    prometheus::Counter& m_refused_for_regions;
    prometheus::Counter& m_unknown_regions;
    prometheus::Counter& m_refused_for_share;
    prometheus::Gauge& m_cold_servers;
    prometheus::Counter& m_slowdown_unusable;
    prometheus::Gauge& m_memory_held;
    std::array<prometheus::Counter*, caller_limits_count> m_limited{};
    prometheus::Histogram& m_latency;
    std::array<prometheus::Counter*, 6> m_attempts{};
};

} // namespace balsampost::entry
