// An entry: the program between callers and backend servers. Owns all its parts and runs them on one thread.
#pragma once

#include "balsampost/entry/caller_listener.h"
#include "balsampost/entry/entry_metrics.h"
#include "balsampost/entry/key_service.h"
#include "balsampost/entry/kind_watch.h"
#include "balsampost/entry/page_server.h"
#include "balsampost/entry/platform.h"
#include "balsampost/entry/settings.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>

#include <array>
#include <memory>

namespace balsampost::entry {

/// Makes the platform's adapter on the entry's own loop.
using platform_factory = std::function<std::unique_ptr<platform>(http_client&, timers&, const settings&)>;

class entry {
public:
    entry(settings s, const platform_factory& make_platform);
    ~entry();

    /// Runs until a stop signal has brought the graceful shutdown to its end. False if an address is not to be had.
    bool run();

private:
    void start_watches();
    void directory_settled();
    void manifest_arrived(const stored_object& object);
    void table_arrived(const stored_object& object);
    void backend_arrived(const stored_object& object);
    void update_key_services();
    void arm_directory_expiry();
    void send_reports();
    void receive_report();
    void report_received(std::size_t size);
    void wait_for_signal();
    void begin_stop();
    void finish_stop();
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
    net::asio::ip::udp::socket m_reports;
    std::array<char, 16'384> m_report_buffer{};
    net::asio::ip::udp::endpoint m_report_from;
    net::asio::signal_set m_signals;
    std::string m_run; // The id of this run of the daemon.
    std::shared_ptr<kind_watch> m_backend_watch;
    std::shared_ptr<kind_watch> m_manifest_watch;
    std::shared_ptr<kind_watch> m_table_watch;
    std::map<std::string, std::shared_ptr<key_service>> m_key_services;
    std::map<std::string, std::shared_ptr<const core::key_table>> m_tables;
    std::map<std::string, core::time_point> m_reporters; // Instances that reported here, and when.
    core::time_point m_last_report{};
    std::uint64_t m_manifest_version = 0;
    bool m_expiry_armed = false;
    bool m_stopping = false;
    core::time_point m_stop_at{};
};

} // namespace balsampost::entry
