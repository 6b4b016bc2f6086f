// The attempts to bind listeners.
#include "balsampost/entry/listener_start.h"

#include "balsampost/telemetry/log.h"

namespace balsampost::entry {

void listener_start::start(std::vector<listener> listeners, handlers h) {
    m_listeners = std::move(listeners);
    m_handlers = std::move(h);
    if (m_time_limit) {
        m_give_up_at = now() + *m_time_limit;
    }
    try_next();
}

void listener_start::cancel() {
    if (m_pending) {
        m_timers.cancel(*m_pending);
        m_pending.reset();
    }
}

void listener_start::try_next() {
    m_pending.reset();
    while (m_next < m_listeners.size()) {
        try {
            m_listeners[m_next].bind();
        } catch (const boost::system::system_error& e) {
            retry(e.code().message());
            return;
        }
        ++m_next;
        m_logged = false;
    }
    m_handlers.on_bound();
}

void listener_start::retry(const std::string& reason) {
    const auto& waiting = m_listeners[m_next];
    if (now() >= m_give_up_at) {
        m_handlers.on_given_up(std::string(waiting.name) + " " + core::to_string(waiting.at) + ": " + reason);
        return;
    }
    if (!m_logged) {
        m_logged = true;
        telemetry::log(
            telemetry::event::listen_retried,
            {{"listener", waiting.name},
             {"address", core::to_string(waiting.at)},
             {"reason", reason},
             {"for_ms", m_time_limit ? std::to_string(m_time_limit->count()) : "until it succeeds"}});
    }
    m_pending = m_timers.at(now() + m_interval, [this] { try_next(); });
}

} // namespace balsampost::entry
