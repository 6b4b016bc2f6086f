// The work that is left at a server, and the expected completion of a further request there by cost.
#pragma once

#include "balsampost/core/cost/cost_estimates.h"

#include <cstdint>

namespace balsampost::core::cost {

/// An attempt at a server, as it was estimated when it was sent.
struct attempt {
    request_class request;
    double ms = 0;         ///< Estimated cost; 0: the attempt is not counted by cost.
    double wait_ms = 0;    ///< Expected time in the server's queue.
    bool is_long = false;  ///< Its cost is a multiple of the service's mean.
    bool is_trial = false; ///< Sent although the estimates speak against it, to check them.
};

/// This instance's requests at one server by cost, and how fast the server is relative to the mean of the
/// service. The remaining work of a running request counts as its whole cost, which is exact for
/// exponentially distributed times and errs towards a longer wait for steadier ones.
class server_work {
public:
    void started(const attempt& a) {
        m_ms += a.ms;
        m_long += a.is_long ? 1 : 0;
    }
    void ended(const attempt& a) {
        m_ms = m_ms > a.ms ? m_ms - a.ms : 0;
        m_long -= a.is_long && m_long > 0 ? 1 : 0;
    }
    /// How much less attractive the server is for a long request that would leave fewer than half of the
    /// slots to short ones. It goes elsewhere unless it would wait there for longer than it runs, so that
    /// short requests are not delayed by more long ones than that.
    double crowding_ms(double cost_ms, double mean_ms, double slots) const {
        return is_long(cost_ms, mean_ms) && 2 * (m_long + 1) > slots ? cost_ms : 0;
    }
    static bool is_long(double cost_ms, double mean_ms) { return cost_ms > 3 * mean_ms; }
    double ms() const { return m_ms; }

    /// Learns the server's factor from a request that took `took_ms`, net of passing slowdowns, and returns
    /// its cost at an average server.
    double answered(const attempt& a, double took_ms, time_point now);
    double factor(time_point now) const;

    /// Expected wait for a slot. `in_flight`: requests of this instance; `others`: those of other instances,
    /// each of `mean_ms`.
    double wait_ms(double in_flight, double others, double slots, double mean_ms, time_point now) const;

private:
    double m_ms = 0;          // Sum of the costs of this instance's requests.
    std::uint32_t m_long = 0; // Long ones among them.
    double m_factor = 1;      // Multiple of the cost that requests take here, as of `m_answered_at`.
    double m_answers = 0;
    time_point m_answered_at = never;
};

} // namespace balsampost::core::cost
