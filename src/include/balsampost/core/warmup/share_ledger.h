// Shares of the request rate of cold servers. A server is cold for some time after its start and crashes if
// all instances together send it too many requests, so only instances that hold a share send it any. The
// publisher of the change feed hands out the shares of its direct reporters, and a relay divides its own
// share among its members, both with a `share_ledger`.
//
// The sum of the shares in force never exceeds the limit, because:
//  1. A holder counts the lifetime of a share from the time at which it sent the report that the share
//  answers.
//     The ledger counts it from the later time at which that report arrived, and adds the difference of the
//     clocks. A share that arrives late therefore ends no later than the ledger assumes.
//  2. The ledger counts every share handed out until then, and one spacing longer, so that the last request
//  of
//     one holder and the first of the next are as far apart as those of one holder.
//  3. A new publisher does not know the shares of its predecessor and waits for the longest lifetime first.
//  4. What a relay hands out ends no later than its own share.
#pragma once

#include "balsampost/core/backend_directory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsampost::core::warmup {

/// How the rate of a cold server is divided: at most `units` shares of one unit, each of which allows one
/// request per `spacing`.
struct share_plan {
    std::uint32_t units = 0;
    milliseconds spacing{0};
};

/// Divides the rate `per_s`, of which the server bears `max_in_second` requests in any second.
///
/// The spacing is 1.1 s rather than 1 s: at a holder whose clock is 2% fast it is still 1.078 s, so a unit
/// causes at most one arrival in any second even if the network holds one request up by 78 ms more than the
/// next. If it holds requests up by 1.15 s, for example in a retransmission, a unit causes two arrivals;
/// therefore there are at most `max_in_second / 2` units.
share_plan divide_rate(double per_s, double max_in_second);

/// Permission to send requests to a cold server.
struct share {
    incarnation server;
    /// The holder may send this many requests per `spacing`, evenly spaced.
    std::uint32_t units = 0;
    milliseconds spacing{0};
    /// From the time at which the holder sent the report that this share answers, by its own clock.
    milliseconds lifetime{0};
};

struct ledger_settings {
    /// Longest lifetime of a share. Instances report every 250 to 800 ms, so two lost reports are survived.
    milliseconds lifetime{2'000};
    /// Fraction by which a clock may run fast or slow.
    double max_clock_drift = 0.02;
    /// Safety rules. Tests switch each one off to check that a cold server then gets too many requests.
    bool wait_for_expiry = true;
    bool wait_after_takeover = true;
};

/// An instance that may get shares.
struct candidate {
    std::string instance;
    std::string failure_domain;
    /// Number of instances among which it divides its share.
    std::uint32_t members = 0;

    bool operator==(const candidate&) const = default;
};

/// A cold server and what may be handed out for it.
struct share_limit {
    incarnation server;
    std::string failure_domain;
    share_plan plan;
    /// No share may be in force later. The publisher has no such limit; a relay has the end of its own share.
    time_point ends = time_point::max();

    bool operator==(const share_limit& other) const {
        return server == other.server && failure_domain == other.failure_domain &&
               plan.units == other.plan.units && plan.spacing == other.plan.spacing && ends == other.ends;
    }
};

/// Hands out shares; see the top of this file. Not thread-safe.
class share_ledger {
public:
    explicit share_ledger(ledger_settings settings = {}) : m_settings(settings) {}

    /// This instance became the publisher: nothing is handed out until the shares of the earlier publisher
    /// have expired.
    void taken_over(time_point now) { m_taken_over_at = now; }
    /// Replaces the limits. Shares handed out earlier stay counted until they have expired.
    void set_limits(const std::vector<share_limit>& limits);
    /// Replaces the instances that may get shares.
    void set_candidates(std::vector<candidate> candidates);
    /// Hands out the shares of `instance`, whose latest report arrived at `reported_at`.
    std::vector<share> grant(const std::string& instance, time_point reported_at, time_point now);
    /// Units of `server` that may be in force at `now`, with the time until they may be given to others.
    std::uint32_t in_force(const incarnation& server, time_point now) const;

private:
    struct handed_out {
        std::uint32_t units = 0;
        time_point until{};
    };
    /// In order of `until`, and of falling `units`: a share that ends earlier than one of more units does not
    /// matter.
    using holdings = std::vector<handed_out>;

    std::optional<share> grant(const share_limit& limit, const std::string& instance, time_point reported_at,
                               time_point now);
    /// Units that `instance` is to hold: those near the server first, then by a rank that differs by server.
    std::uint32_t target(const share_limit& limit, const std::string& instance);
    /// `length` of another clock, as the longest time that it may take by this clock.
    duration longest(duration length) const;
    void forget_expired(time_point now);

    ledger_settings m_settings;
    time_point m_taken_over_at = never;
    std::map<incarnation, share_limit> m_limits;
    std::vector<candidate> m_candidates;
    std::map<incarnation, std::map<std::string, std::uint32_t>> m_targets; // By instance; computed on demand.
    std::map<incarnation, std::map<std::string, holdings>> m_held;         // By instance.
};

} // namespace balsampost::core::warmup
