// An entry: the program between callers and backend servers. Owns all its parts and runs them on one thread.
#pragma once

#include "balsampost/core/relay_plan.h"
#include "balsampost/entry/caller_listener.h"
#include "balsampost/entry/entry_metrics.h"
#include "balsampost/entry/key_service.h"
#include "balsampost/entry/kind_watch.h"
#include "balsampost/entry/page_server.h"
#include "balsampost/entry/peer_exchange.h"
#include "balsampost/entry/platform.h"
#include "balsampost/entry/settings.h"
#include "balsampost/entry/table_history.h"

#include <boost/asio/signal_set.hpp>

#include <memory>
#include <string>
#include <vector>

namespace balsampost::entry {

/// Makes the platform's adapter on the entry's own loop.
using platform_factory = std::function<std::unique_ptr<platform>(http_client&, timers&, const settings&)>;

class entry {
public:
    entry(settings s, const platform_factory& make_platform);
    ~entry();

    /// Runs until a stop signal has brought the graceful shutdown to its end. False if an address is not to
    /// be had.
    bool run();

private:
    void start_watches();
    /// Sets what the watches owe other instances.
    void update_watch_roles();
    std::map<std::string, std::uint64_t> known_kinds() const;
    std::vector<feed_part> feed_since(const std::map<std::string, std::uint64_t>& known) const;
    void feed_changed();
    void take_feed(const std::vector<feed_part>& feed);
    void directory_settled();
    void manifest_arrived(const stored_object& object);
    void backend_arrived(const stored_object& object);
    void update_key_services();
    void arm_directory_expiry();
    void table_changed(const std::string& service);
    void report_loads();
    core::key_report load_report_of(const std::string& name, service_state& service);
    void report_load(const std::string& name, key_service& runner);
    void read_table(const std::string& service);
    /// Where this instance reports to: its relay or the coordinator.
    core::endpoint report_target(const std::string& service, const key_service& runner);
    void reported(const peer_report& report, const core::endpoint& from);
    void updated(const peer_update& update, const core::endpoint& from);
    /// Whether updates for those who report here hold what is known from the store: the first keyed service's
    /// coordinator and its relays send it.
    bool carries_feed(const std::string& service) const;
    /// An update for a receiver that has `known` and `kinds`.
    peer_update update_for(const std::string& service, const table_version& known,
                           const std::map<std::string, std::uint64_t>& kinds) const;
    /// Sends an update to all who report here, a moment later.
    void push_soon(const std::string& service);
    void push(const std::string& service);
    void plan_tree(const std::string& service, key_service& runner);
    std::uint32_t instances_of(const std::string& service) const;
    void take_limits(const std::string& service,
                     const std::vector<std::pair<std::string, std::uint32_t>>& admit_permille);
    void wait_for_signal();
    void begin_stop();
    void finish_stop();
    void end();
    bool ready() const;

    settings m_settings;
    core::time_point m_started;
    net::asio::io_context m_context{1};
    timers m_timers;
    http_client m_client;       // To backend servers, for callers.
    http_client m_order_client; // To backend servers, for grants and releases.
    http_client m_store_client;
    std::unique_ptr<platform> m_platform;
    entry_metrics m_measured;
    traffic_state m_state;
    caller_listener m_callers;
    page_server m_readiness;
    page_server m_metrics;
    peer_exchange m_peers;
    net::asio::signal_set m_signals;
    std::string m_run; // The id of this run of the daemon.
    std::shared_ptr<kind_watch> m_backend_watch;
    std::shared_ptr<kind_watch> m_manifest_watch;
    std::map<std::string, std::shared_ptr<key_service>> m_key_services;
    struct reporter {
        core::endpoint at;
        core::time_point last;
        table_version known;                        // As it last said.
        std::map<std::string, std::uint64_t> kinds; // Revision by kind, as it last said.
        core::direct_reporter place;
        core::endpoint relay; // Where it was asked to report to; port 0: here.
    };
    /// A keyed service as this instance knows it, and its place in the tree of updates.
    struct known_service {
        table_history tables;
        std::map<std::string, reporter> reporters; // Instances that report here, by name.
        core::report_merger reports;               // Of theirs, to be passed on.
        core::endpoint relay;                      // Port 0: this instance reports to the coordinator.
        core::time_point relay_heard = core::never;
        core::time_point lost_relay_until = core::never;  // It reports directly until then.
        core::endpoint coordinator_at;                    // By the last update.
        core::time_point coordinator_heard = core::never; // By this instance or its relay.
        core::time_point heard = core::never;             // Any update.
        core::time_point read_at = core::never;           // When the table was last looked for in the store.
        core::milliseconds read_pause{600};               // Until it is looked for again.
        core::time_point pushed_at = core::never;
        bool push_armed = false;
        std::uint64_t tenure_revision = 0;
        std::vector<std::pair<std::string, std::uint32_t>> admit_permille;
    };
    std::map<std::string, known_service> m_known; // By service.
    std::uint64_t m_manifest_version = 0;
    bool m_expiry_armed = false;
    bool m_stopping = false;
    core::time_point m_stop_at{};
};

} // namespace balsampost::entry
