// Evacuations of failure domains: their watch, and what begins or ends with them. An object counts by its
// name alone.
#include "balsampost/entry/entry.h"

#include "balsampost/entry/event_loop.h"
#include "balsampost/telemetry/log.h"

#include <algorithm>

namespace balsampost::entry {

using core::evacuation::request_result;
using telemetry::event;

namespace {

constexpr int max_peer_age_percent = 65; // As of the other kinds; see entry_store_watches.cpp.
constexpr int percent = 100;
// Of names and numbers of names that another writer left, as many are logged.
constexpr std::size_t max_logged_name = 64;
constexpr std::size_t max_logged_ignored = 8;

/// Time since `from`, as text for the log.
std::string age_ms(core::time_point from) {
    return from == core::never ? "unknown" : std::to_string(core::milliseconds_between(from, now()));
}

void log_ignored(const std::string& domain) {
    telemetry::log(event::evacuation_ignored, {{"domain", domain.substr(0, max_logged_name)}});
}

} // namespace

void entry::start_evacuation_watch(core::milliseconds max_age) {
    const auto bound = m_settings.bounds.evacuation_time;
    if (bound <= core::milliseconds{0}) {
        return;
    }
    m_state.evacuations().await_list();
    watch_handlers handlers{
        [this](const std::vector<stored_object>& objects, core::time_point not_before) {
            std::vector<std::string> domains;
            domains.reserve(objects.size());
            for (const auto& o : objects) {
                domains.push_back(o.name);
            }
            const double spread = std::uniform_real_distribution<double>(0, 1)(m_state.random());
            const auto changed = m_state.evacuations().replace(domains, not_before, now(), spread);
            for (const auto& domain : changed.began) {
                evacuation_began(domain, not_before);
            }
            for (const auto& domain : changed.ended) {
                evacuation_ended(domain, not_before);
            }
            for (std::size_t i = 0; i < std::min(changed.ignored.size(), max_logged_ignored); ++i) {
                log_ignored(changed.ignored[i]);
            }
        },
        [this](const object_change& c) {
            const auto& domain = c.object.name;
            auto& all = m_state.evacuations();
            if (c.removed) {
                const double spread = std::uniform_real_distribution<double>(0, 1)(m_state.random());
                if (all.withdraw(domain, now(), spread)) {
                    evacuation_ended(domain, c.not_before);
                }
                return;
            }
            const auto result = all.request(domain, c.not_before);
            if (result == request_result::began) {
                evacuation_began(domain, c.not_before);
            } else if (result == request_result::ignored) {
                log_ignored(domain);
            }
        },
        [this] { evacuations_updated(); }, [](core::milliseconds) {}, [](store_fault) {}};
    m_evacuation_watch = std::make_shared<kind_watch>(
        m_platform->store(), m_timers, m_platform->kinds().evacuations,
        std::min<core::milliseconds>(max_age, bound * max_peer_age_percent / percent), std::move(handlers),
        watch_content::names);
    m_evacuation_watch->start();
}

void entry::evacuation_began(const std::string& domain, core::time_point not_before) {
    telemetry::log(event::evacuation_began, {{"domain", domain}, {"age_ms", age_ms(not_before)}});
}

void entry::evacuation_ended(const std::string& domain, core::time_point not_before) {
    std::erase_if(m_emptied_domains, [&](const auto& emptied) { return emptied.second == domain; });
    telemetry::log(event::evacuation_ended, {{"domain", domain}, {"age_ms", age_ms(not_before)}});
}

void entry::evacuations_updated() {
    publish_feed();
    m_metrics.evacuated_domains(m_state.evacuations().evacuated().size());
    for (const auto& [service, runner] : m_key_services) {
        runner->update_evacuations(evacuated_domains());
    }
    m_state.evacuations_changed();
    if (!m_key_services.empty() && !evacuations_to_report().empty()) {
        request_update(m_key_services.begin()->first);
    }
}

std::set<std::string> entry::evacuated_domains() const {
    std::set<std::string> out;
    for (const auto& [domain, since] : m_state.evacuations().evacuated()) {
        out.insert(domain);
    }
    return out;
}

void entry::log_emptied_domains(const std::string& service) {
    const auto runner = m_key_services.find(service);
    if (runner == m_key_services.end() || !runner->second->leads()) {
        return;
    }
    for (const auto& [domain, since] : m_state.evacuations().evacuated()) {
        if (!runner->second->has_keys_in(domain) && m_emptied_domains.emplace(service, domain).second) {
            telemetry::log(event::evacuation_keys_moved,
                           {{"service", service}, {"domain", domain}, {"age_ms", age_ms(since)}});
        }
    }
}

std::vector<feed_segment> entry::evacuations_to_report() const {
    if (!m_evacuation_watch || !m_evacuation_watch->listed() ||
        m_evacuation_watch->sender_revision() == core::store::revision{}) {
        return {};
    }
    auto segment = m_evacuation_watch->segment_since(m_evacuation_watch->sender_revision());
    return segment.changes.empty() ? std::vector<feed_segment>() : std::vector{std::move(segment)};
}

void entry::apply_reported_evacuations(const std::vector<feed_segment>& feed) {
    for (const auto& segment : feed) {
        if (m_evacuation_watch && segment.kind == m_evacuation_watch->kind()) {
            m_evacuation_watch->receive_changes(segment);
        }
    }
}

} // namespace balsampost::entry
