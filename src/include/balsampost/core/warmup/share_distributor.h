// One instance's part in handing out shares of cold servers: as the publisher of the change feed, as a relay
// that divides its share among its members, or as a holder that keeps its whole share. The rule is the same
// at both levels; only the limit differs (the plan of the server, or this instance's own share).
#pragma once

#include "balsampost/core/warmup/cold_servers.h"
#include "balsampost/core/warmup/share_ledger.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsampost::core::warmup {

/// Not thread-safe.
class share_distributor {
public:
    /// `cold` receives this instance's own part; it must outlive the distributor. `started`: start of this
    /// process. An earlier one under the same name may have been a relay whose members still hold parts of
    /// its share, so nothing is handed out until these have expired.
    share_distributor(candidate self, cold_servers& cold, time_point started, ledger_settings settings = {});

    /// This instance publishes the change feed in tenure `term`; `limits` are those of all cold servers.
    /// Returns whether it began to, and therefore waits for the shares of an earlier publisher to expire.
    bool publish(const std::vector<share_limit>& limits, std::uint64_t term, time_point now);
    /// This instance does not publish, or its tenure has ended.
    void follow(time_point now);
    /// Sets the instances that report to this one.
    void set_reporters(std::vector<candidate> reporters);
    /// Records the shares in an update that answers this instance's report of `reported_at`.
    void receive(const std::vector<share>& shares, time_point reported_at, time_point now);
    /// Shares for an instance whose latest report arrived at `reported_at`. As the publisher, the caller must
    /// have called `publish` or `follow` for the tenure's state at `now`.
    std::vector<share> shares_for(const std::string& instance, time_point reported_at, time_point now) {
        return m_ledger.grant(instance, reported_at, now);
    }
    bool publishes() const { return m_publishes; }

private:
    struct received_share {
        share given;
        time_point reported_at{};
    };
    /// Sets the limits from the shares received, and takes this instance's own part.
    void divide_received(time_point now);
    void take_own(time_point now);

    candidate m_self;
    cold_servers& m_cold;
    share_ledger m_ledger;
    std::map<incarnation, received_share> m_received;
    bool m_publishes = false;
    std::uint64_t m_term = 0;
};

} // namespace balsampost::core::warmup
