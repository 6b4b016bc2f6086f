// What backend servers say of themselves in their answers: that they leave, or that they want no request for
// some time. Such a word holds whatever the platform's list says, until a new incarnation of the server.
#pragma once

#include "balsampost/core/backend_directory.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace balsampost::core {

/// The notices in one answer of a server. The caller must have checked that the answer is the server's own.
struct server_notice {
    bool leaving = false;
    /// The server wants no request from this instance for this time.
    std::optional<milliseconds> pause;

    bool empty() const { return !leaving && !pause; }
};

/// What a notice changed.
struct notice_change {
    bool began_leaving = false;
    /// New end of the server's pause, if it was extended.
    std::optional<time_point> paused_until;
};

struct notice_settings {
    /// Longest pause that is kept; a longer one is cut to it.
    milliseconds max_pause{24 * 3'600 * 1'000};
    /// After a pause, instances return to the server spread over this share of the pause ...
    double resume_spread = 0.1;
    /// ... and over this time at most.
    milliseconds max_resume_spread{1'000};
    /// After a pause, the requests in flight at the server are limited for this time; the limit rises evenly.
    milliseconds resume_ramp{1'000};
    /// Servers remembered; of more, those heard of first are forgotten.
    std::size_t max_servers = 4'096;
};

/// Notices by incarnation, of all services. They outlast the server's entry in the list, since an entry that
/// was lost in an outage may return. Not thread-safe.
class server_notices {
public:
    explicit server_notices(notice_settings settings = {}) : m_settings(settings) {}

    /// Records a notice that arrived at `now`. A pause never ends earlier than one heard before. `spread`,
    /// from 0 to 1, is this instance's place in the return after the pause.
    notice_change hear(const incarnation& server, const server_notice& notice, time_point now, double spread);

    /// When the server first said that it leaves; `never` if it has not.
    time_point leaving_since(const incarnation& server) const;
    /// When requests may be sent again; `never` if the server has not asked for a pause.
    time_point resumes_at(const incarnation& server) const;
    bool paused(const incarnation& server, time_point now) const { return now < resumes_at(server); }
    /// Limit of the requests in flight at a server with `slots` after a pause.
    std::uint32_t max_in_flight(const incarnation& server, std::uint32_t slots, time_point now) const;

    /// Servers that have said that they leave.
    std::vector<incarnation> leaving() const;
    std::size_t size() const { return m_servers.size(); }

private:
    struct state {
        time_point leaving_since = never;
        time_point paused_until = never;
        time_point resumes_at = never; // Not before paused_until.
    };
    const state* find(const incarnation& server) const;

    notice_settings m_settings;
    std::map<incarnation, state> m_servers;
    std::deque<incarnation> m_order; // The keys of m_servers, in the order in which they were first heard of.
};

} // namespace balsampost::core
