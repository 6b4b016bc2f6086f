// Graceful shutdown: gives up the coordinators' tenures, ends callers' connections, and ends the process
// within the grace time.
#include "balsampost/entry/entry.h"

#include "balsampost/telemetry/log.h"

#include <algorithm>

namespace balsampost::entry {

using telemetry::event;

namespace {

constexpr core::milliseconds stop_poll_interval{50};
constexpr core::milliseconds last_answers_poll_interval{10};

} // namespace

void entry::begin_stop() {
    const auto handled = now();
    const auto earliest_signal = m_state.pauses().earliest_occurrence(handled);
    telemetry::log(event::stopping,
                   {{"in_flight", std::to_string(m_callers.in_flight())},
                    {"late_ms", std::to_string(core::milliseconds_between(earliest_signal, handled))}});
    m_stopping = true;
    m_stop = core::stop_window(earliest_signal, handled, m_settings.bounds.stop_time);
    m_timers.at(m_stop.process_end(), [this] { end(); }); // Holds even if a step of the stop fails.
    m_timers.at(m_stop.listen_end(), [this] { finish_stop(); });
    m_callers.begin_stop(m_stop);
    for (const auto& [name, runner] : m_key_services) {
        runner->resign([this, name = name] {
            peer_update update;
            update.service = name;
            update.resigned = true;
            update.instances = m_state.instances();
            for (const auto& [instance, r] : m_service_views[name].reporters) {
                m_peers.send(r.address, update);
            }
        });
    }
}

void entry::finish_stop() {
    m_callers.close_idle_connections();
    const auto at = now();
    if (m_callers.connection_count() == 0) {
        end();
    } else if (at >= m_stop.work_end()) {
        const auto connections = m_callers.connection_count();
        const auto in_flight = m_callers.in_flight();
        const auto unanswered = m_callers.fail_in_flight();
        telemetry::log(event::drain_deadline, {{"connections", std::to_string(connections)},
                                               {"in_flight", std::to_string(in_flight)},
                                               {"cut", std::to_string(unanswered.sent)},
                                               {"unsent", std::to_string(unanswered.unsent)}});
        finish_answers();
    } else {
        m_timers.at(std::min(at + stop_poll_interval, m_stop.work_end()), [this] { finish_stop(); });
    }
}

void entry::finish_answers() {
    m_callers.close_idle_connections();
    if (m_callers.connection_count() == 0) {
        end();
    } else {
        m_timers.at(now() + last_answers_poll_interval, [this] { finish_answers(); });
    }
}

void entry::end() {
    m_timers.stop();
    m_context.stop();
}

} // namespace balsampost::entry
