// Estimates of load and service time, and the selection of a server.
#include "balsampost/core/server_selection.h"

#include "balsampost/core/residency/manifest_regions.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace balsampost::core {

namespace {

/// Service time assumed until a server of the service has answered.
constexpr double default_service_ms = 100;
/// Estimates that are older than the newest one by more than this are not typical.
constexpr milliseconds max_typical_age{3'000};
/// Weight of a new answer in the smoothed service time.
constexpr double service_time_gain = 0.1;
/// Weight of a new attempt in the failure rate.
constexpr double failure_gain = 0.12;
/// Relative increase of the expected time at a failure rate of 1; it grows with the square of the rate.
constexpr double failure_penalty = 6;
/// Consecutive attempts without an answer after which a server is backed off from.
constexpr std::uint32_t max_silent_attempts = 3;
/// The expected time may always be this multiple of the server's service time, even beyond the target
/// latency.
constexpr double min_allowance_factor = 1.5;
/// Service time of a server that is warming up, relative to a warm one.
constexpr double warmup_factor = 2;
constexpr double region_round_trip_ms = 16;
/// Sample of the nearest servers among which a choice by cost is made if instances have the same reports.
constexpr double min_candidates = 4;
/// Up to this many instances, choices are not sampled.
constexpr std::uint32_t few_instances = 8;
/// Reports up to this age, from at least half of the servers, mean that other instances have the same ones.
constexpr milliseconds shared_report_age{500};
constexpr milliseconds min_retry_after{60};
constexpr milliseconds max_retry_after{600};

/// When a server in the allowed regions will be available is not known.
selection outside_regions() {
    selection out;
    out.outside_regions = true;
    return out;
}

selection trial_selection(const std::string& server) {
    selection out;
    out.server = server;
    out.is_trial = true;
    return out;
}

/// The refusal of a request whose servers are cold; this instance may send one a request at `next`.
selection cold_selection(time_point next, time_point now) {
    selection out;
    out.retry_after = std::chrono::ceil<milliseconds>(next - now);
    out.cold = true;
    return out;
}

/// The refusal of a request whose servers are all evacuated. `returns`: when one may be used again, if that
/// is known.
selection evacuated_selection(time_point returns, time_point now) {
    selection out;
    out.retry_after = returns > now && returns != time_point::max()
                          ? std::max(min_retry_after, std::chrono::ceil<milliseconds>(returns - now))
                          : max_retry_after;
    out.evacuated = true;
    return out;
}

} // namespace

const char* to_string(server_locality locality) {
    constexpr const char* names[] = {"same_domain", "same_region", "other_region"};
    return names[static_cast<std::size_t>(locality)];
}

server_pool::server_pool(selection_settings settings, std::string failure_domain,
                         std::map<std::string, std::string> regions,
                         std::shared_ptr<const server_notices> notices,
                         std::shared_ptr<warmup::cold_servers> cold)
    : m_settings(settings), m_failure_domain(std::move(failure_domain)), m_regions(std::move(regions)),
      m_notices(std::move(notices)), m_cold(std::move(cold)) {}

void server_pool::update(const std::vector<const backend*>& servers, std::uint32_t max_connections,
                         std::uint32_t instances) {
    std::map<std::string, state> next;
    const auto own_region = m_regions.find(m_failure_domain);
    for (const auto* b : servers) {
        state s;
        const auto old = m_servers.find(b->self.id);
        if (old != m_servers.end() && old->second.info.self == b->self) {
            s = old->second;
        }
        s.info = *b;
        const auto region = m_regions.find(b->failure_domain);
        const bool same_region = region != m_regions.end() && own_region != m_regions.end() &&
                                 region->second == own_region->second;
        s.locality = b->failure_domain == m_failure_domain ? server_locality::same_domain
                     : same_region                         ? server_locality::same_region
                                                           : server_locality::other_region;
        next.emplace(b->self.id, std::move(s));
    }
    m_servers = std::move(next);
    m_instances = std::max<std::uint32_t>(instances, 1);
    m_connection_share = std::max<std::uint32_t>(2, max_connections / std::max<std::uint32_t>(instances, 1));
    m_typical_service_ms = 0;
}

double server_pool::typical_service_ms() const {
    if (m_typical_service_ms <= 0) {
        auto newest = never;
        for (const auto& [id, s] : m_servers) {
            newest = std::max(newest, s.last_attempt_ended);
        }
        double sum = 0;
        std::uint32_t known = 0;
        for (const auto& [id, s] : m_servers) {
            if (s.service_ms > 0 && newest <= after(s.last_attempt_ended, max_typical_age)) {
                sum += s.service_ms;
                ++known;
            }
        }
        m_typical_service_ms = known == 0 ? default_service_ms : sum / known;
    }
    return m_typical_service_ms;
}

double server_pool::estimated_load(const state& s, time_point now) const {
    double other_instances_load = 0;
    if (s.reported_at != never) {
        const auto age = std::chrono::duration<double>(now - s.reported_at);
        const auto half_life = std::chrono::duration<double>(m_settings.report_half_life);
        other_instances_load = s.other_instances_load * std::exp2(-age / half_life);
    }
    return other_instances_load + s.in_flight;
}

double server_pool::service_ms_of(const state& s, time_point now) const {
    const double typical = typical_service_ms();
    return s.service_ms > 0 ? typical + (s.service_ms - typical) * estimate_weight(s, now) : typical;
}

/// Weight of what was learned of a server, which decays while it gets no requests. Without the decay, a
/// server with a bad estimate would get no requests and its estimate would never improve.
double server_pool::estimate_weight(const state& s, time_point now) const {
    if (s.last_attempt_ended == never || now <= s.last_attempt_ended) {
        return 1;
    }
    return std::exp2(-std::chrono::duration<double>(now - s.last_attempt_ended) /
                     std::chrono::duration<double>(m_settings.estimate_half_life));
}

bool server_pool::considers_slowdown(std::mt19937_64& random) const {
    return !m_slowdown_reported ||
           std::uniform_real_distribution<double>(0, 1)(random) >= m_settings.slowdown_ignored_share;
}

double server_pool::expected_ms(const state& s, time_point now, bool penalize_failures,
                                double estimated_cost_ms, bool considers_slowdown) const {
    const double warmup = now < s.info.warmup_end() ? warmup_factor : 1;
    const double service = service_ms_of(s, now) * warmup;
    const double slots = std::max<std::uint32_t>(s.info.slots, 1);
    const double ahead = std::max(0.0, estimated_load(s, now) + 1 - slots);
    const double travel = s.locality == server_locality::other_region ? region_round_trip_ms : 0;
    const double failures = penalize_failures ? s.failure_rate * estimate_weight(s, now) : 0;
    const double work = estimated_cost_ms > 0
                            ? wait_by_cost_ms(s, now) + estimated_cost_ms * s.work.factor(now) * warmup
                            : service * (1 + ahead / slots);
    return ((considers_slowdown ? s.speed.elapsed_ms(work, now) : work) + travel) *
           (1 + failure_penalty * failures * failures);
}

double server_pool::estimated_cost_ms(const cost::request_class& request, time_point now) const {
    return m_settings.by_cost ? m_costs.of(request, now).ms : 0;
}

double server_pool::wait_by_cost_ms(const state& s, time_point now) const {
    return s.work.wait_ms(s.in_flight, estimated_load(s, now) - s.in_flight,
                          std::max<std::uint32_t>(s.info.slots, 1), m_costs.mean_ms(), now);
}

double server_pool::candidate_share(time_point now) const {
    if (!m_settings.by_cost || m_instances <= few_instances) {
        return 1;
    }
    std::array<std::uint32_t, 3> by_locality{};
    std::size_t reported = 0;
    for (const auto& [id, s] : m_servers) {
        ++by_locality[static_cast<std::size_t>(s.locality)];
        reported += s.reported_at != never && now - s.reported_at <= shared_report_age ? 1 : 0;
    }
    if (2 * reported < m_servers.size()) {
        return 1;
    }
    const auto nearest =
        std::find_if(by_locality.begin(), by_locality.end(), [](auto count) { return count > 0; });
    return nearest == by_locality.end() ? 1 : std::min(1.0, min_candidates / *nearest);
}

double server_pool::cost_ms(const state& s, double expected, const selection_request& request) const {
    switch (s.locality) {
    case server_locality::same_domain:
        return expected;
    case server_locality::same_region:
        return expected + static_cast<double>(m_settings.domain_cost.count());
    case server_locality::other_region:
        break;
    }
    return expected + static_cast<double>(m_settings.region_cost.count()) +
           static_cast<double>(m_settings.region_cost_per_kib.count()) *
               static_cast<double>(request.body_bytes >> 10U);
}

double server_pool::max_expected_ms(const state& s, const selection_request& request, time_point now) const {
    const double cost = estimated_cost_ms(request.cost_class, now);
    const double service = cost > 0 ? cost * s.work.factor(now) : service_ms_of(s, now);
    const auto target = static_cast<double>(std::max(request.time_to_target, milliseconds{1}).count()) *
                        m_settings.max_target_fraction;
    return std::min(static_cast<double>(request.time_to_deadline.count()) * m_settings.max_deadline_fraction,
                    std::max(target, service * min_allowance_factor));
}

bool server_pool::has_capacity(const state& s, time_point now) const {
    const double slots = std::max<std::uint32_t>(s.info.slots, 1);
    return estimated_load(s, now) + 1 <= slots * m_settings.max_load_per_slot &&
           s.in_flight < m_connection_share &&
           s.in_flight < m_notices->max_in_flight(s.info.self, s.info.slots, now) &&
           s.in_flight < m_evacuations->max_in_flight(s.info.failure_domain, s.info.slots, now) &&
           s.in_flight < m_cold->max_in_flight(s.info.self, s.info.slots, now);
}

bool server_pool::may_try(const state& s, const selection_request& request, time_point now) const {
    const double slots = std::max<std::uint32_t>(s.info.slots, 1);
    const bool idle = s.in_flight == 0 && estimated_load(s, now) + 1 <= slots;
    // The time for a trial must not have been used up elsewhere.
    if (!idle || request.full_time <= milliseconds{0} || 2 * request.time_to_deadline < request.full_time) {
        return false;
    }
    const double expected = expected_ms(s, now, false, estimated_cost_ms(request.cost_class, now));
    if (expected <= static_cast<double>(request.full_time.count()) * m_settings.max_deadline_fraction) {
        return false;
    }
    const auto interval = std::clamp(
        std::chrono::duration_cast<milliseconds>(m_settings.min_trial_interval * (m_instances / slots)),
        m_settings.min_trial_interval, m_settings.max_trial_interval);
    return now >= after(std::max(s.last_attempt_started, s.last_attempt_ended), interval);
}

bool server_pool::is_in(const state& s, const residency::region_limit& regions) const {
    return regions.unlimited() || regions.allows(residency::region_of(m_regions, s.info.failure_domain));
}

bool server_pool::has_server_in(const residency::region_limit& regions) const {
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& entry) {
        return !leaves(entry.second) && is_in(entry.second, regions);
    });
}

bool server_pool::leaves(const state& s) const {
    return s.info.draining || m_notices->leaving_since(s.info.self) != never;
}

time_point server_pool::leaving_since(const state& s) const {
    const auto by_own_word = m_notices->leaving_since(s.info.self);
    if (!s.info.draining || by_own_word == never) {
        return s.info.draining ? s.info.draining_since : by_own_word;
    }
    return std::min(s.info.draining_since, by_own_word);
}

bool server_pool::owner_period_ended(const state& s, time_point now) const {
    return leaves(s) && now >= after(leaving_since(s), m_settings.draining_owner_period);
}

bool server_pool::may_send(const std::string& server, bool owner, time_point now) const {
    const auto found = m_servers.find(server);
    return found != m_servers.end() &&
           !(owner ? owner_period_ended(found->second, now) : leaves(found->second)) &&
           m_evacuations->may_receive(found->second.info.failure_domain, owner, now);
}

milliseconds server_pool::time_until_capacity(const state& s, double expected, double max_expected) const {
    const double slots = std::max<std::uint32_t>(s.info.slots, 1);
    const milliseconds retry{
        static_cast<std::int64_t>(std::max(expected - max_expected, typical_service_ms() / slots))};
    return std::clamp(retry, min_retry_after, max_retry_after);
}

selection server_pool::choose(const selection_request& request, time_point now,
                              std::mt19937_64& random) const {
    const double share = candidate_share(now);
    auto out = choose_among(request, now, random, share);
    return out.server.empty() && share < 1 ? choose_among(request, now, random, 1) : out;
}

selection server_pool::choose_among(const selection_request& request, time_point now, std::mt19937_64& random,
                                    double share) const {
    const state* best = nullptr;
    double best_cost = 0;
    double best_expected = 0;
    const state* trial = nullptr; // The server that waited longest for an attempt.
    auto soonest = max_retry_after;
    auto pause_ends = time_point::max(); // Of the servers that could serve but for their pause.
    bool only_paused = true;
    bool any_outside = request.allowed_regions.exhausted();
    bool any_inside = false;
    bool only_evacuated = true;       // No server that stays is outside the evacuated failure domains.
    auto returns = time_point::max(); // First end of an evacuation that is known.
    bool any_evacuated = false;
    auto cold_until = time_point::max(); // Earliest request to a server that could serve but for its warm-up.
    bool only_cold = true;
    // Jitter keeps instances with equal estimates from all choosing the same server.
    std::uniform_real_distribution<double> jitter(0.95, 1.05);
    const bool slowdowns = considers_slowdown(random);
    const double cost_estimate = estimated_cost_ms(request.cost_class, now);
    for (const auto& [id, s] : m_servers) {
        if (share < 1 && std::uniform_real_distribution<double>(0, 1)(random) >= share) {
            continue;
        }
        if (leaves(s)) {
            continue;
        }
        if (!is_in(s, request.allowed_regions)) {
            any_outside = true;
            continue;
        }
        if (!m_evacuations->may_receive(s.info.failure_domain, false, now)) {
            any_inside = any_evacuated = true;
            returns = std::min(returns, m_evacuations->returns_at(s.info.failure_domain));
            continue;
        }
        only_evacuated = false;
        if (std::find(request.excluded_servers.begin(), request.excluded_servers.end(), id) !=
            request.excluded_servers.end()) {
            continue;
        }
        any_inside = true;
        if (now < s.backoff_until) {
            continue;
        }
        if (m_notices->paused(s.info.self, now)) {
            pause_ends = std::min(pause_ends, m_notices->resumes_at(s.info.self));
            continue;
        }
        only_paused = false;
        if (!m_cold->may_send(s.info.self, now)) {
            cold_until = std::min(cold_until, m_cold->next_request_at(s.info.self, now));
            continue;
        }
        only_cold = false;
        const double expected = expected_ms(s, now, true, cost_estimate, slowdowns);
        const double max_expected = max_expected_ms(s, request, now);
        const bool capacity = has_capacity(s, now);
        if (!capacity || expected > max_expected) {
            soonest = std::min(soonest, time_until_capacity(s, expected, max_expected));
            if (capacity && may_try(s, request, now) &&
                (trial == nullptr || s.last_attempt_started < trial->last_attempt_started)) {
                trial = &s;
            }
            continue;
        }
        const double cost = cost_ms(s, expected * jitter(random), request) +
                            s.work.crowding_ms(cost_estimate, m_costs.mean_ms(), s.info.slots);
        if (best == nullptr || cost < best_cost) {
            best = &s;
            best_cost = cost;
            best_expected = expected;
        }
    }
    if (any_outside && !any_inside) {
        return outside_regions();
    }
    if (any_evacuated && only_evacuated) {
        return evacuated_selection(returns, now);
    }
    if (best == nullptr && only_paused && pause_ends != time_point::max()) {
        return {"", milliseconds{0}, std::chrono::ceil<milliseconds>(pause_ends - now), true};
    }
    if (best == nullptr && only_cold && cold_until != time_point::max()) {
        return cold_selection(cold_until, now);
    }
    if (best == nullptr && trial != nullptr) {
        return trial_selection(trial->info.self.id);
    }
    if (best == nullptr) {
        return {"", milliseconds{0}, soonest};
    }
    return {best->info.self.id, milliseconds{static_cast<std::int64_t>(best_expected)}, milliseconds{0}};
}

selection server_pool::check(const std::string& server, const selection_request& request,
                             time_point now) const {
    const auto found = m_servers.find(server);
    if (found != m_servers.end() && !is_in(found->second, request.allowed_regions)) {
        return outside_regions();
    }
    if (found == m_servers.end() || now < found->second.backoff_until ||
        owner_period_ended(found->second, now)) {
        return {"", milliseconds{0}, min_retry_after};
    }
    const auto& s = found->second;
    if (!m_evacuations->may_receive(s.info.failure_domain, true, now)) {
        return evacuated_selection(time_point::max(), now);
    }
    if (m_notices->paused(s.info.self, now)) {
        return {"", milliseconds{0},
                std::chrono::ceil<milliseconds>(m_notices->resumes_at(s.info.self) - now), true};
    }
    if (!m_cold->may_send(s.info.self, now)) {
        const auto next = m_cold->next_request_at(s.info.self, now);
        return cold_selection(next, now);
    }
    const double expected = expected_ms(s, now, false, estimated_cost_ms(request.cost_class, now));
    const double max_expected = max_expected_ms(s, request, now);
    const bool capacity = has_capacity(s, now);
    if (capacity && expected > max_expected && may_try(s, request, now)) {
        return trial_selection(server);
    }
    if (!capacity || expected > max_expected) {
        return {"", milliseconds{0}, time_until_capacity(s, expected, max_expected)};
    }
    return {server, milliseconds{static_cast<std::int64_t>(expected)}, milliseconds{0}};
}

cost::attempt server_pool::attempt_started(const std::string& server, time_point now,
                                           const cost::request_class& cost_class, bool is_trial) {
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return {};
    }
    auto& s = found->second;
    const double cost = estimated_cost_ms(cost_class, now);
    const cost::attempt attempt{cost_class, cost, m_settings.by_cost ? wait_by_cost_ms(s, now) : 0,
                                cost::server_work::is_long(cost, m_costs.mean_ms()), is_trial};
    s.work.started(attempt);
    ++s.in_flight;
    s.last_attempt_started = now;
    m_cold->sent(s.info.self, now);
    return attempt;
}

void server_pool::attempt_abandoned(const std::string& server, const cost::attempt& attempt) {
    const auto found = m_servers.find(server);
    if (found != m_servers.end() && found->second.in_flight > 0) {
        found->second.work.ended(attempt);
        --found->second.in_flight;
    }
}

void server_pool::attempt_ended(const std::string& server, attempt_result result, milliseconds took,
                                std::optional<load_report> report, time_point now,
                                const cost::attempt& attempt) {
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return;
    }
    auto& s = found->second;
    s.work.ended(attempt);
    if (s.in_flight > 0) {
        --s.in_flight;
    }
    const bool missed = result == attempt_result::unreachable || result == attempt_result::silent;
    s.last_attempt_ended = now;
    s.consecutive_misses = missed ? s.consecutive_misses + 1 : 0;
    // A single silent attempt may be a long request, but an unreachable server is certainly not serving.
    if (result == attempt_result::unreachable || s.consecutive_misses >= max_silent_attempts) {
        const auto backoff =
            m_settings.initial_backoff * (1U << std::min<std::uint32_t>(s.consecutive_misses - 1, 4));
        s.backoff_until = now + std::min<milliseconds>(backoff, m_settings.max_backoff);
    }
    if (result == attempt_result::silent && static_cast<double>(took.count()) > s.service_ms) {
        s.service_ms += service_time_gain * (static_cast<double>(took.count()) - s.service_ms);
        m_typical_service_ms = 0;
    }
    const double failed = result == attempt_result::answered  ? 0.0
                          : result == attempt_result::refused ? 0.5
                                                              : 1.0;
    s.failure_rate += failure_gain * (failed - s.failure_rate);
    if (report) {
        const double total = report->running + report->waiting;
        // The report includes the request that it came with.
        s.other_instances_load = std::max(0.0, total - 1 - s.in_flight);
        s.reported_at = now;
        if (report->slots > 0) {
            s.info.slots = report->slots;
        }
        if (report->slowdown) {
            s.speed.stated(*report->slowdown, now);
            m_slowdown_reported = true;
        }
    }
    if (result == attempt_result::answered && attempt.ms > 0) {
        m_costs.learn(attempt.request, s.work.answered(attempt, s.speed.work_ms(took, now), now), now);
    }
    if (result == attempt_result::answered) {
        // Takes out the queuing delay, on the assumption that the requests ahead were spread over all slots.
        const double slots = std::max<std::uint32_t>(s.info.slots, 1);
        const double ahead = std::max(0.0, estimated_load(s, now) + 1 - slots);
        const double sample = s.speed.work_ms(took, now) / (1 + ahead / slots);
        ++s.answers;
        // An answer in time to a trial refutes the estimate.
        const double gain =
            attempt.is_trial && sample < s.service_ms ? 1 : std::max(service_time_gain, 1.0 / s.answers);
        s.service_ms += gain * (sample - s.service_ms);
        m_typical_service_ms = 0;
        const bool queued = (report && report->waiting > 0) || ahead > 0;
        ++(queued ? s.queued_count : s.unqueued_count);
        (queued ? s.queued_ms : s.unqueued_ms) += sample;
    }
}

std::uint32_t server_pool::in_flight(const std::string& server) const {
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? 0 : found->second.in_flight;
}

milliseconds server_pool::service_time(const std::string& server) const {
    const auto found = m_servers.find(server);
    const double ms = found == m_servers.end() || found->second.service_ms <= 0 ? typical_service_ms()
                                                                                : found->second.service_ms;
    return milliseconds{static_cast<std::int64_t>(ms)};
}

bool server_pool::reports_slowdown(const std::string& server) const {
    const auto found = m_servers.find(server);
    return found != m_servers.end() && found->second.speed.known();
}

std::vector<server_pool::service_time_sample> server_pool::take_samples() {
    std::vector<service_time_sample> out;
    for (auto& [id, s] : m_servers) {
        if (s.unqueued_count > 0) {
            out.push_back({id, s.unqueued_count, s.unqueued_ms});
        } else if (s.queued_count > 0) {
            // A server that always has a queue yields no other samples.
            out.push_back({id, s.queued_count, s.queued_ms});
        }
        s.unqueued_count = s.queued_count = 0;
        s.unqueued_ms = s.queued_ms = 0;
    }
    return out;
}

double server_pool::failure_rate(const std::string& server) const {
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? 0.0 : found->second.failure_rate;
}

server_locality server_pool::locality_of(const std::string& server) const {
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? server_locality::other_region : found->second.locality;
}

bool server_pool::all_evacuated(time_point now) const {
    bool any = false;
    for (const auto& [id, s] : m_servers) {
        if (leaves(s)) {
            continue;
        }
        if (m_evacuations->may_receive(s.info.failure_domain, true, now)) {
            return false;
        }
        any = true;
    }
    return any;
}

bool server_pool::backing_off(const std::string& server, time_point now) const {
    const auto found = m_servers.find(server);
    return found != m_servers.end() && now < found->second.backoff_until;
}

} // namespace balsampost::core
