// Selection of the backend server for a request, from one instance's estimates of each server's load and
// speed. The server with the earliest expected completion is chosen, with a preference for nearby servers and
// a penalty for failing ones; if no server is expected to finish in time, the request is refused.
#pragma once

#include "balsampost/core/backend_directory.h"
#include "balsampost/core/cost/server_work.h"
#include "balsampost/core/evacuation/evacuated_domains.h"
#include "balsampost/core/load/speed_estimate.h"
#include "balsampost/core/manifest.h"
#include "balsampost/core/residency/region_limit.h"
#include "balsampost/core/server_notices.h"
#include "balsampost/core/warmup/cold_servers.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace balsampost::core {

/// Where a server is, relative to this instance.
enum class server_locality : std::uint8_t { same_domain, same_region, other_region };

const char* to_string(server_locality locality);

/// The load that a server reports with a response.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// 0: not reported.
    std::uint32_t slots = 0;
    /// How many times as long as at normal speed work takes at the moment; reported by servers on shared
    /// machines.
    std::optional<double> slowdown = std::nullopt;
    /// A slowdown was reported that cannot be used.
    bool slowdown_unusable = false;
};

/// Result of one attempt at a server, as evidence of the server's state.
enum class attempt_result : std::uint8_t {
    answered,    ///< A complete and valid answer.
    failed,      ///< An error status.
    refused,     ///< The server reported that it did not execute the request.
    broken,      ///< The connection ended without an answer, or the answer was damaged.
    unreachable, ///< No connection could be established.
    silent,      ///< No answer before the deadline.
};

struct selection_settings {
    /// Cost of choosing a server in another failure domain of the region: the request goes there only if it
    /// is expected to finish earlier by more than this.
    milliseconds domain_cost{15};
    /// The same cost for a server in another region, which includes the round trip between regions.
    milliseconds region_cost{90};
    /// Additional cost for each KiB of body sent to another region, since traffic between regions is limited
    /// and paid for.
    milliseconds region_cost_per_kib{4};
    /// Maximum number of requests at a server, running and queued, as a multiple of its slots.
    double max_load_per_slot = 3.0;
    /// Half-life of the load that a server reported for other instances.
    milliseconds report_half_life{400};
    /// Half-life of the learned service time and failure rate of a server that gets no requests.
    milliseconds estimate_half_life{1'000};
    /// First backoff after a server was unreachable or repeatedly silent; doubled with each further miss.
    milliseconds initial_backoff{300};
    milliseconds max_backoff{2'000};
    /// Minimum time between the last attempt at a server and a trial request, which is sent although no
    /// request is expected to finish in time. It grows with the number of instances.
    milliseconds min_trial_interval{500};
    milliseconds max_trial_interval{3'000};
    /// Fraction of the target latency that the expected latency may take up. The remainder is a margin, since
    /// about half of all answers take longer than expected.
    double max_target_fraction = 0.85;
    /// Fraction of the time to the deadline that the expected latency may take up. The remainder covers
    /// delays that the estimate does not include.
    double max_deadline_fraction = 0.85;
    /// Share of the requests for which reported slowdowns are not considered, so that a server with a short
    /// slowdown keeps that part of its requests and its recovery is noticed.
    double slowdown_ignored_share = 0.125;
    /// Whether servers are chosen by the estimated costs of requests instead of their number.
    bool by_cost = false;
    /// How long a server still gets requests for keys that it owns while they are being moved, from the
    /// earliest time at which it may have reported that it is leaving.
    milliseconds draining_owner_period{1'500};
};

/// The properties of a request that the selection uses.
struct selection_request {
    /// Time left until the target latency is reached; at most `time_to_deadline`.
    milliseconds time_to_target{400};
    /// Time left until the request's deadline.
    milliseconds time_to_deadline{1'000};
    std::uint64_t body_bytes = 0;
    /// Ids of servers that were already tried.
    std::vector<std::string> excluded_servers;
    /// Regions whose servers may get the request.
    residency::region_limit allowed_regions{};
    /// Used for selection by cost only.
    cost::request_class cost_class = {};
    /// Time to the deadline that the request had when it arrived. A request without it is never a trial.
    milliseconds full_time{0};
};

struct selection {
    /// Empty if no server is expected to finish in time.
    std::string server;
    /// Expected time until the server's answer.
    milliseconds expected_latency{0};
    /// If there is no server: time until capacity is expected to be available.
    milliseconds retry_after{0};
    /// There is no server because those that could serve asked for a pause; it ends after `retry_after`.
    bool paused = false;
    /// There is no server because those that could serve are in evacuated failure domains.
    bool evacuated = false;
    /// There is no server because of the allowed regions; when one will be available is not known.
    bool outside_regions = false;
    /// There is no server because those that could serve are cold and this instance has no share of their
    /// rate, or none left; one can be sent a request after `retry_after`.
    bool cold = false;
    /// No server is expected to finish in time; the chosen one gets the request to check its estimate.
    bool is_trial = false;
};

/// The servers of one service and this instance's estimates of them. Not thread-safe.
class server_pool {
public:
    /// `notices`: what servers say of themselves; `cold`: which servers are cold. Both are shared by all
    /// pools of an instance.
    server_pool(selection_settings settings, std::string failure_domain,
                std::map<std::string, std::string> regions,
                std::shared_ptr<const server_notices> notices = std::make_shared<const server_notices>(),
                std::shared_ptr<warmup::cold_servers> cold = std::make_shared<warmup::cold_servers>());

    /// Sets the evacuated failure domains, which all pools of an instance share. Without a call there are
    /// none.
    void set_evacuations(std::shared_ptr<const evacuation::evacuated_domains> domains) {
        m_evacuations = std::move(domains);
    }

    /// Replaces the list of servers. Estimates are kept for incarnations that remain in it.
    /// `max_connections`: connections that one server accepts from all `instances` together.
    void update(const std::vector<const backend*>& servers, std::uint32_t max_connections,
                std::uint32_t instances);

    /// Chooses among all servers that neither leave nor pause, that are not backed off from, and whose
    /// failure domain is not evacuated. A cold one needs a share with a request left, which
    /// `attempt_started` takes.
    selection choose(const selection_request& request, time_point now, std::mt19937_64& random) const;
    /// Selects `server`, the owner of the request's key, if it is expected to finish in time.
    selection check(const std::string& server, const selection_request& request, time_point now) const;

    /// Whether a request that was selected for the server earlier may still be sent to it. `owner`: the
    /// server was selected as the owner of the request's key.
    bool may_send(const std::string& server, bool owner, time_point now) const;

    /// Returns what was estimated of the attempt; pass it on when the attempt ends. `is_trial`: as the
    /// selection says.
    cost::attempt attempt_started(const std::string& server, time_point now,
                                  const cost::request_class& cost_class = {}, bool is_trial = false);
    /// `took`: time from sending the request to the end of the attempt.
    void attempt_ended(const std::string& server, attempt_result result, milliseconds took,
                       std::optional<load_report> report, time_point now, const cost::attempt& attempt = {});
    /// Ends an attempt without a result, for example because the caller disconnected; the estimates do not
    /// change.
    void attempt_abandoned(const std::string& server, const cost::attempt& attempt = {});

    /// Whether a server that does not leave is in one of the regions.
    bool has_server_in(const residency::region_limit& regions) const;
    std::uint32_t in_flight(const std::string& server) const;
    /// Maximum number of connections from this instance to one server: its share of the server's limit.
    std::uint32_t connection_share() const { return m_connection_share; }
    /// Expected execution time of a request at an idle server.
    milliseconds service_time(const std::string& server) const;
    double failure_rate(const std::string& server) const;
    server_locality locality_of(const std::string& server) const;
    /// Whether the server has reported a slowdown, so that a report without one lacks it.
    bool reports_slowdown(const std::string& server) const;
    /// Service times of one server, without queuing delay and without the effect of passing slowdowns. Only
    /// answers to requests that did not have to queue are counted, or, if there are none, the queued ones
    /// with the estimated delay taken out.
    struct service_time_sample {
        std::string server;
        std::uint32_t answers = 0;
        double total_ms = 0;
    };
    /// Returns the samples of all servers collected since the last call.
    std::vector<service_time_sample> take_samples();
    bool backing_off(const std::string& server, time_point now) const;
    /// Whether servers are listed and all of those that do not leave are in evacuated failure domains that
    /// get no request, not even for the keys of an owner.
    bool all_evacuated(time_point now) const;

private:
    struct state {
        backend info;
        server_locality locality = server_locality::other_region;
        std::uint32_t in_flight = 0;
        double other_instances_load = 0; // Requests of other instances at the server, as of `reported_at`.
        time_point reported_at = never;
        double service_ms = 0;            // Smoothed time of a request without queuing; 0: no estimate yet.
        cost::server_work work;           // By cost; used if `by_cost` is set.
        load::speed_estimate speed;       // Of passing slowdowns; `service_ms` is net of them.
        double failure_rate = 0;          // Moving average over attempts.
        std::uint32_t unqueued_count = 0; // Answers without queuing since the last `take_samples`.
        double unqueued_ms = 0;           // Their total time.
        std::uint32_t queued_count = 0;   // The same for answers that had requests ahead of them.
        double queued_ms = 0;
        std::uint32_t answers = 0;            // Total number of answers.
        std::uint32_t consecutive_misses = 0; // Latest attempts in a row that were unreachable or silent.
        time_point backoff_until = never;
        time_point last_attempt_ended = never; // The estimates decay from then on.
        time_point last_attempt_started = never;
    };

    /// Chooses among a random sample of this share of the servers.
    selection choose_among(const selection_request& request, time_point now, std::mt19937_64& random,
                           double share) const;
    /// 1 unless servers are chosen by cost and many instances are likely to have the same reports. Such
    /// instances would all choose the server that was idle when it reported.
    double candidate_share(time_point now) const;
    double service_ms_of(const state& s, time_point now) const;
    double estimate_weight(const state& s, time_point now) const;
    double estimated_load(const state& s, time_point now) const;
    /// `penalize_failures`: whether failures make the server less attractive. False for the owner of a key,
    /// which has no alternative.
    /// `considers_slowdown`: whether passing slowdowns of the server are included.
    /// `estimated_cost_ms`: cost of the request, or 0 for selection by the number of requests.
    double expected_ms(const state& s, time_point now, bool penalize_failures, double estimated_cost_ms = 0,
                       bool considers_slowdown = true) const;
    /// The estimated cost of the request, or 0 if servers are not chosen by cost.
    double estimated_cost_ms(const cost::request_class& request, time_point now) const;
    double wait_by_cost_ms(const state& s, time_point now) const;
    /// Whether the request considers slowdowns; uses `random` only if any server has reported one.
    bool considers_slowdown(std::mt19937_64& random) const;
    double cost_ms(const state& s, double expected, const selection_request& request) const;
    /// Service time of a server of which nothing is known: the mean of the latest estimates. Old ones decay
    /// towards it, so they must not keep it up.
    double typical_service_ms() const;
    double max_expected_ms(const state& s, const selection_request& request, time_point now) const;
    bool has_capacity(const state& s, time_point now) const;
    /// Whether the server may get the request as a trial: it is idle, and by its estimate no request like
    /// this one could finish in time. Refused requests teach nothing, so without trials such an estimate
    /// would stay.
    bool may_try(const state& s, const selection_request& request, time_point now) const;
    /// Whether the server is in one of the regions.
    bool is_in(const state& s, const residency::region_limit& regions) const;
    /// Whether the server leaves, by the list or by its own word.
    bool leaves(const state& s) const;
    /// Earliest time at which the server may have reported that it leaves.
    time_point leaving_since(const state& s) const;
    /// Whether the server leaves and even the owner of a key may get no more requests.
    bool owner_period_ended(const state& s, time_point now) const;
    milliseconds time_until_capacity(const state& s, double expected, double max_expected) const;

    selection_settings m_settings;
    std::string m_failure_domain;
    std::map<std::string, std::string> m_regions; // Region by failure domain.
    std::shared_ptr<const server_notices> m_notices;
    std::shared_ptr<const evacuation::evacuated_domains> m_evacuations =
        std::make_shared<const evacuation::evacuated_domains>();
    std::shared_ptr<warmup::cold_servers> m_cold;
    std::map<std::string, state> m_servers; // By id.
    std::uint32_t m_connection_share = 8;
    std::uint32_t m_instances = 1;
    cost::cost_estimates m_costs;
    bool m_slowdown_reported = false;        // By any server of the service.
    mutable double m_typical_service_ms = 0; // Cached; 0: must be recomputed.
};

} // namespace balsampost::core
