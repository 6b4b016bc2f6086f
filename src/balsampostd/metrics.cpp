// Registration and serialization of the metrics.
#include "metrics.h"

#include <prometheus/text_serializer.h>

namespace balsampost::daemon {

namespace {

prometheus::Counter& counter(prometheus::Registry& registry, const char* name, const char* help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge& gauge(prometheus::Registry& registry, const char* name, const char* help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

/// In seconds.
const prometheus::Histogram::BucketBoundaries latency_bounds{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                                             0.1,    0.2,   0.5,   1,     2,    5,    10};

} // namespace

metrics::metrics() : metrics(std::make_shared<prometheus::Registry>()) {}

metrics::metrics(std::shared_ptr<prometheus::Registry> r)
    : retries(counter(*r, "balsampost_retries_total", "Attempts after the first")),
      cut_off(counter(*r, "balsampost_answers_cut_off_total", "Answers that ended early")),
      queue_refusals(counter(*r, "balsampost_queue_refusals_total", "Requests refused by a server's queue")),
      callers(gauge(*r, "balsampost_callers", "Open connections of callers")),
      queued(gauge(*r, "balsampost_queued_requests", "Requests waiting at this home")),
      running(gauge(*r, "balsampost_running_requests", "Requests running at servers of this home")),
      store_reads(gauge(*r, "balsampost_store_reads", "Reads and watches sent to the store")),
      store_writes(gauge(*r, "balsampost_store_writes", "Writes sent to the store")),
      store_failures(gauge(*r, "balsampost_store_failures", "Calls to the store that got no answer")),
      control_bytes_sent(gauge(*r, "balsampost_control_bytes_sent", "Bytes of control frames sent")),
      control_bytes_received(
          gauge(*r, "balsampost_control_bytes_received", "Bytes of control frames received")),
      protocol_errors(gauge(*r, "balsampost_protocol_errors", "Malformed frames received")),
      cells_coordinated(gauge(*r, "balsampost_cells_coordinated", "Cells this instance coordinates")),
      servers_homed(gauge(*r, "balsampost_servers_homed", "Servers this instance is the home of")),
      ownership_moves(gauge(*r, "balsampost_ownership_moves", "Changes of slice ownership made here")),
      config_version(
          gauge(*r, "balsampost_config_version", "Version of the configuration in force on this instance")),
      region_bytes(
          gauge(*r, "balsampost_region_bytes", "Bytes charged to the regional budgets by this entry")),
      m_registry(r), m_latency(prometheus::BuildHistogram()
                                   .Name("balsampost_request_seconds")
                                   .Help("Time from a request's header to the end of its answer")
                                   .Register(*r)
                                   .Add({}, latency_bounds)),
      m_answered(prometheus::BuildCounter()
                     .Name("balsampost_answered_total")
                     .Help("Requests answered by a server")
                     .Register(*r)
                     .Add({})) {
    auto& family = prometheus::BuildCounter()
                       .Name("balsampost_refused_total")
                       .Help("Requests without a server's answer, by reason and outcome")
                       .Register(*r);
    for (std::size_t i = 0; i < core::refusal_reason_count; ++i) {
        const auto& rule = core::rule_of(static_cast<core::refusal_reason>(i));
        m_refused[i] = &family.Add({{"reason", std::string(rule.name)},
                                    {"outcome", std::string(core::to_string(rule.implied_outcome))}});
    }
}

void metrics::answered(core::duration latency) {
    m_answered.Increment();
    m_latency.Observe(std::chrono::duration<double>(latency).count());
}

void metrics::refused(core::refusal_reason reason) {
    m_refused.at(static_cast<std::size_t>(reason))->Increment();
}

std::string metrics::serialize() {
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace balsampost::daemon
