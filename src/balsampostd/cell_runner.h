// Runs the lease, the coordinator and the home role of one cell on this instance. Performs the I/O that the
// core classes decide on, and passes the results back to them.
#pragma once

#include "shared.h"

#include "balsampost/core/cell_coordinator.h"
#include "balsampost/core/home_agent.h"
#include "balsampost/core/pair_lease.h"
#include "balsampost/net/link.h"
#include "balsampost/net/signal.h"
#include "balsampost/platform/object_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace balsampost::daemon {

/// Services of the control thread that a cell uses. All functions are called on the control thread.
struct cell_dependencies {
    net::asio::io_context& context;
    net::link_pool& links;
    platform::object_store& store;
    /// This instance.
    core::instance_id self;
    /// Returns the current routing view.
    std::function<const routing_view&()> view;
    /// True once this instance is shutting down.
    std::function<bool()> leaving;
    /// True if `instance` was recently unreachable from here.
    std::function<bool(const std::string& instance)> is_suspected;
    /// Records whether a call to `instance` was answered.
    std::function<void(const std::string& instance, bool reachable)> report_reachability;
    /// Publishes a committed table through the relay.
    std::function<void(const core::cell_id&, const core::cell_table&)> publish_table;
    /// Sends a committed table directly to the instance `to`.
    std::function<void(const core::cell_id&, const core::cell_table&, const core::instance_id& to)>
        send_table;
    /// Passes the servers homed here, with their leases, to the traffic thread.
    std::function<void(const homes_update&)> homes_changed;
    /// Returns a number that is unique to each lease write.
    std::function<std::uint64_t()> next_write_id;
};

/// Runs one cell on the control thread.
class cell_runner {
public:
    cell_runner(cell_dependencies dependencies, core::cell_id id, core::service config, core::profile timing);

    /// Starts the cell's coroutines. The runner must outlive the run of the io_context.
    void start();
    /// Ends the coroutines, as the cell is no longer in the configuration.
    void retire() { m_retired = true; }

    /// Takes over `table` if it is newer than the known one.
    void learn_table(const core::cell_table& table);
    /// Answers the holder's request for a promise not to take over.
    net::promise_answer on_promise_request(const net::promise_request& request);
    /// Answers a home's heartbeat, as the coordinator.
    core::home_reply on_heartbeat(const core::home_heartbeat& heartbeat);
    /// No request of `slice` runs at `server` or waits for it any more.
    void on_drained(const std::string& server, std::uint32_t slice);
    /// No request runs at `server` any more.
    void on_server_drained(const std::string& server);
    /// Stores the latest load figures, which the next heartbeat carries.
    void on_load(const load_report& report);
    /// Requests that `slice` move to the server `to`. Returns an empty string on success, otherwise the
    /// reason.
    std::string request_move(std::uint32_t slice, const std::string& to);

    /// True while this instance is home or lease holder in the cell; a shutdown has to hand these roles over
    /// first.
    bool has_duties() const;
    /// Starts handing over the servers homed here, as this instance is shutting down.
    void leave();

    const core::cell_id& id() const { return m_id; }
    const core::cell_coordinator& coordinator() const { return m_coordinator; }
    const core::pair_lease& lease() const { return m_lease; }
    const core::home_agent& home() const { return m_home; }

private:
    /// Reads and writes the lease object as the lease protocol requires.
    net::awaitable<void> run_lease();
    /// As the holder, requests promises from the standby and, if needed, from the next one.
    net::awaitable<void> run_promises();
    net::awaitable<void> run_coordinator();
    net::awaitable<void> run_home();
    net::awaitable<void> run_heartbeats();
    /// Sends lease orders to `server` while this instance is its home under `home_since`.
    net::awaitable<void> run_orders(std::string server, core::epoch home_since);
    net::awaitable<void> request_promise(core::instance_id standby);
    net::awaitable<void> read_lease();
    net::awaitable<void> write_lease(core::lease_object value);
    /// Writes proposed and committed tables to the store until the store has the newest one.
    net::awaitable<void> store_tables();
    /// Writes one table. Returns true once the store is known to hold it.
    net::awaitable<bool> store_table(core::cell_table table);
    /// Starts the coordinator with the newest table that the store or this instance holds.
    net::awaitable<void> begin_term();
    /// Sends a heartbeat to `to` and applies its reply. Returns true if `to` answered and is in authority.
    net::awaitable<bool> send_heartbeat(core::instance_id to);

    void tick_coordinator();
    void tick_home();
    /// Commits the proposed table if it is stored, or if the standby has acknowledged it and the store is
    /// slow or failing. The first table of a term must be stored. A committed table is published and sent to
    /// the homes.
    void try_commit();
    /// Sends the servers homed here to the traffic thread, if there are any or the set has changed.
    void publish_homes();
    /// Starts `run_orders` for each server that was newly assigned to this instance.
    void start_order_loops();
    bool in_authority() const;
    /// True if this instance is shutting down and has handed over everything but its authority.
    bool ready_to_resign() const;
    bool should_read_lease(core::time_point now) const;
    /// What this instance currently knows about the members of the pair and possible successors.
    core::pair_view pair_view_now() const;
    /// The current instances, servers and placement settings of the cell, for the coordinator.
    core::cell_view cell_view_now() const;
    /// Instances that may become holder or standby, most preferred first: those outside the holder's failure
    /// domain, then by rendezvous rank.
    std::vector<core::instance_id> candidates() const;
    /// True if `id` is empty, was restarted as a later incarnation, or is no longer in the member list. An
    /// older member list than the lease object was written with is not taken as evidence.
    bool is_gone(const core::instance_id& id) const;
    /// Name of the lease object in the store.
    std::string lease_name() const;
    /// Name of the table object in the store.
    std::string table_name() const;

    cell_dependencies m_deps;
    core::cell_id m_id;
    core::service m_config;
    core::profile m_timing;
    core::pair_lease m_lease;
    core::cell_coordinator m_coordinator;
    core::home_agent m_home;
    bool m_retired = false;
    /// The lease object, or its absence, is known from the store or from a holder's request.
    bool m_lease_known = false;
    /// Time of the latest read of the lease object.
    core::time_point m_lease_read = core::never;
    /// The newest table known to this instance: committed, or received as standby.
    core::cell_table m_newest_table;
    /// The store's version of the table object; valid while `m_stored_known`.
    std::uint64_t m_stored_object_version = 0;
    /// Version of the table in the store, as far as known.
    core::epoch m_stored_table_version;
    /// The table object was read by `begin_term` at least once.
    bool m_stored_known = false;
    /// Version of the table that the standby has acknowledged under this term.
    core::epoch m_standby_ack_version;
    /// The standby to which `m_standby_ack_version` applies.
    core::instance_id m_standby_ack_instance;
    /// The last table write was not confirmed by the store.
    bool m_store_failing = false;
    /// When the table write in progress was started; `never` while there is none.
    core::time_point m_store_write_started = core::never;
    /// The instance to which the next heartbeat is sent.
    core::instance_id m_heartbeat_target;
    /// The `serving_version` that was last sent to the traffic thread.
    std::uint64_t m_sent_serving_version = 0;
    /// Makes the next heartbeat go out without delay.
    net::signal m_heartbeat_wakeup;
    /// Wakes `store_tables` when there is a table to write.
    net::signal m_table_wakeup;
    /// Makes the coordinator run its next step without delay.
    net::signal m_coordinator_wakeup;
    /// The `home_since` of the last order loop started for each server.
    std::map<std::string, core::epoch> m_order_loops;
    /// Load of each server in thousandths, from the latest load report.
    std::map<std::string, std::uint32_t> m_server_loads;
    /// Load of the slices, to be sent with the next heartbeat.
    std::vector<core::slice_load> m_slice_loads;
};

} // namespace balsampost::daemon
