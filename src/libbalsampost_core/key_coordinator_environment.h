// A store with conditional updates and servers that answer orders, for tests of the coordinator of one keyed
// service. Tests inject lost answers, silent servers and other coordinators explicitly.
#pragma once

#include "balsampost/core/key_coordinator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace balsampost::core::coordinator_environment {

using std::chrono::seconds;

inline constexpr time_point start{seconds{1000}};

inline backend server(const std::string& id, std::uint16_t port) {
    backend b;
    b.self = {id, 100};
    b.service = "beds";
    b.address = {"10.0.0.1", port};
    b.slots = 6;
    return b;
}

/// Simulated store and servers of a coordinator. Calls are answered at once unless a fault is injected.
struct environment {
    time_point now = start;
    std::vector<backend> servers;
    store::epoch epoch; // Of all answers.
    std::uint64_t revision = 1;
    std::optional<tenure_record> tenure;
    std::uint64_t tenure_revision = 0;
    std::optional<key_table> table;
    std::uint64_t table_revision = 0;
    bool store_silent = false;
    bool store_refuses_writes = false;
    int refused_writes = 0;
    std::set<std::string> silent_servers;
    std::set<std::string> refusing_servers;
    std::size_t probes = 0;
    std::vector<send_grant> grants;
    std::vector<send_release> releases;
    std::string handover = "h1";
    bool withhold_release_answers = false;
    std::vector<send_release> unanswered_releases;

    std::vector<const backend*> listed() const {
        std::vector<const backend*> out;
        for (const auto& b : servers) {
            out.push_back(&b);
        }
        return out;
    }

    void handle(key_coordinator& c, const read_tenure&) {
        if (!store_silent) {
            c.tenure_read({epoch, tenure_revision}, tenure, now);
        }
    }
    void handle(key_coordinator& c, const write_tenure& a) {
        if (store_silent) {
            return;
        }
        if (store_refuses_writes) {
            ++refused_writes;
            c.tenure_written(write_outcome::failed, 0, now, now);
            return;
        }
        if (a.if_revision != store::revision(epoch, tenure_revision)) {
            c.tenure_written(write_outcome::conflict, 0, now, now);
            return;
        }
        tenure = a.record;
        tenure_revision = ++revision;
        c.tenure_written(write_outcome::done, {epoch, tenure_revision}, now, now);
    }
    void handle(key_coordinator& c, const read_table&) {
        if (!store_silent) {
            c.table_read({epoch, table_revision}, table, now);
        }
    }
    void handle(key_coordinator& c, const write_table& a) {
        if (store_silent) {
            return;
        }
        if (a.if_revision != store::revision(epoch, table_revision)) {
            c.table_written(write_outcome::conflict, 0, now);
            return;
        }
        CPPUNIT_ASSERT(is_valid(a.table));
        table = a.table;
        table_revision = ++revision;
        c.table_written(write_outcome::done, {epoch, table_revision}, now);
    }
    bool unreachable(key_coordinator& c, const incarnation& to) {
        if (refusing_servers.contains(to.id)) {
            c.server_refused(to, now);
            return true;
        }
        return silent_servers.contains(to.id);
    }
    void handle(key_coordinator& c, const probe_server& a) {
        ++probes;
        c.probe_ended(a.to, !unreachable(c, a.to), now);
    }
    void handle(key_coordinator& c, const send_grant& a) {
        CPPUNIT_ASSERT(a.at.port != 0);
        grants.push_back(a);
        c.grant_ended(a.order, unreachable(c, a.to) ? order_outcome::not_sent : order_outcome::done, now);
    }
    void handle(key_coordinator& c, const send_release& a) {
        CPPUNIT_ASSERT(a.at.port != 0);
        releases.push_back(a);
        if (withhold_release_answers) {
            unanswered_releases.push_back(a);
            return;
        }
        const bool silent = unreachable(c, a.to);
        c.release_ended(a.order, silent ? order_outcome::not_sent : order_outcome::done,
                        silent ? "" : handover, now);
    }

    /// Performs steps until no action is left.
    void step_until_idle(key_coordinator& c) {
        for (int round = 0; round < 50; ++round) {
            const auto actions = c.step(now);
            CPPUNIT_ASSERT_MESSAGE("the next step is due at once, which would cause a busy loop",
                                   c.next_due() > now);
            if (actions.empty()) {
                return;
            }
            for (const auto& action : actions) {
                std::visit([&](const auto& a) { handle(c, a); }, action);
            }
        }
        CPPUNIT_FAIL("the coordinator still returns actions after 50 rounds");
    }

    void run(key_coordinator& c, milliseconds length) {
        const auto end = now + length;
        while (now < end) {
            step_until_idle(c);
            now = std::min<time_point>(end, std::max<time_point>(c.next_due(), now + milliseconds{10}));
        }
        step_until_idle(c);
    }

    std::size_t grants_to(const std::string& id) const {
        return static_cast<std::size_t>(
            std::count_if(grants.begin(), grants.end(), [&](const auto& g) { return g.to.id == id; }));
    }
};

inline key_coordinator coordinator(const std::string& name) {
    return {{}, "beds", name, {"10.0.0.9", 7000}, start};
}

inline environment with_servers(int count) {
    environment w;
    for (int i = 0; i < count; ++i) {
        w.servers.push_back(server("s" + std::to_string(i), static_cast<std::uint16_t>(8000 + i)));
    }
    return w;
}

/// Runs until no key is owned by `lost` or moving, and returns the time it took.
inline duration until_owned_elsewhere(environment& w, key_coordinator& c, const incarnation& lost) {
    const auto from = w.now;
    while (true) {
        w.step_until_idle(c);
        const auto& ranges = c.effective_table().ranges;
        if (std::none_of(ranges.begin(), ranges.end(),
                         [&](const auto& r) { return r.moving() || r.owner == lost; })) {
            return w.now - from;
        }
        CPPUNIT_ASSERT(w.now < from + seconds{30});
        w.now += milliseconds{20};
    }
}

} // namespace balsampost::core::coordinator_environment
