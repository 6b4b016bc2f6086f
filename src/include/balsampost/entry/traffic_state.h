// The state by which an instance routes requests: the manifest, the backend servers, the owners of keys and
// the statistics of each server. Used from one thread.
#pragma once

#include "balsampost/core/backend_directory.h"
#include "balsampost/core/key_load.h"
#include "balsampost/core/key_table.h"
#include "balsampost/core/manifest.h"
#include "balsampost/core/pauses/process_pauses.h"
#include "balsampost/core/repeat_budget.h"
#include "balsampost/core/server_selection.h"
#include "balsampost/entry/settings.h"

#include <functional>
#include <memory>
#include <random>
#include <set>

namespace balsampost::entry {

/// Routing state of one service.
struct service_state {
    core::server_pool pool;
    core::repeat_budget repeats;
    core::key_counter keys;            // Requests per key since the last report.
    std::set<std::string> unreachable; // Ids of servers that refused a connection since the last report.
    std::shared_ptr<const core::key_table> table; // Null if not known yet or if the service is not keyed.
    bool keyed = false;
    /// Fraction of the requests that is sent to each overloaded server, valid until
    /// `admitted_fractions_until`.
    std::map<std::string, double> admitted_fractions;
    core::time_point admitted_fractions_until = core::never;
    /// Regions in which the owners of its keys may be, by the manifest in force.
    core::residency::region_limit owner_regions{};

    double admitted_fraction(const std::string& server, core::time_point at) const {
        const auto found =
            at < admitted_fractions_until ? admitted_fractions.find(server) : admitted_fractions.end();
        return found == admitted_fractions.end() ? 1.0 : found->second;
    }
};

class traffic_state {
public:
    explicit traffic_state(const settings& s);

    void set_manifest(core::manifest m);
    void set_table(const std::string& service, std::shared_ptr<const core::key_table> table);
    void set_instances(std::uint32_t count);
    core::backend_directory& directory() { return m_directory; }
    /// Must be called after the directory has changed.
    void directory_changed();

    std::shared_ptr<const core::route_index> routes() const { return m_routes; }
    /// Records what a server said of itself in an answer of its own, and logs what it changes. `source` names
    /// the kind of answer.
    void note(const std::string& service, const core::incarnation& server, const core::server_notice& notice,
              core::time_point now, const char* source);
    const core::server_notices& notices() const { return *m_notices; }
    /// `evacuations_changed` must be called after a change.
    core::evacuation::evacuated_domains& evacuations() { return *m_evacuations; }
    const core::evacuation::evacuated_domains& evacuations() const { return *m_evacuations; }
    void evacuations_changed() { notify(); }
    core::warmup::cold_servers& cold() { return *m_cold; }
    const core::warmup::cold_servers& cold() const { return *m_cold; }
    /// Records that the server refused a connection.
    void note_unreachable(const std::string& service, const std::string& server);
    service_state* find(const std::string& service);
    std::map<std::string, service_state>& services() { return m_services; }
    std::uint32_t instances() const { return m_instances; }
    /// Pauses of this process, for all that judges by durations.
    core::pauses::process_pauses& pauses() { return m_pauses; }
    core::weighted_round_robin& traffic_split(const std::string& route) { return m_splits[route]; }
    std::mt19937_64& random() { return m_random; }

    /// Calls `action` once, after the next change of servers or owners.
    void on_change(std::function<void()> action) { m_change_callbacks.push_back(std::move(action)); }

private:
    void update_pools();
    void notify();

    const settings& m_settings;
    core::pauses::process_pauses m_pauses;
    std::shared_ptr<core::server_notices> m_notices = std::make_shared<core::server_notices>();
    std::shared_ptr<core::evacuation::evacuated_domains> m_evacuations;
    std::shared_ptr<core::warmup::cold_servers> m_cold;
    core::backend_directory m_directory;
    std::shared_ptr<const core::route_index> m_routes; // Null until the first manifest is received.
    std::map<std::string, service_state> m_services;
    std::map<std::string, core::weighted_round_robin> m_splits; // By name of the route.
    std::uint32_t m_instances;
    std::vector<std::function<void()>> m_change_callbacks;
    std::mt19937_64 m_random{std::random_device{}()};
};

} // namespace balsampost::entry
