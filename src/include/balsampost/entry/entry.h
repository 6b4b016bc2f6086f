// The router process between callers and backend servers. Owns all components and runs them on one thread.
#pragma once

#include "balsampost/core/relay/update_schedule.h"
#include "balsampost/core/relay_plan.h"
#include "balsampost/core/warmup/share_distributor.h"
#include "balsampost/entry/caller_listener.h"
#include "balsampost/entry/descriptor_room.h"
#include "balsampost/entry/entry_metrics.h"
#include "balsampost/entry/key_service.h"
#include "balsampost/entry/kind_watch.h"
#include "balsampost/entry/listener_start.h"
#include "balsampost/entry/page_server.h"
#include "balsampost/entry/peer_exchange.h"
#include "balsampost/entry/platform.h"
#include "balsampost/entry/settings.h"
#include "balsampost/entry/table_history.h"

#include <boost/asio/signal_set.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace balsampost::entry {

/// Creates the platform's adapter, which runs on the entry's event loop.
using platform_factory = std::function<std::unique_ptr<platform>(http_client&, timers&, const settings&)>;

class entry {
public:
    entry(settings s, const platform_factory& make_platform);
    ~entry();

    /// Runs until a graceful shutdown, begun by a stop signal, is complete. Unblocks the signals that it
    /// handles. Returns false if an address that callers need cannot be bound for longer than a predecessor
    /// may take to stop.
    bool run();

private:
    /// Binds the listeners, again and again if necessary, and then calls `serve`.
    void begin_start();
    void serve();
    /// Ends the process on a stop signal that came before any caller could connect.
    void stop_before_serving();
    void start_watches();
    /// Follows the evacuations, if the settings state a bound for them.
    void start_evacuation_watch(core::milliseconds max_age);
    /// The store was restored from an older copy, or this instance has its first answer of a store that
    /// counts its restores: all revisions of `earlier` are void.
    void store_epoch_began(core::store::epoch earlier, core::store::epoch newer);
    /// All watches that run.
    std::vector<std::shared_ptr<kind_watch>> watches() const;
    /// Logs and applies the begin or end of an evacuation.
    void evacuation_began(const std::string& domain, core::time_point not_before);
    void evacuation_ended(const std::string& domain, core::time_point not_before);
    void evacuations_updated();
    /// Names of the evacuated failure domains.
    std::set<std::string> evacuated_domains() const;
    /// As the coordinator, logs each evacuated failure domain that no key of `service` is left in.
    void log_emptied_domains(const std::string& service);
    /// Evacuations that the instance to which this one reports does not know yet.
    std::vector<feed_segment> evacuations_to_report() const;
    /// Applies the evacuations in a report.
    void apply_reported_evacuations(const std::vector<feed_segment>& feed);
    /// Sets the watches' roles by whether other instances report here and whether this one coordinates.
    void update_watch_roles();
    /// Revision up to which each kind of objects is known.
    std::map<std::string, core::store::revision> known_revisions() const;
    std::vector<feed_segment> feed_since(const std::map<std::string, core::store::revision>& known) const;
    /// Schedules an update for the instances that report here.
    void publish_feed();
    /// Returns whether the sender has further changes for this instance.
    bool apply_feed(const std::vector<feed_segment>& feed);
    void directory_updated();
    void manifest_received(const stored_object& object);
    void backend_received(const stored_object& object, core::time_point not_before);
    void update_key_services();
    void arm_directory_expiry();
    void table_changed(const std::string& service);
    void report_loads();
    core::key_report load_report_of(const std::string& name, service_state& service);
    void report_load(const std::string& name, key_service& runner);
    /// Reports this instance's versions without any load, to get the changes that did not fit into an update.
    void request_update(const std::string& service);
    /// Returns a report of this instance's versions and place in the tree, without any load.
    peer_report versions_report(const std::string& service);
    void read_table(const std::string& service);
    /// Address to which this instance reports: its relay or the coordinator.
    core::endpoint report_target(const std::string& service, const key_service& runner);
    void report_received(peer_report report, const core::endpoint& from);
    void update_received(const peer_update& update, const core::endpoint& from);
    /// Whether updates of `service` carry the change feed of the store. Only the coordinator and the relays
    /// of the first keyed service send it.
    bool carries_feed(const std::string& service) const;
    /// Builds an update for a receiver that has the table `known` and the store revisions `revisions`.
    peer_update update_for(const std::string& service, const table_version& known,
                           const std::map<std::string, core::store::revision>& revisions) const;
    /// Schedules an update to all instances that report here, after a short delay that merges changes.
    void push_soon(const std::string& service);
    void push(const std::string& service);
    /// Sends the updates that are due now, and sets a timer for the next ones.
    void send_updates();
    /// As the coordinator, assigns the direct reporters to relays.
    void plan_tree(const std::string& service, key_service& runner);
    /// Number of instances in the tree below this one, itself included.
    std::uint32_t subtree_size(const std::string& service) const;
    void apply_limits(const std::string& service,
                      const std::vector<std::pair<std::string, std::uint32_t>>& admit_permille);
    /// Sets this instance's role in handing out shares of cold servers, and what may be handed out.
    void update_shares();
    /// Hands `update_shares` the cold servers as limits, and logs which began and ended to be cold.
    std::vector<core::warmup::share_limit> share_limits();
    void shares_received(const peer_shares& received);
    /// Servers to which no keys are assigned, and until when.
    std::map<core::incarnation, core::time_point> cold_servers_of(const std::string& service) const;
    void wait_for_signal();
    /// Records pauses of the process by a timer that runs as long as the event loop.
    void beat();
    void begin_stop();
    /// Closes idle connections; at the end of the work, answers what is left.
    void finish_stop();
    /// Ends the process once the last answers are written.
    void finish_answers();
    void end();
    bool ready() const;

    settings m_settings;
    core::time_point m_started;
    std::shared_ptr<core::memory::account> m_memory;
    net::asio::io_context m_context{1};
    timers m_timers;
    descriptor_room m_room;
    /// To backend servers, for requests of callers.
    http_client m_client;
    /// To backend servers, for grants and releases.
    http_client m_order_client;
    http_client m_store_client;
    std::unique_ptr<platform> m_platform;
    entry_metrics m_metrics;
    traffic_state m_state;
    caller_listener m_callers;
    page_server m_readiness_server;
    page_server m_metrics_server;
    peer_exchange m_peers;
    net::asio::signal_set m_signals;
    /// Of the listeners that callers need.
    std::optional<listener_start> m_start;
    std::optional<listener_start> m_metrics_start;
    /// All listeners that callers need are bound, and the watches run.
    bool m_serving = false;
    bool m_start_failed = false;
    /// Identifies this process among successive processes of the same instance.
    std::string m_incarnation_id;
    std::shared_ptr<kind_watch> m_backend_watch;
    std::shared_ptr<kind_watch> m_manifest_watch;
    std::shared_ptr<kind_watch> m_evacuation_watch; // Null unless the settings state the bound.
    /// Service and evacuated failure domain that were logged as without keys.
    std::set<std::pair<std::string, std::string>> m_emptied_domains;
    std::map<std::string, std::shared_ptr<key_service>> m_key_services;
    /// An instance that reports here.
    struct reporter {
        core::endpoint address;
        core::time_point last_report_at;
        /// Table version in its last report.
        table_version table;
        /// Store revision by kind in its last report.
        std::map<std::string, core::store::revision> revisions;
        core::direct_reporter position;
        /// Relay to which it was asked to report; port 0 if it is to report here.
        core::endpoint relay;
        core::report_credit credit;
        /// `peer_report::sent_ns` of its last report.
        std::int64_t sent_ns = 0;
    };
    /// Shares for `receiver`, if updates of `service` carry them.
    peer_shares shares_for(const std::string& service, const reporter& receiver);
    /// State of a keyed service on this instance, and its position in the update tree.
    struct service_view {
        table_history tables;
        /// Instances that report here, by name.
        std::map<std::string, reporter> reporters;
        /// Reports of other instances, merged for forwarding.
        core::report_merger reports;
        /// Relay of this instance; port 0 if it reports to the coordinator.
        core::endpoint relay;
        core::time_point relay_updated_at = core::never;
        /// After the loss of its relay, this instance reports to the coordinator until then.
        core::time_point relay_avoided_until = core::never;
        /// Coordinator named by the last update.
        core::endpoint coordinator_at;
        /// When this instance or its relay last received an update from the coordinator.
        core::time_point coordinator_updated_at = core::never;
        /// When any update was last received.
        core::time_point last_update_at = core::never;
        /// When the table was last read from the store.
        core::time_point table_read_at = core::never;
        /// Minimum time before the table is read from the store again.
        core::milliseconds table_read_delay{600};
        core::time_point pushed_at = core::never;
        /// End of the time that the last own report covers.
        core::time_point reported_at = core::never;
        bool push_scheduled = false;
        bool update_requested = false;
        core::store::revision tenure_revision;
        std::vector<std::pair<std::string, std::uint32_t>> admit_permille;
    };
    /// By service name.
    std::map<std::string, service_view> m_service_views;
    core::relay::update_schedule m_updates;
    /// Time of the timer that sends the next updates; never if none is set.
    core::time_point m_updates_due = core::never;
    /// Empty until the listeners are bound: until then an earlier process of this instance may run.
    std::optional<core::warmup::share_distributor> m_shares;
    /// Cold servers as the publisher knows them, with their services.
    std::map<core::incarnation, std::string> m_published_cold;
    std::uint64_t m_manifest_version = 0;
    bool m_expiry_armed = false;
    bool m_stopping = false;
    core::stop_window m_stop;
};

} // namespace balsampost::entry
