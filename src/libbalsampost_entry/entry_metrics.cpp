// Names and help texts of the entry's metrics.
#include "balsampost/entry/entry_metrics.h"

#include <prometheus/text_serializer.h>

namespace balsampost::entry {

namespace {

prometheus::Family<prometheus::Counter>& counters(prometheus::Registry& r, const char* name,
                                                  const char* help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(r);
}

prometheus::Gauge& gauge(prometheus::Registry& r, const char* name, const char* help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(r).Add({});
}

// In seconds, chosen around typical target latencies of routes.
const prometheus::Histogram::BucketBoundaries latency_bounds{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2};

constexpr unsigned status_gateway = 502;
constexpr unsigned status_timeout = 504;

} // namespace

const char* to_string(core::attempt_result outcome) {
    constexpr const char* names[] = {"answered", "failed", "refused", "broken", "unreachable", "silent"};
    return names[static_cast<std::size_t>(outcome)];
}

entry_metrics::entry_metrics() : entry_metrics(std::make_shared<prometheus::Registry>()) {}

entry_metrics::entry_metrics(std::shared_ptr<prometheus::Registry> registry)
    : m_registry(std::move(registry)), m_answers_family(counters(*m_registry, "balsampost_answers_total",
                                                                 "Answers to callers by class of status")),
      m_answers_ok(m_answers_family.Add({{"class", "2xx"}})),
      m_answers_client_error(m_answers_family.Add({{"class", "4xx"}})),
      m_answers_server_error(m_answers_family.Add({{"class", "5xx"}})),
      m_refused(
          counters(*m_registry, "balsampost_refused_total", "Requests refused, certainly not run").Add({})),
      m_failed_gateway(counters(*m_registry, "balsampost_failed_total", "Requests failed at the entry")
                           .Add({{"status", "502"}})),
      m_failed_timeout(
          counters(*m_registry, "balsampost_timeouts_total", "Requests without an answer in time").Add({})),
      m_failed_other(
          counters(*m_registry, "balsampost_failed_other_total", "Requests without a route or a key")
              .Add({})),
      m_left(counters(*m_registry, "balsampost_callers_left_total", "Callers that left before the answer")
                 .Add({})),
      m_store_ok(
          counters(*m_registry, "balsampost_store_calls_total", "Calls to the store that were answered")
              .Add({})),
      m_store_failed(
          counters(*m_registry, "balsampost_store_failures_total", "Calls to the store that failed").Add({})),
      m_orders_ok(counters(*m_registry, "balsampost_orders_total", "Grants and releases confirmed").Add({})),
      m_orders_failed(
          counters(*m_registry, "balsampost_orders_failed_total", "Grants and releases not confirmed")
              .Add({})),
      m_keys_moved(
          counters(*m_registry, "balsampost_keys_moved_total", "Keys that changed their owner").Add({})),
      m_manifest(gauge(*m_registry, "balsampost_manifest_version", "Version of the manifest in force")),
      m_store_epoch(gauge(*m_registry, "balsampost_store_epoch",
                          "Restores that the store counts, as last heard; 0 if it counts none")),
      m_store_restores(counters(*m_registry, "balsampost_store_restores_total",
                                "Restores of the store from an older copy since the start")
                           .Add({})),
      m_leads(
          gauge(*m_registry, "balsampost_coordinates", "1 while this instance coordinates a keyed service")),
      m_refused_for_pause(counters(*m_registry, "balsampost_refused_for_pause_total",
                                   "Requests refused because all servers for them asked for a pause")
                              .Add({})),
      m_leaving_servers(gauge(*m_registry, "balsampost_servers_leaving",
                              "Listed servers that say in their answers that they leave")),
      m_paused_servers(gauge(*m_registry, "balsampost_servers_paused",
                             "Listed servers that asked this instance for a pause that runs")),
      m_refused_for_evacuation(
          counters(*m_registry, "balsampost_refused_for_evacuation_total",
                   "Requests refused because all servers for them are in evacuated failure domains")
              .Add({})),
      m_evacuated_domains(gauge(*m_registry, "balsampost_evacuated_domains",
                                "Failure domains that are evacuated as this instance knows")),
      m_unknown_config_values(counters(*m_registry, "balsampost_config_values_unknown_total",
                                       "Values of routes that are not known; the strictest ones are used")
                                  .Add({})),
      m_refused_for_regions(counters(*m_registry, "balsampost_refused_for_regions_total",
                                     "Requests refused because no server in their allowed regions is left")
                                .Add({})),
      m_unknown_regions(counters(*m_registry, "balsampost_config_regions_unknown_total",
                                 "Regions named by routes that no setting knows; they have no servers")
                            .Add({})),
      m_refused_for_share(counters(*m_registry, "balsampost_refused_for_share_total",
                                   "Requests refused because the servers for them are cold and this "
                                   "instance has no share of their rate left")
                              .Add({})),
      m_cold_servers(gauge(*m_registry, "balsampost_servers_cold",
                           "Listed servers that are warming up and have a limited rate")),
      m_slowdown_unusable(counters(*m_registry, "balsampost_load_speed_unusable_total",
                                   "Load reports used without their speed, which was missing or unusable")
                              .Add({})),
      m_memory_held(gauge(*m_registry, "balsampost_memory_held_bytes",
                          "Memory held for callers and servers, as counted by the account")),
      m_latency(prometheus::BuildHistogram()
                    .Name("balsampost_answer_seconds")
                    .Help("From the request to the answer")
                    .Register(*m_registry)
                    .Add({}, latency_bounds)) {
    auto& limited = counters(*m_registry, "balsampost_callers_limited_total",
                             "Connections closed and requests refused for the limits of callers");
    for (std::size_t i = 0; i < m_limited.size(); ++i) {
        m_limited[i] = &limited.Add({{"cause", to_string(static_cast<caller_limit>(i))}});
    }
    auto& attempts =
        counters(*m_registry, "balsampost_attempts_failed_total", "Attempts without a server's answer");
    for (std::size_t i = 0; i < m_attempts.size(); ++i) {
        m_attempts[i] = &attempts.Add({{"outcome", to_string(static_cast<core::attempt_result>(i))}});
    }
}

void entry_metrics::answered(unsigned status, core::milliseconds elapsed) {
    (status < 400   ? m_answers_ok
     : status < 500 ? m_answers_client_error
                    : m_answers_server_error)
        .Increment();
    m_latency.Observe(std::chrono::duration<double>(elapsed).count());
}

void entry_metrics::failed(unsigned status) {
    (status == status_gateway   ? m_failed_gateway
     : status == status_timeout ? m_failed_timeout
                                : m_failed_other)
        .Increment();
}

std::string entry_metrics::serialize() const {
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace balsampost::entry
