// An instance's part as the home of servers of one cell: it holds a right from the coordinator, keeps each
// server's lease, and reports what servers and slices nobody has a right to any more.
//
// A lease order states its end by the server's own clock: a time that the server put into an earlier answer,
// plus the length. So an order that arrives late, through whatever network, grants nothing that the home does
// not know of, even at a server that does not check who gives it orders.
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

/// An order to a server: own exactly `slices` until `until_ns` by the server's clock.
struct lease_order {
    std::string server;
    std::uint64_t number = 0;       ///< Unique at this home; the answer carries it.
    epoch home_since;               ///< The fencing number of the home.
    std::int64_t until_ns = 0;      ///< By the server's monotonic clock; 0 asks only for its time.
    std::uint64_t list_version = 0; ///< Names the list of slices; unique at this home.
    bool with_list = false;         ///< `slices` is filled; otherwise the server holds the list already.
    std::vector<owned_slice> slices;
};

/// The server's answer to an order.
struct lease_answer {
    bool accepted = false; ///< False: the server refused whoever gave the order.
    std::int64_t server_time_ns = 0;
    std::uint64_t list_version = 0; ///< The list that the server now holds from this home, 0 if none.
    std::uint32_t running = 0;      ///< The server's own report of requests running: a hint.
};

/// The safety rules of a home, each of which a test can switch off to show that the explorer notices.
struct home_rules {
    bool within_own_right = true; ///< A server's lease never outlasts the home's own right.
    bool never_regrant = true;    ///< A slice reported as released is not granted again under the same epoch.
    bool drain_before_release = true; ///< A planned release waits for the server's acknowledgement.
};

class home_agent {
public:
    home_agent(cell_id cell, instance_id self, profile timing, home_rules rules = {});

    /// A table of the cell, from the relay or the coordinator; older ones are ignored.
    void learn_table(const cell_table& table, time_point now);
    const cell_table& table() const { return m_table; }

    /// True if this instance is the home of some server of the cell, so that heartbeats are due.
    bool is_home() const { return !m_links.empty(); }
    /// Number of servers homed here.
    std::size_t homed() const { return m_links.size(); }

    home_heartbeat heartbeat(time_point now) const;
    /// The coordinator's answer to a heartbeat that was sent at `sent`.
    void on_reply(const home_reply& reply, time_point sent, time_point now);

    /// The time until which this home may give rights; `never` without a usable right.
    time_point right_until() const;

    /// The order that `server` should get now, or nothing. At most one order to a server is under way at a
    /// time, but for one that stayed unanswered for the suspect time.
    std::optional<lease_order> order_for(const std::string& server, time_point now);
    void on_answer(const std::string& server, std::uint64_t order, const lease_answer& answer,
                   time_point sent, time_point received);
    /// The connection to the server broke or was refused while an order was under way.
    void on_no_answer(const std::string& server, std::uint64_t order);

    /// Notices servers whose lease has lapsed. Returns true if a heartbeat should go out at once.
    bool tick(time_point now);

    /// The shell confirms that no request of `slice` runs at `server` or waits for it.
    void drained(const std::string& server, std::uint32_t slice);
    /// The shell confirms that no request at all runs at `server`.
    void drained_all(const std::string& server);
    /// The instance is leaving: its servers are to get other homes.
    void leave() { m_leaving = true; }

    /// What the traffic part needs to know of one homed server.
    struct served {
        std::string server;
        time_point lease_until = never;      ///< Requests may be sent until then.
        std::vector<owned_slice> slices;     ///< Confirmed by the server.
        std::vector<std::uint32_t> draining; ///< No new request of these; report when none runs.
        bool draining_all = false;           ///< The server gets another home.
    };
    std::vector<served> serving() const;
    /// Grows whenever `serving` changes in more than lease times.
    std::uint64_t serving_version() const { return m_serving_version; }

    void append_state(std::string& out) const;

private:
    struct link {
        server_number number = no_server;
        epoch home_since;
        time_point began = never; // When this instance became the home.
        std::optional<std::uint64_t> under_way;
        time_point under_way_since = never;
        time_point next_order = never;
        std::int64_t stamp_ns = 0;         // The server's clock in its latest answer; 0 before the first.
        time_point stamp_received = never; // The stamp was taken no later than this.
        time_point heard = never;
        time_point lapsed_by = never;        // No lease from this home lasts longer. Never decreases.
        time_point stray_until = never;      // An unanswered order may still arrive and count until then.
        std::uint64_t list_version = 0;      // Of `granted`, as last ordered.
        std::uint64_t confirmed_version = 0; // As last confirmed by the server.
        std::set<owned_slice> granted;       // Ordered: the server may own these while its lease runs.
        std::set<owned_slice> confirmed;     // Confirmed by the server.
        std::set<owned_slice> releasing;     // A planned release was asked for.
        std::set<std::uint32_t> drained;     // Of those, what the traffic part has let run out.
        std::set<owned_slice> released;      // Granted by nobody any more; never granted again.
        bool refused = false;                // The server obeys a later home.
        bool giving_up = false;
        bool drained_all = false;
    };

    void drop_old_links(const cell_table& table);
    std::set<owned_slice> wanted(const link& l) const;
    void mark_lapsed(link& l);
    void settle_releases(link& l, time_point now);
    bool usable() const { return m_table.version >= m_required; }
    bool server_has_lapsed(const link& l, time_point now) const {
        return l.lapsed_by == never || now >= l.lapsed_by;
    }

    cell_id m_cell;
    instance_id m_self;
    profile m_timing;
    home_rules m_rules;
    cell_table m_table;               // Its version never decreases.
    epoch m_required;                 // The right may be used only with this table or a later one.
    time_point m_right_until = never; // Counted from before the heartbeat was sent.
    bool m_leaving = false;
    std::uint64_t m_next_number = 1;
    std::uint64_t m_serving_version = 1;
    std::map<std::string, link>
        m_links; // One for each server homed here, by the table or until it is let go.
};

} // namespace balsampost::core
