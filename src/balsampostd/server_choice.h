// Selects a backend server for requests of services that are not divided by key.
#pragma once

#include "balsampost/core/identity.h"
#include "balsampost/core/time.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace balsampost::daemon {

/// Location of a server relative to this entry.
enum class distance : std::uint8_t { same_domain, same_region, other_region };

struct choice_candidate {
    std::string server;
    distance server_distance = distance::other_region;
};

/// Selects the server with the lowest score. The score grows with the server's distance, the requests that
/// this entry has in flight there and the load that the server's home reported last.
class server_choice {
public:
    /// Returns the index of the selected candidate. Servers in `tried` are selected only if no other is left.
    /// `candidates` must not be empty.
    std::size_t choose(const std::vector<choice_candidate>& candidates, const std::vector<std::string>& tried,
                       std::uint32_t slots, core::time_point now, std::mt19937_64& random) const;
    void request_started(const std::string& server) { ++m_servers[server].in_flight; }
    void request_finished(const std::string& server) { --m_servers[server].in_flight; }
    /// Stores the load that the server's home reported, in thousandths of the server's slots.
    void update_load(const std::string& server, std::uint32_t permille, core::time_point now);
    void record_failure(const std::string& server, core::time_point now) {
        m_servers[server].last_failure = now;
    }

private:
    struct server_state {
        /// Requests that this entry has sent and that are not finished.
        std::uint32_t in_flight = 0;
        /// Requests running or waiting at the server as a fraction of its slots, as its home last reported.
        double load = 0;
        /// When `load` was reported.
        core::time_point load_updated = core::never;
        core::time_point last_failure = core::never;
    };
    double score(const choice_candidate& candidate, std::uint32_t slots, core::time_point now) const;

    std::map<std::string, server_state> m_servers;
};

} // namespace balsampost::daemon
