// Watches of the store, and the feed by which their changes reach other instances without watches of their
// own.
#include "balsampost/entry/entry.h"

#include "balsampost/core/residency/manifest_regions.h"
#include "balsampost/telemetry/log.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace balsampost::entry {

using telemetry::event;

namespace {

// Maximum age of data from other instances, as a fraction of the time within which it must be acted on. The
// rest is left for a call to the store.
constexpr int max_peer_age_percent = 65;
constexpr int percent = 100;
// After a restore of the store, the followers' lists are spread over this time for each instance ...
constexpr core::milliseconds relist_spread_of_an_instance{5};
// ... and over no more than this.
constexpr core::milliseconds max_relist_spread{1'500};

/// Calls `decode`. What it throws is a fault of the object like any other.
template <class Decode>
auto decoded(Decode&& decode) -> decltype(decode()) {
    try {
        return decode();
    } catch (const std::exception& e) {
        return core::fail(core::error_code::protocol, e.what());
    }
}

} // namespace

void entry::start_watches() {
    auto& store = m_platform->store();
    const auto bound = std::min(m_settings.bounds.leaving_time, m_settings.bounds.apply_time);
    const auto max_age = bound * max_peer_age_percent / percent;
    const auto ignore_recovery = [](core::milliseconds) {};
    const auto ignore_failure = [](store_fault) {};
    watch_handlers backends{
        [this](const std::vector<stored_object>& objects, core::time_point not_before) {
            std::vector<core::backend> entries;
            for (const auto& o : objects) {
                auto server = decoded([&] { return m_platform->decode_backend(o); });
                if (server) {
                    entries.push_back(std::move(*server));
                } else {
                    telemetry::log(event::backend_unusable,
                                   {{"server", o.name}, {"reason", server.error().message}});
                }
            }
            m_state.directory().replace(std::move(entries), now(), not_before);
        },
        [this](const object_change& c) {
            if (c.removed) {
                telemetry::log(event::backends_changed, {{"server", c.object.name}, {"change", "removed"}});
                m_state.directory().remove(c.object.name, now());
            } else {
                backend_received(c.object, c.not_before);
            }
        },
        [this] { directory_updated(); },
        [this](core::milliseconds outage) {
            if (outage >= tolerated_outage) {
                m_state.directory().list_recovered(now());
            }
        },
        ignore_failure,
        [this](core::milliseconds grace) {
            m_state.directory().set_grace_end(now() + grace);
            if (m_state.directory().expire(now())) {
                directory_updated();
            }
        },
        [this] { m_state.directory().list_restored(now()); }};
    m_backend_watch = std::make_shared<kind_watch>(store, m_timers, m_platform->kinds().backends, max_age,
                                                   std::move(backends));
    watch_handlers manifests{[this](const std::vector<stored_object>& objects, core::time_point) {
                                 for (const auto& o : objects) {
                                     manifest_received(o);
                                 }
                             },
                             [this](const object_change& c) {
                                 if (!c.removed) {
                                     manifest_received(c.object);
                                 }
                             },
                             [this] { publish_feed(); }, ignore_recovery, ignore_failure};
    m_manifest_watch = std::make_shared<kind_watch>(store, m_timers, m_platform->kinds().manifests, max_age,
                                                    std::move(manifests));
    store.on_epoch(
        [this](core::store::epoch earlier, core::store::epoch newer) { store_epoch_began(earlier, newer); });
    m_backend_watch->start();
    m_manifest_watch->start();
    start_evacuation_watch(max_age);
}

void entry::store_epoch_began(core::store::epoch earlier, core::store::epoch newer) {
    const bool known = m_backend_watch->listed();
    m_metrics.store_epoch(newer.number, known);
    if (known) { // Otherwise this is the epoch of this instance's first answers.
        telemetry::log(event::store_restored, {{"epoch_before", std::to_string(earlier.number)},
                                               {"epoch", std::to_string(newer.number)}});
    }
    // Others rely on the publisher and the relays; the lists of the rest are spread, so that they stay within
    // the store's rates.
    const auto longest = std::min(relist_spread_of_an_instance * m_state.instances(), max_relist_spread);
    for (const auto& watch : watches()) {
        const auto share = watch->role() == watch_role::follower
                               ? std::uniform_real_distribution<double>(0, 1)(m_state.random())
                               : 0.0;
        const auto delay = core::milliseconds(std::llround(share * static_cast<double>(longest.count())));
        watch->epoch_began(newer, delay);
    }
    for (const auto& [name, runner] : m_key_services) {
        runner->store_epoch_began(newer);
    }
}

std::vector<std::shared_ptr<kind_watch>> entry::watches() const {
    std::vector<std::shared_ptr<kind_watch>> out{m_backend_watch, m_manifest_watch};
    if (m_evacuation_watch) {
        out.push_back(m_evacuation_watch);
    }
    return out;
}

void entry::backend_received(const stored_object& object, core::time_point not_before) {
    auto server = decoded([&] { return m_platform->decode_backend(object); });
    if (!server) {
        telemetry::log(event::backend_unusable,
                       {{"server", object.name}, {"reason", server.error().message}});
        m_state.directory().remove(object.name, now());
        return;
    }
    telemetry::log(event::backends_changed, {{"server", object.name},
                                             {"service", server->service},
                                             {"change", server->draining ? "draining" : "listed"},
                                             {"revision", to_string(object.revision)}});
    m_state.directory().put(std::move(*server), now(), not_before);
}

void entry::directory_updated() {
    publish_feed();
    m_state.directory_changed();
    update_key_services();
    update_shares();
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
            directory_updated();
        } else {
            arm_directory_expiry();
        }
    });
}

void entry::manifest_received(const stored_object& object) {
    if (object.name != m_platform->kinds().manifest_name) {
        return;
    }
    auto manifest = decoded([&] { return m_platform->decode_manifest(object); });
    if (!manifest) {
        telemetry::log(event::config_unusable,
                       {{"reason", manifest.error().message}, {"revision", to_string(object.revision)}});
        return;
    }
    if (m_state.routes() && manifest->version <= m_manifest_version) {
        return; // A manifest is never replaced by an older version while the process runs.
    }
    m_manifest_version = manifest->version;
    m_metrics.manifest_version(manifest->version);
    telemetry::log(event::config_in_force, {{"version", std::to_string(manifest->version)},
                                            {"routes", std::to_string(manifest->routes.size())},
                                            {"revision", to_string(object.revision)}});
    for (const auto& unknown : manifest->unknown_values) {
        m_metrics.unknown_config_value();
        telemetry::log(event::config_value_unknown, {{"version", std::to_string(manifest->version)},
                                                     {"route", unknown.route},
                                                     {"field", unknown.field},
                                                     {"value", unknown.value}});
    }
    for (const auto& unknown : core::residency::unknown_regions(*manifest, m_settings.regions)) {
        m_metrics.unknown_region();
        telemetry::log(event::config_region_unknown, {{"version", std::to_string(manifest->version)},
                                                      {"route", unknown.route},
                                                      {"field", unknown.field},
                                                      {"value", unknown.region}});
    }
    m_state.set_manifest(std::move(*manifest));
    for (const auto& [service, view] : m_service_views) {
        m_state.set_table(service, view.tables.table());
    }
    update_key_services();
}

// Updates for other instances

bool entry::carries_feed(const std::string& service) const {
    // The feed is sent along one tree only, even if several services have coordinators.
    return !m_key_services.empty() && m_key_services.begin()->first == service && !m_stopping;
}

void entry::update_watch_roles() {
    auto role = watch_role::follower;
    if (!m_key_services.empty() && !m_stopping) {
        const auto& [service, runner] = *m_key_services.begin();
        if (!m_service_views[service].reporters.empty()) {
            role = runner->leads() ? watch_role::publisher : watch_role::relay;
        }
    }
    for (const auto& watch : watches()) {
        watch->set_role(role);
    }
}

std::map<std::string, core::store::revision> entry::known_revisions() const {
    std::map<std::string, core::store::revision> out;
    for (const auto& watch : watches()) {
        if (watch->listed()) {
            out[watch->kind()] = watch->revision();
        }
    }
    return out;
}

std::vector<feed_segment> entry::feed_since(const std::map<std::string, core::store::revision>& known) const {
    std::vector<feed_segment> out;
    for (const auto& watch : watches()) {
        const auto at = known.find(watch->kind());
        if (at != known.end()) {
            out.push_back(watch->segment_since(at->second));
        }
    }
    return out;
}

void entry::publish_feed() {
    if (!m_key_services.empty()) {
        push_soon(m_key_services.begin()->first);
    }
}

bool entry::apply_feed(const std::vector<feed_segment>& feed) {
    bool has_more = false;
    for (const auto& segment : feed) {
        for (const auto& watch : watches()) {
            if (watch->kind() == segment.kind) {
                has_more = watch->receive(segment) || has_more;
            }
        }
    }
    return has_more;
}

} // namespace balsampost::entry
