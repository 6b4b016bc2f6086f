// The coordinator of one cell. It grants leases to homes, detects failed homes and servers, and proposes the
// next version of the cell's table. It never assigns a slice before the lease of its previous owner has
// certainly ended.
//
// A table is in force only once it is committed: stored, or held by the standby while the store is
// unavailable. The class does no I/O. Its caller calls `begin` after taking authority, `on_heartbeat` for
// each heartbeat of a home, `propose` at regular intervals, and `committed` once a proposal is in force.
#pragma once

#include "balsampost/core/cell_table.h"
#include "balsampost/core/identity.h"
#include "balsampost/core/objects.h"
#include "balsampost/core/placement.h"
#include "balsampost/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace balsampost::core {

/// An instance that may become a home, as known to the coordinator's instance.
struct home_candidate {
    instance_id id;
    std::string region;
    std::string failure_domain;
    bool leaving = false;
};

/// Membership and settings of the cell, as known to the coordinator's instance.
struct cell_view {
    std::vector<home_candidate> homes;
    /// The servers of this cell in the platform's member list.
    std::vector<server_record> servers;
    /// Regions whose servers may own slices.
    std::vector<std::string> regions;
    placement_limits limits;
    bool divided_by_key = true;
    std::uint32_t slots = 1;
    /// The standby of the coordinator's instance; empty if it has none.
    instance_id standby;
};

/// The safety rules of the coordinator. Tests disable them one at a time to show that the random walks of
/// ownership_test.cpp detect the violation.
struct coordinator_rules {
    /// A home is replaced only once its lease has certainly expired.
    bool wait_home_lease = true;
    /// A new coordinator allows for the leases that its predecessor may still have granted.
    bool wait_predecessor = true;
    /// A home that was replaced may act only on a table that shows the replacement.
    bool require_table = true;
    /// A slice gets a new owner only once the previous owner has released it or its lease has expired.
    bool wait_release = true;
};

/// A change that has not yet taken effect, and what it waits for; shown to operators.
struct pending_change {
    std::string what;
    std::string waiting_for;
};

class cell_coordinator {
public:
    cell_coordinator(cell_id cell, instance_id self, profile timing, coordinator_rules rules = {});

    /// Starts coordinating under `term` from the table `inherited`. The returned proposal must be stored and
    /// passed to `committed` before any lease is granted.
    const cell_table& begin(const cell_table& inherited, std::uint64_t term, time_point now);

    /// Stops coordinating after the loss of authority: grants no more leases and drops an uncommitted
    /// proposal.
    void end();

    bool active() const { return m_active; }
    const cell_table& table() const { return m_table; }
    /// The proposal not yet committed, if any.
    const std::optional<cell_table>& proposal() const { return m_proposal; }

    /// Processes a heartbeat and grants its home a lease, which ends at most `lease_margin` after
    /// `authority_until`. The reply is not authoritative while this instance may not grant leases.
    home_reply on_heartbeat(const home_heartbeat& heartbeat, time_point authority_until, time_point now);

    /// Builds the next table if a change is due and no proposal is outstanding.
    const std::optional<cell_table>& propose(const cell_view& view, time_point now);

    /// Marks the proposal of this version as in force. The caller must still hold authority.
    void committed(const epoch& version);

    /// Plans the move of `slice` to the server `to` for an operator. Returns an empty string, or the reason
    /// for refusing it.
    std::string request_move(std::uint32_t slice, const std::string& to);

    /// The uncommitted proposal, planned moves and servers whose home is silent, with what each waits for.
    std::vector<pending_change> pending(time_point now) const;

    /// Number of committed ownership changes, planned or forced, of slices that had an owner.
    std::uint64_t moves_total() const { return m_moves_total; }

    /// Appends a canonical text of the protocol state, for comparing states.
    void append_state(std::string& out) const;

private:
    struct home_state {
        /// No lease granted to this home ends later. Never decreases.
        time_point home_lease_until = never;
        /// Time of the last heartbeat, or of the assignment as home.
        time_point last_heartbeat = never;
        /// The home may act only on this table version or a later one.
        epoch required;
        bool leaving = false;
    };
    struct server_state {
        bool responsive = false;
        /// The server has been responsive at least once under its current home.
        bool ever_responsive = false;
        bool relinquished = false;
        std::uint32_t load_permille = 0;
    };

    home_state& home(const instance_id& id);
    void apply_report(const server_report& report, const home_heartbeat& heartbeat);
    void apply_loads(const home_heartbeat& heartbeat);
    void add_orders(home_reply& reply, const instance_id& home) const;
    bool home_lost(const instance_id& id, time_point now) const;
    bool add_servers(cell_table& next, const cell_view& view);
    bool remove_servers(cell_table& next, const cell_view& view);
    bool choose_homes(cell_table& next, const cell_view& view, time_point now);
    const home_candidate* best_home(const cell_table& next, const cell_view& view, const server_row& row,
                                    time_point now) const;
    bool place_slices(cell_table& next, const cell_view& view, time_point now);
    void plan_moves(const cell_view& view, time_point now);
    std::vector<placement_server> placement_servers(const cell_table& table, const cell_view& view) const;
    std::vector<placement_slice> placement_slices(const cell_table& table) const;

    cell_id m_cell;
    instance_id m_self;
    profile m_timing;
    coordinator_rules m_rules;
    /// Set from `begin` to `end`.
    bool m_active = false;
    /// The table in force. Its version never decreases.
    cell_table m_table;
    std::optional<cell_table> m_proposal;
    /// Set until the first table of this term is committed.
    bool m_first_table_pending = false;
    time_point m_term_began = never;
    time_point m_next_planning = never;
    std::map<instance_id, home_state> m_homes;
    std::map<server_number, server_state> m_servers;
    /// Slices whose owner, under this epoch, holds no lease on them any more.
    std::map<std::uint32_t, epoch> m_released;
    /// Target server of each planned move. The home of the current owner releases the slice first.
    std::map<std::uint32_t, server_number> m_planned_moves;
    /// By instance name, when it was last found to have failed as a home.
    std::map<std::string, time_point> m_failed_homes;
    /// Smoothed requests per second by slice.
    std::map<std::uint32_t, double> m_loads;
    std::uint64_t m_moves_total = 0;
};

} // namespace balsampost::core
