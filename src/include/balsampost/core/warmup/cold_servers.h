// Which servers are cold, as one instance knows it, and how many requests it may send them. A cold server
// gets requests by this instance's share only. After the warm-up, instances return to the server spread over
// a second, each with one request in flight at first, so that it does not get all of them at once.
#pragma once

#include "balsampost/core/manifest.h"
#include "balsampost/core/warmup/share_ledger.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsampost::core::warmup {

struct cold_settings {
    /// Instances return to a warm server spread over this time.
    milliseconds return_spread{1'000};
    /// After the return, the requests in flight are limited for this time; the limit rises evenly.
    milliseconds return_ramp{1'000};
    /// Fraction by which this instance's clock may run fast. The warm-up is taken to last longer by it.
    double max_clock_drift = 0.02;
};

/// A cold server of a service with a limited rate.
struct cold_server {
    incarnation server;
    std::string service;
    std::string failure_domain;
    /// End of the warm-up.
    time_point warm_at{};
};

/// The cold servers of all services. Without a service that has `warmup_per_s`, no server is cold. Not
/// thread-safe.
class cold_servers {
public:
    /// `instance`: name of this instance, which determines its place in the return.
    explicit cold_servers(std::string instance = {}, cold_settings settings = {})
        : m_instance(std::move(instance)), m_settings(settings) {}

    /// Updates the state from the list of servers and the manifest's services.
    void update(const std::map<std::string, backend>& listed, const std::map<std::string, service>& services,
                time_point now);
    /// Records a share that answers this instance's report of `reported_at`.
    void receive(const share& s, time_point reported_at, time_point now);

    /// Whether requests to the server need a share: during its warm-up and until this instance returns.
    bool cold(const incarnation& server, time_point now) const;
    /// Earliest time at which this instance may send a request to the server; `now` if it may at once.
    time_point next_request_at(const incarnation& server, time_point now) const;
    bool may_send(const incarnation& server, time_point now) const {
        return next_request_at(server, now) <= now;
    }
    /// Must be called when a request is sent; takes it from the share if the server is cold.
    void sent(const incarnation& server, time_point now);
    /// Limit of the requests in flight at a server with `slots` after its warm-up.
    std::uint32_t max_in_flight(const incarnation& server, std::uint32_t slots, time_point now) const;

    /// Servers whose warm-up lasts, or has ended so recently that some instance may not have returned.
    std::vector<cold_server> list(time_point now) const;

private:
    struct state {
        cold_server info;
        bool listed = false;
        time_point returns_at = never; // Not before the end of the warm-up; `never` if it was never cold.
        share held;
        time_point reported_at = never; // Of the report that `held` answers.
        time_point held_until = never;
        time_point last_sent = never; // While it was cold.
    };
    const state* find(const incarnation& server) const;
    /// End of the warm-up by the server's entry; `never` if the entry says or implies that it is warm.
    time_point warm_at(const backend& b, const service& s) const;
    milliseconds return_delay(const incarnation& server) const;
    duration with_drift(milliseconds length) const;

    std::string m_instance;
    cold_settings m_settings;
    std::map<incarnation, state> m_servers;
};

} // namespace balsampost::core::warmup
