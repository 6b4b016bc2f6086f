// The failure domains that the operator has evacuated, and which servers there may still get requests: none
// without keys, and owners of keys for a part of the bound, while their keys are moved. After an evacuation
// is withdrawn, instances return to the servers at different times and with few requests at first.
#pragma once

#include "balsampost/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace balsampost::core::evacuation {

/// Part of the bound for which an owner of keys still gets requests; the rest is for their way there.
inline constexpr int owner_period_percent = 75;

/// Part of `bound` for which an owner of keys still gets requests.
constexpr milliseconds owner_period_of(milliseconds bound) {
    return bound * owner_period_percent / 100;
}

struct evacuation_settings {
    /// How long an owner of keys gets requests, from the earliest time at which the evacuation may have been
    /// requested.
    milliseconds owner_period{owner_period_of(milliseconds{5'000})};
    /// After the withdrawal, instances return to servers without keys spread over this time.
    milliseconds return_spread{1'000};
    /// From its return on, an instance limits its requests in flight at each server for this time; the limit
    /// rises evenly.
    milliseconds return_ramp{1'000};
    /// Evacuated domains that no setting names and that are kept; further ones are ignored.
    std::size_t max_unknown_domains = 256;
};

/// What became of a request for an evacuation.
enum class request_result : std::uint8_t {
    began,
    in_force_already,
    ignored, ///< The name cannot be that of a failure domain, or too many unknown ones are evacuated.
};

/// Whether `name` can be the name of a failure domain: printable ASCII of at most 253 characters, as names of
/// the store's objects are.
bool is_domain_name(const std::string& name);

/// Set of evacuated failure domains. Not thread-safe.
///
/// Invariant: a domain is evacuated or returning, never both.
class evacuated_domains {
public:
    /// `known_domains`: those of the settings, which always have room here.
    explicit evacuated_domains(evacuation_settings settings = {}, std::set<std::string> known_domains = {})
        : m_settings(settings), m_known(std::move(known_domains)) {}

    /// Until the first call of `replace`, every domain may be evacuated: no server gets a request.
    void await_list() { m_list_pending = true; }

    /// Records an evacuation requested at `not_before` or later; `never` if nothing is known of the time. A
    /// second request for the same domain never extends the time of its owners.
    request_result request(const std::string& domain, time_point not_before);
    /// Ends the evacuation of `domain` at `now`. `spread`, from 0 to 1, is this instance's place in the
    /// return. Returns whether there was one.
    bool withdraw(const std::string& domain, time_point now, double spread);

    struct changes {
        std::vector<std::string> began;
        std::vector<std::string> ended;
        std::vector<std::string> ignored;
    };
    /// Replaces the set by the complete list read at `now`, whose changes were made at `not_before` or later.
    changes replace(const std::vector<std::string>& domains, time_point not_before, time_point now,
                    double spread);

    /// Whether a request may be sent at `now` to a server in `domain`. `owner`: the server owns the request's
    /// key.
    bool may_receive(const std::string& domain, bool owner, time_point now) const;
    /// When requests without a key may be sent to `domain` again: `time_point::max()` while it is evacuated,
    /// `never` if it was not.
    time_point returns_at(const std::string& domain) const;
    /// Limit of the requests in flight at a server with `slots` after a withdrawal.
    std::uint32_t max_in_flight(const std::string& domain, std::uint32_t slots, time_point now) const;

    bool contains(const std::string& domain) const { return m_evacuated.contains(domain); }
    /// Earliest time at which each evacuation may have been requested, by domain.
    const std::map<std::string, time_point>& evacuated() const { return m_evacuated; }
    /// Whether every server may receive requests without a limit.
    bool unrestricted() const { return !m_list_pending && m_evacuated.empty() && m_returning.empty(); }

private:
    evacuation_settings m_settings;
    std::set<std::string> m_known;
    std::map<std::string, time_point> m_evacuated;
    std::size_t m_unknown = 0; // Domains in m_evacuated that are not in m_known.
    /// When this instance returns to each domain after a withdrawal. At most as many as m_known holds and
    /// `max_unknown_domains`.
    std::map<std::string, time_point> m_returning;
    bool m_list_pending = false;
};

} // namespace balsampost::core::evacuation
