// What an entry learns from the store, and passes on to others so that they need not ask it.
#include "balsampost/entry/entry.h"

#include "balsampost/telemetry/log.h"

#include <algorithm>

namespace balsampost::entry {

using telemetry::event;

namespace {

// What others told may be so old, as a part of the time within which it must be acted on: the rest is for a
// call of the store.
constexpr int told_age_percent = 65;
constexpr int percent = 100;

} // namespace

void entry::start_watches() {
    auto& store = m_platform->store();
    const auto bound = std::min(m_settings.bounds.leaving_time, m_settings.bounds.apply_time);
    const auto most_age = bound * told_age_percent / percent;
    const auto ignore_return = [](core::milliseconds) {};
    const auto ignore_loss = [](store_fault) {};
    watch_handlers backends{
        [this](const std::vector<stored_object>& objects) {
            std::vector<core::backend> entries;
            for (const auto& o : objects) {
                auto decoded = m_platform->decode_backend(o);
                if (decoded) {
                    entries.push_back(std::move(*decoded));
                } else {
                    telemetry::log(event::backend_unusable,
                                   {{"server", o.name}, {"reason", decoded.error().message}});
                }
            }
            m_state.directory().replace(std::move(entries), now());
        },
        [this](const object_change& c) {
            if (c.removed) {
                telemetry::log(event::backends_changed, {{"server", c.object.name}, {"change", "removed"}});
                m_state.directory().remove(c.object.name, now());
            } else {
                backend_arrived(c.object);
            }
        },
        [this] { directory_settled(); },
        [this](core::milliseconds out) {
            if (out >= harmless_outage) {
                m_state.directory().list_recovered(now());
            }
        },
        ignore_loss,
        [this](core::milliseconds time) {
            m_state.directory().set_grace_end(now() + time);
            if (m_state.directory().expire(now())) {
                directory_settled();
            }
        }};
    m_backend_watch = std::make_shared<kind_watch>(store, m_timers, m_platform->kinds().backends, most_age,
                                                   std::move(backends));
    watch_handlers manifests{[this](const std::vector<stored_object>& objects) {
                                 for (const auto& o : objects) {
                                     manifest_arrived(o);
                                 }
                             },
                             [this](const object_change& c) {
                                 if (!c.removed) {
                                     manifest_arrived(c.object);
                                 }
                             },
                             [this] { feed_changed(); }, ignore_return, ignore_loss};
    m_manifest_watch = std::make_shared<kind_watch>(store, m_timers, m_platform->kinds().manifests, most_age,
                                                    std::move(manifests));
    m_backend_watch->start();
    m_manifest_watch->start();
}

void entry::backend_arrived(const stored_object& object) {
    auto decoded = m_platform->decode_backend(object);
    if (!decoded) {
        telemetry::log(event::backend_unusable,
                       {{"server", object.name}, {"reason", decoded.error().message}});
        m_state.directory().remove(object.name, now());
        return;
    }
    telemetry::log(event::backends_changed, {{"server", object.name},
                                             {"service", decoded->service},
                                             {"change", decoded->draining ? "draining" : "listed"},
                                             {"revision", std::to_string(object.revision)}});
    m_state.directory().put(std::move(*decoded), now());
}

void entry::directory_settled() {
    feed_changed();
    m_state.directory_changed();
    update_key_services();
    arm_directory_expiry();
}

void entry::arm_directory_expiry() {
    const auto due = m_state.directory().next_expiry();
    if (m_expiry_armed || due == core::time_point::max()) {
        return;
    }
    m_expiry_armed = true;
    m_timers.at(due, [this] {
        m_expiry_armed = false;
        if (m_state.directory().expire(now())) {
            directory_settled();
        } else {
            arm_directory_expiry();
        }
    });
}

void entry::manifest_arrived(const stored_object& object) {
    if (object.name != m_platform->kinds().manifest_name) {
        return;
    }
    auto decoded = m_platform->decode_manifest(object);
    if (!decoded) {
        telemetry::log(event::config_unusable,
                       {{"reason", decoded.error().message}, {"revision", std::to_string(object.revision)}});
        return;
    }
    if (m_state.routes() && decoded->version <= m_manifest_version) {
        return; // Versions never go back in one run.
    }
    m_manifest_version = decoded->version;
    m_measured.manifest_version(decoded->version);
    telemetry::log(event::config_in_force, {{"version", std::to_string(decoded->version)},
                                            {"routes", std::to_string(decoded->routes.size())},
                                            {"revision", std::to_string(object.revision)}});
    m_state.set_manifest(std::move(*decoded));
    for (const auto& [service, known] : m_known) {
        m_state.set_table(service, known.tables.table());
    }
    update_key_services();
}

// Updates for other instances

bool entry::carries_feed(const std::string& service) const {
    // One tree carries it, also where there are several coordinators.
    return !m_key_services.empty() && m_key_services.begin()->first == service && !m_stopping;
}

void entry::update_watch_roles() {
    auto role = watch_role::follower;
    if (!m_key_services.empty() && !m_stopping) {
        const auto& [service, runner] = *m_key_services.begin();
        if (!m_known[service].reporters.empty()) {
            role = runner->leads() ? watch_role::publisher : watch_role::relay;
        }
    }
    for (const auto& watch : {m_backend_watch, m_manifest_watch}) {
        watch->set_role(role);
    }
}

std::map<std::string, std::uint64_t> entry::known_kinds() const {
    std::map<std::string, std::uint64_t> out;
    for (const auto& watch : {m_backend_watch, m_manifest_watch}) {
        if (watch->listed()) {
            out[watch->kind()] = watch->revision();
        }
    }
    return out;
}

std::vector<feed_part> entry::feed_since(const std::map<std::string, std::uint64_t>& known) const {
    std::vector<feed_part> out;
    for (const auto& watch : {m_backend_watch, m_manifest_watch}) {
        const auto at = known.find(watch->kind());
        if (at != known.end()) {
            out.push_back(watch->told_since(at->second));
        }
    }
    return out;
}

void entry::feed_changed() {
    if (!m_key_services.empty()) {
        push_soon(m_key_services.begin()->first);
    }
}

void entry::take_feed(const std::vector<feed_part>& feed) {
    for (const auto& part : feed) {
        for (const auto& watch : {m_backend_watch, m_manifest_watch}) {
            if (watch->kind() == part.kind) {
                watch->take(part);
            }
        }
    }
}

} // namespace balsampost::entry
