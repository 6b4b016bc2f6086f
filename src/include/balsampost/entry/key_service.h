// Runs the coordinator of one keyed service: carries its decisions to the store and to the servers, and their
// outcomes back.
#pragma once

#include "balsampost/core/key_coordinator.h"
#include "balsampost/entry/entry_metrics.h"
#include "balsampost/entry/http_client.h"
#include "balsampost/entry/peer_exchange.h"
#include "balsampost/entry/platform.h"
#include "balsampost/entry/timers.h"

#include <memory>
#include <set>

namespace balsampost::entry {

/// Kinds of the objects that this system keeps in the store; one object a keyed service in each.
inline constexpr const char* tenure_kind = "balsampost-tenures";
inline constexpr const char* key_table_kind = "balsampost-keys";

class key_service : public std::enable_shared_from_this<key_service> {
public:
    key_service(platform& words, http_client& orders, timers& clock, entry_metrics& measured,
                core::coordinator_settings settings, std::string service, std::string instance,
                std::string instance_name, core::endpoint reports_at);

    void update_servers(const std::vector<const core::backend*>& listed);
    void report(const core::key_report& r);
    void limit_request_time(core::milliseconds longest) { m_coordinator.limit_request_time(longest); }
    /// An update of the holder reached this instance.
    void heard(std::uint64_t tenure_revision);
    /// Where the holder of the tenure takes reports; port 0 if none is known.
    core::endpoint holder_at() const;
    bool holder_is_self() const;
    /// What the coordinator adds to an update: its tenure and the parts that fit of overloaded servers.
    void describe(peer_update& out) const;
    table_version version() const {
        return {m_coordinator.table_revision(), m_coordinator.completed_moves()};
    }
    const core::key_table& table() const { return m_coordinator.effective_table(); }
    /// Called when this instance leads and its table has changed.
    void on_table(std::function<void()> action) { m_on_table = std::move(action); }
    /// Something happened that the coordinator may act on.
    void step();
    void stop() { m_stopped = true; }
    /// Gives the tenure up for a planned stop. While the store does not take it, the coordinator goes on:
    /// nobody else could begin.
    void resign(std::function<void()> given_up);
    void holder_resigned();
    bool leads() const { return m_coordinator.leads(now()); }

private:
    /// Runs what is due and sets the next timer.
    void step_now();
    void step_at(core::time_point at);
    void run(const core::read_tenure&);
    void run(const core::write_tenure& a);
    void run(const core::read_table&);
    void run(const core::write_table& a);
    void run(const core::send_grant& a);
    void run(const core::send_release& a);
    void run(const core::probe_server& a);
    /// A server that another instance could not reach.
    void look_at(const std::string& server_id);
    void note_refusal(const core::incarnation& server);
    void tenure_arrived(const store_result<std::optional<stored_object>>& answer);
    exchange_request order_request(const std::string& server, const core::endpoint& at,
                                   const encoded_call& call) const;

    platform& m_words;
    http_client& m_orders;
    timers& m_timers;
    entry_metrics& m_measured;
    std::string m_service;
    std::string m_instance;      // This run of the daemon.
    std::string m_instance_name; // The same in each run.
    core::milliseconds m_grant_time;
    core::key_coordinator m_coordinator;
    std::map<std::string, core::backend> m_listed; // By id.
    std::set<core::incarnation> m_contacted;       // Servers that have taken a grant of this instance.
    std::set<std::string> m_probed;                // Ids of servers being probed.
    std::optional<timers::id> m_timer;
    core::time_point m_timer_at{};
    bool m_stopped = false;
    bool m_led = false;
    std::function<void()> m_on_table;
    table_version m_told; // What m_on_table was last called for.
};

/// The id of one run of the daemon, and the name that all its runs share.
std::string instance_run(const std::string& name, core::time_point started);
std::string instance_name_of(const std::string& run);

} // namespace balsampost::entry
