// Start of the entry: signals first, then the listeners, then the watches.
#include "balsampost/entry/entry.h"

#include "balsampost/telemetry/log.h"

#include <csignal>

namespace balsampost::entry {

using telemetry::event;

namespace {

// A predecessor may hold its addresses for the whole stop time; the platform takes a moment to end it then.
constexpr core::milliseconds start_slack{5'000};
constexpr core::milliseconds listen_retry_interval{50};
constexpr core::milliseconds metrics_retry_interval{1'000};

/// Lets the signals that `main` blocked through to the signal set.
void unblock_signals() {
    sigset_t handled;
    sigemptyset(&handled);
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&handled, number);
    }
    pthread_sigmask(SIG_UNBLOCK, &handled, nullptr);
}

} // namespace

void entry::begin_start() {
    beat();
    wait_for_signal();
    unblock_signals();
    m_context.poll(); // A stop signal that is pending already ends the process before it binds anything.
    if (m_stopping) {
        return;
    }
    const auto& listen = m_settings.listen;
    if (listen.metrics.port != 0) {
        m_metrics_start.emplace(m_timers, metrics_retry_interval, std::nullopt);
        m_metrics_start->start({{"metrics", listen.metrics,
                                 [this] { m_metrics_server.start(m_context, m_settings.listen.metrics); }}},
                               {[] {}, [](const auto&) {}});
    }
    // Callers come last: once they connect, everything that serves them is there. Until then the readiness
    // page says 503.
    m_start.emplace(m_timers, listen_retry_interval, m_settings.bounds.stop_time + start_slack);
    m_start->start({{"readiness", listen.readiness,
                     [this] { m_readiness_server.start(m_context, m_settings.listen.readiness); }},
                    {"peers", listen.peers, [this] { m_peers.start(m_settings.listen.peers); }},
                    {"callers", listen.callers, [this] { m_callers.start(); }}},
                   {[this] { serve(); },
                    [this](const std::string& reason) {
                        telemetry::log(event::start_failed, {{"reason", reason}});
                        m_start_failed = true;
                        end();
                    }});
}

void entry::serve() {
    m_serving = true;
    telemetry::log(event::started, {{"id", m_incarnation_id}});
    m_shares.emplace(core::warmup::candidate{m_settings.instance.name, m_settings.instance.failure_domain, 0},
                     m_state.cold(), now());
    start_watches();
    report_loads();
}

void entry::stop_before_serving() {
    telemetry::log(event::stopping, {{"in_flight", "0"}, {"reason", "before the listeners were bound"}});
    m_stopping = true;
    if (m_start) {
        m_start->cancel();
    }
    end();
}

} // namespace balsampost::entry
