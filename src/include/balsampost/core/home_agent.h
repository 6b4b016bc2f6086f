// An instance as the home of servers of one cell. It holds a home lease from the coordinator, grants and
// renews each server's lease within it, and reports the servers and slices whose leases have ended.
//
// A lease order states the end of the lease by the server's own clock: the time in an earlier answer of the
// server plus the length. An order that arrives late can therefore not extend the lease beyond the end that
// the home has recorded, even at a server that does not check which home sends the order.
#pragma once

#include "balsampost/core/cell_table.h"
#include "balsampost/core/objects.h"
#include "balsampost/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace balsampost::core {

/// An order to a server to own exactly `slices` until `until_ns` by the server's clock.
struct lease_order {
    std::string server;
    /// Identifies the order; unique at this home.
    std::uint64_t number = 0;
    /// The fencing token of the home.
    epoch home_since;
    /// End of the lease by the server's monotonic clock; 0 only requests the server's time.
    std::int64_t until_ns = 0;
    /// Identifies the list of slices; unique at this home.
    std::uint64_t list_version = 0;
    /// Set if `slices` is filled. Otherwise the server already holds the list.
    bool with_list = false;
    std::vector<owned_slice> slices;
};

/// The server's answer to an order.
struct lease_answer {
    /// False if the server refused the sender of the order.
    bool accepted = false;
    /// The server's monotonic clock.
    std::int64_t server_time_ns = 0;
    /// The list from this home that the server now holds; 0 if none.
    std::uint64_t list_version = 0;
    /// Number of running requests as reported by the server; informative only.
    std::uint32_t running = 0;
};

/// The safety rules of a home. Tests disable `limit_to_home_lease` and `never_regrant` to show that the
/// random walks of ownership_test.cpp detect the violation.
struct home_rules {
    /// A server's lease never ends after the home's own lease.
    bool limit_to_home_lease = true;
    /// A slice reported as released is not granted again under the same epoch.
    bool never_regrant = true;
    /// A planned release takes a slice from its server only once `drained` has been called for it.
    bool drain_before_release = true;
};

class home_agent {
public:
    home_agent(cell_id cell, instance_id self, profile timing, home_rules rules = {});

    /// Adopts a table of the cell received from the relay or the coordinator. Older versions are ignored.
    void learn_table(const cell_table& table, time_point now);
    const cell_table& table() const { return m_table; }

    /// Whether this instance is the home of any server of the cell and must send heartbeats.
    bool is_home() const { return !m_links.empty(); }
    /// Number of servers homed here.
    std::size_t homed_count() const { return m_links.size(); }

    home_heartbeat heartbeat(time_point now) const;
    /// Processes the coordinator's reply to a heartbeat sent at `sent`.
    void on_reply(const home_reply& reply, time_point sent, time_point now);

    /// The time until which this home may grant leases; `never` without a home lease, or while its table is
    /// older than the coordinator requires.
    time_point home_lease_until() const;

    /// The order to send to `server` now, if any. At most one order to a server is in flight at a time, not
    /// counting one that was unanswered for the suspect timeout.
    std::optional<lease_order> order_for(const std::string& server, time_point now);
    void on_answer(const std::string& server, std::uint64_t order, const lease_answer& answer,
                   time_point sent, time_point received);
    /// The connection to the server failed or was refused while an order was in flight.
    void on_order_failed(const std::string& server, std::uint64_t order);

    /// Detects servers whose lease has expired. Returns true if a heartbeat should be sent at once.
    bool tick(time_point now);

    /// Confirms that no request for `slice` is running at `server` or queued for it.
    void drained(const std::string& server, std::uint32_t slice);
    /// Confirms that no request is running at `server`.
    void drained_all(const std::string& server);
    /// Reports in heartbeats that the instance is leaving, so that its servers get other homes.
    void leave() { m_leaving = true; }

    /// State of one server of this home, as request forwarding needs it.
    struct homed_server {
        std::string server;
        /// Requests may be sent until this time.
        time_point lease_until = never;
        /// Slices whose ownership the server has confirmed.
        std::vector<owned_slice> slices;
        /// Slices to drain: send no new requests for them, and report when none is running.
        std::vector<std::uint32_t> draining;
        /// The server is to get another home: drain it entirely.
        bool draining_all = false;
    };
    std::vector<homed_server> serving() const;
    /// Increases whenever anything but lease times changes in `serving`.
    std::uint64_t serving_version() const { return m_serving_version; }

    /// Appends a canonical text of the protocol state, for comparing states.
    void append_state(std::string& out) const;

private:
    /// Lease state of one homed server.
    struct link {
        server_number number = no_server;
        epoch home_since;
        /// When this instance became the home.
        time_point assigned_at = never;
        /// Number of the order in flight.
        std::optional<std::uint64_t> in_flight_order;
        time_point in_flight_since = never;
        /// The next order is not sent before this time.
        time_point next_order = never;
        /// The server's clock in its latest answer; 0 before the first answer.
        std::int64_t server_clock_ns = 0;
        /// When that answer arrived: the server read its clock no later than this.
        time_point server_clock_received = never;
        /// When the latest answered order was sent.
        time_point last_answered = never;
        /// No lease from this home ends later. Never decreases.
        time_point max_lease_end = never;
        /// An unanswered order may still arrive and take effect until this time.
        time_point late_order_until = never;
        /// Version of the list `granted`, as last ordered.
        std::uint64_t list_version = 0;
        /// The list version that the server last confirmed.
        std::uint64_t confirmed_version = 0;
        /// Slices in the latest order: the server may own them while its lease runs.
        std::set<owned_slice> granted;
        /// Slices whose ownership the server has confirmed.
        std::set<owned_slice> confirmed;
        /// Slices whose planned release is in progress.
        std::set<owned_slice> releasing;
        /// Slices of `releasing` for which no request is running any more.
        std::set<std::uint32_t> drained;
        /// Slices whose release has been reported; never granted again under the same epoch.
        std::set<owned_slice> released;
        /// The server refused an order because it obeys a later home.
        bool refused = false;
        /// The coordinator asked this home to relinquish the server.
        bool relinquishing = false;
        /// No request is running at the server any more.
        bool drained_all = false;
    };

    void drop_outdated_links(const cell_table& table);
    std::set<owned_slice> target_slices(const link& l) const;
    void mark_lapsed(link& l);
    void confirm_releases(link& l, time_point now);
    bool has_required_table() const { return m_table.version >= m_required_version; }
    bool lease_has_ended(const link& l, time_point now) const {
        return l.max_lease_end == never || now >= l.max_lease_end;
    }

    cell_id m_cell;
    instance_id m_self;
    profile m_timing;
    home_rules m_rules;
    /// Its version never decreases.
    cell_table m_table;
    /// The home lease may be used only with this table version or a later one.
    epoch m_required_version;
    /// Counted from before the heartbeat was sent. Never decreases.
    time_point m_home_lease_until = never;
    bool m_leaving = false;
    /// Next number of an order or version of a slice list.
    std::uint64_t m_next_id = 1;
    std::uint64_t m_serving_version = 1;
    /// One for each server that `m_table` assigns to this home, by server name.
    std::map<std::string, link> m_links;
};

} // namespace balsampost::core
