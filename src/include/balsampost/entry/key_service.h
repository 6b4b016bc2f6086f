// Runs the coordinator of one keyed service: executes its decisions against the store and the backend
// servers, and feeds the outcomes back to it.
#pragma once

#include "balsampost/core/key_coordinator.h"
#include "balsampost/entry/entry_metrics.h"
#include "balsampost/entry/http_client.h"
#include "balsampost/entry/order_client.h"
#include "balsampost/entry/peer_exchange.h"
#include "balsampost/entry/platform.h"
#include "balsampost/entry/timers.h"

#include <memory>
#include <set>

namespace balsampost::entry {

/// Kinds of the objects that this system keeps in the store, with one object of each kind per keyed service.
inline constexpr const char* tenure_kind = "balsampost-tenures";
inline constexpr const char* key_table_kind = "balsampost-keys";

class key_service : public std::enable_shared_from_this<key_service> {
public:
    key_service(platform& adapter, http_client& orders, timers& clock, entry_metrics& metrics,
                core::coordinator_settings settings, std::string service, std::string incarnation,
                std::string instance_name, core::endpoint reports_at);

    /// Replaces the listed servers of all services; see `key_coordinator::update_servers`.
    void update_servers(const std::vector<const core::backend*>& servers);
    /// Replaces the evacuated failure domains; see `key_coordinator::update_evacuations`.
    void update_evacuations(std::set<std::string> domains);
    /// Whether servers in `domain` own keys or may still hold some.
    bool has_keys_in(const std::string& domain) const { return m_coordinator.has_keys_in(domain); }
    void report(const core::key_report& r);
    /// Sets the maximum time that a request to the service may take.
    void set_max_request_time(core::milliseconds max) { m_coordinator.limit_request_time(max); }
    /// Sets the regions in which owners may be; see `key_coordinator::limit_owner_regions`.
    void limit_owner_regions(const core::residency::region_limit& limit,
                             const std::map<std::string, std::string>& regions);
    /// The store was restored from an older copy; see `key_coordinator::epoch_began`.
    void store_epoch_began(core::store::epoch newer);
    /// This instance has received a table of the service.
    void table_seen() { m_coordinator.table_seen(); }
    /// Records that an update of the tenure holder reached this instance.
    void tenure_seen(const core::store::revision& tenure_revision);
    /// Address at which the tenure holder takes reports; port 0 if no holder is known.
    core::endpoint holder_at() const;
    bool holder_is_self() const;
    /// Adds the coordinator's tenure and the admitted fractions of overloaded servers to an update.
    void fill(peer_update& out) const;
    table_version version() const {
        return {m_coordinator.table_revision(), m_coordinator.completed_moves()};
    }
    const core::key_table& table() const { return m_coordinator.effective_table(); }
    /// Sets the action to call when this instance leads and its table has changed.
    void on_table_changed(std::function<void()> action) { m_on_table_changed = std::move(action); }
    /// Sets the action to call with what a server said of itself in the answer to an order.
    void on_notice(std::function<void(const core::incarnation&, const core::server_notice&)> action) {
        m_on_notice = std::move(action);
    }
    /// Schedules a step of the coordinator after an event that it may act on.
    void step();
    void stop() { m_stopped = true; }
    /// Releases the tenure for a planned stop. While the store does not accept the release, the coordinator
    /// stays active, since no other instance could take the tenure.
    void resign(std::function<void()> on_resigned);
    void holder_resigned();
    std::uint64_t term() const { return m_coordinator.term(); }
    void set_cold_servers(std::map<core::incarnation, core::time_point> cold) {
        m_coordinator.set_cold_servers(std::move(cold));
    }
    bool leads() const { return m_coordinator.leads(now()); }

private:
    /// Executes the actions that are due and sets the next timer.
    void step_now();
    void step_at(core::time_point at);
    void execute(const core::read_tenure&);
    void execute(const core::write_tenure& a);
    void execute(const core::read_table&);
    void execute(const core::write_table& a);
    void execute(const core::send_grant& a);
    void execute(const core::send_release& a);
    void execute(const core::probe_server& a);
    /// Probes a server that an instance reported as unreachable.
    void probe(const std::string& server_id);
    void note_refusal(const core::incarnation& server);
    void tenure_received(const store_result<std::optional<stored_object>>& answer);
    /// Logs and counts the end of an order.
    void order_ended(const char* order, const core::incarnation& to, core::shard_key from,
                     core::shard_key last, std::uint64_t fence, const order_result& result);

    platform& m_platform;
    http_client& m_probes;
    order_client m_orders;
    timers& m_timers;
    entry_metrics& m_metrics;
    std::string m_service;
    /// Id of this process; differs after a restart.
    std::string m_incarnation;
    /// Name of this instance; the same after a restart.
    std::string m_instance_name;
    core::milliseconds m_grant_time;
    core::key_coordinator m_coordinator;
    /// Listed servers by id.
    std::map<std::string, core::backend> m_servers;
    /// Servers that have accepted a grant from this instance.
    std::set<core::incarnation> m_contacted;
    /// Ids of servers with a probe in progress.
    std::set<std::string> m_probing;
    std::optional<timers::id> m_timer;
    core::time_point m_timer_at{};
    bool m_stopped = false;
    bool m_was_leader = false;
    bool m_owner_regions_unserved = false; // As last logged by this instance as the coordinator.
    std::function<void()> m_on_table_changed;
    std::function<void(const core::incarnation&, const core::server_notice&)> m_on_notice;
    /// Version for which m_on_table_changed was last called.
    table_version m_announced_version;
};

/// Returns the id of one process of the instance `name`.
std::string incarnation_id(const std::string& name, core::time_point started);
/// Returns the name of the instance, which all its processes share.
std::string instance_name_from_id(const std::string& incarnation);

} // namespace balsampost::entry
