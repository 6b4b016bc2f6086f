// Simulation of load on a service without keys in virtual time, shared by the tests and the measurement
// program: instances with the real server_pool, or with a simpler policy for comparison, and servers with
// slots, queues, unequal speeds and requests of unequal cost. No network; a run is the same for the same
// seed.
#pragma once

#include "balsampost/core/server_selection.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace balsampost::core::cost::simulation {

enum class policy : std::uint8_t { random, two_choices, least_outstanding, by_count, by_cost };

inline const char* to_string(policy p) {
    constexpr const char* names[] = {"random", "two choices", "least outstanding", "by count", "by cost"};
    return names[static_cast<std::size_t>(p)];
}

/// A class of requests: its share, mean time, and the spread of the logarithm of the time.
struct request_kind {
    double share = 1;
    double mean_ms = 100;
    double sigma = 0.3;
};

struct selection_case {
    const char* name = "";
    std::vector<request_kind> kinds{{0.5, 60, 0.3}, {0.5, 140, 0.3}};
    int servers = 16;
    int instances = 4;
    std::uint32_t slots = 4;
    std::size_t max_queue = 16;
    double load = 0.75; // Offered work relative to the capacity of all servers.
    double slow_server = 1;
    milliseconds swap_interval{0}; // After this time, the kinds exchange their costs; 0: never.
    milliseconds spell{0};         // As in keyed_load.h.
    bool reads_speed = true;
    milliseconds target{400};
    milliseconds deadline{4'000};
    milliseconds length{20'000};
    milliseconds settled{4'000};
};

struct selection_results {
    std::vector<double> latencies_ms;       // Of answered requests.
    std::vector<double> short_latencies_ms; // Of those of the kind with the lowest mean.
    double in_target = 0;
    double refused = 0;
    double total = 0;

    static double quantile(std::vector<double> v, double q) {
        if (v.empty()) {
            return 0;
        }
        const auto at = v.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(v.size() - 1));
        std::nth_element(v.begin(), at, v.end());
        return *at;
    }
    double p50() const { return quantile(latencies_ms, 0.5); }
    double p99() const { return quantile(latencies_ms, 0.99); }
    double short_p99() const { return quantile(short_latencies_ms, 0.99); }
    double in_target_share() const { return in_target / std::max(1.0, total); }
    double refused_share() const { return refused / std::max(1.0, total); }
    void add(const selection_results& o) {
        latencies_ms.insert(latencies_ms.end(), o.latencies_ms.begin(), o.latencies_ms.end());
        short_latencies_ms.insert(short_latencies_ms.end(), o.short_latencies_ms.begin(),
                                  o.short_latencies_ms.end());
        in_target += o.in_target;
        refused += o.refused;
        total += o.total;
    }
};

class selection_load {
public:
    selection_load(selection_case c, policy p, std::uint64_t seed)
        : m_case(std::move(c)), m_policy(p), m_random(seed), m_choice_random(seed ^ 0xc0ffeeU) {
        std::vector<const backend*> listed;
        m_servers.resize(static_cast<std::size_t>(m_case.servers));
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            m_servers[i].info.self = {"s" + std::to_string(i), 1};
            m_servers[i].info.failure_domain = "a";
            m_servers[i].info.slots = m_case.slots;
            m_servers[i].spell_phase = milliseconds{static_cast<std::int64_t>(uniform() * 2'000)};
        }
        m_servers[0].slowness = m_case.slow_server;
        for (const auto& s : m_servers) {
            listed.push_back(&s.info);
        }
        selection_settings settings;
        settings.by_cost = p == policy::by_cost;
        for (int i = 0; i < m_case.instances; ++i) {
            m_pools.emplace_back(settings, "a", std::map<std::string, std::string>{});
            m_pools.back().update(listed, 1'000U * static_cast<std::uint32_t>(m_case.instances),
                                  static_cast<std::uint32_t>(m_case.instances));
        }
        double mean = 0;
        for (const auto& k : m_case.kinds) {
            mean += k.share * k.mean_ms;
        }
        m_requests_per_s = m_case.load * m_case.servers * static_cast<double>(m_case.slots) * 1'000 / mean;
    }

    selection_results run() {
        schedule(duration{0}, [this] { arrive(); });
        while (!m_events.empty() && m_events.begin()->first < begin + m_case.length) {
            m_now = m_events.begin()->first;
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        return m_results;
    }

private:
    static constexpr time_point begin{std::chrono::seconds{100}};
    struct server {
        backend info;
        double slowness = 1;
        milliseconds spell_phase{0};
        std::uint32_t running = 0;
        std::deque<std::function<void()>> queue;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    void schedule(duration delay, std::function<void()> action) {
        m_events.emplace(m_now + delay, std::move(action));
    }

    void arrive() {
        const double gap_s = -std::log(1 - uniform()) / m_requests_per_s;
        schedule(std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap_s)),
                 [this] { arrive(); });
        std::size_t kind = 0;
        for (double r = uniform(); kind + 1 < m_case.kinds.size() && r >= m_case.kinds[kind].share; ++kind) {
            r -= m_case.kinds[kind].share;
        }
        const bool swapped =
            m_case.swap_interval > milliseconds{0} && (m_now - begin) / m_case.swap_interval % 2 == 1;
        const auto& shape = m_case.kinds[swapped ? m_case.kinds.size() - 1 - kind : kind];
        const double work_ms =
            shape.mean_ms * std::exp(shape.sigma * normal() - shape.sigma * shape.sigma / 2);
        const auto instance = static_cast<std::size_t>(uniform() * static_cast<double>(m_pools.size()));
        send(instance, kind, work_ms);
    }

    double normal() {
        return std::sqrt(-2 * std::log(1 - uniform())) * std::cos(6.283185307179586 * uniform());
    }

    std::size_t drawn() { return m_choice_random() % m_servers.size(); }

    /// The index of the chosen server, or the number of servers if the request is refused.
    std::size_t choose(std::size_t i, std::size_t kind) {
        auto& pool = m_pools[i];
        const auto outstanding = [&](std::size_t s) { return pool.in_flight(m_servers[s].info.self.id); };
        switch (m_policy) {
        case policy::random:
            return drawn();
        case policy::two_choices: {
            const auto a = drawn();
            const auto b = drawn();
            return outstanding(a) <= outstanding(b) ? a : b;
        }
        case policy::least_outstanding: {
            auto best = drawn();
            for (std::size_t k = 0, s = best; k < m_servers.size(); ++k, s = (s + 1) % m_servers.size()) {
                best = outstanding(s) < outstanding(best) ? s : best;
            }
            return best;
        }
        default: {
            selection_request r{m_case.target, m_case.deadline, 0, {}, {}, {kind + 1, std::nullopt}};
            const auto choice = pool.choose(r, m_now, m_choice_random);
            return choice.server.empty() ? m_servers.size()
                                         : static_cast<std::size_t>(std::stoi(choice.server.substr(1)));
        }
        }
    }

    bool in_spell(const server& s) const {
        return m_case.spell > milliseconds{0} &&
               (m_now - begin + s.spell_phase) % (5 * m_case.spell) < m_case.spell;
    }

    void send(std::size_t i, std::size_t kind, double work_ms) {
        const auto to = choose(i, kind);
        if (to == m_servers.size()) {
            refused();
            return;
        }
        auto& s = m_servers[to];
        const auto sent = m_now;
        const auto attempt = m_pools[i].attempt_started(s.info.self.id, m_now, {kind + 1, std::nullopt});
        if (s.queue.size() >= m_case.max_queue) {
            end_attempt(i, to, attempt_result::refused, sent, attempt);
            refused();
            return;
        }
        s.queue.push_back([this, i, to, kind, sent, attempt, work_ms] {
            work(to, work_ms, [this, i, to, kind, sent, attempt] {
                --m_servers[to].running;
                end_attempt(i, to, attempt_result::answered, sent, attempt);
                answered(kind, sent);
                start_next(m_servers[to]);
            });
        });
        start_next(s);
    }

    /// Runs work in steps of 20 ms, so that the speed may change on the way.
    void work(std::size_t to, double left_ms, std::function<void()> done) {
        const auto& s = m_servers[to];
        const double factor = s.slowness * (in_spell(s) ? 3 : 1);
        constexpr double step_ms = 20;
        if (m_case.spell == milliseconds{0} || left_ms * factor <= step_ms) {
            schedule(std::chrono::duration_cast<duration>(
                         std::chrono::duration<double, std::milli>(left_ms * factor)),
                     std::move(done));
            return;
        }
        schedule(milliseconds{static_cast<int>(step_ms)},
                 [this, to, left_ms, factor, done = std::move(done)] {
                     work(to, left_ms - step_ms / factor, done);
                 });
    }

    void start_next(server& s) const {
        while (s.running < m_case.slots && !s.queue.empty()) {
            const auto begin_work = std::move(s.queue.front());
            s.queue.pop_front();
            ++s.running;
            begin_work();
        }
    }

    void end_attempt(std::size_t i, std::size_t to, attempt_result result, time_point sent,
                     const attempt& a) {
        const auto& s = m_servers[to];
        load_report report{s.running + 1, static_cast<std::uint32_t>(s.queue.size()), m_case.slots};
        if (m_case.spell > milliseconds{0} && m_case.reads_speed) {
            report.slowdown = in_spell(s) ? 3 : 1;
        }
        m_pools[i].attempt_ended(s.info.self.id, result,
                                 std::chrono::duration_cast<milliseconds>(m_now - sent), report, m_now, a);
    }

    bool counted(time_point sent) const { return sent >= begin + m_case.settled; }

    void refused() {
        if (counted(m_now)) {
            m_results.total += 1;
            m_results.refused += 1;
        }
    }

    void answered(std::size_t kind, time_point sent) {
        if (!counted(sent)) {
            return;
        }
        const double ms = std::chrono::duration<double, std::milli>(m_now - sent).count();
        m_results.total += 1;
        m_results.latencies_ms.push_back(ms);
        if (kind == 0) {
            m_results.short_latencies_ms.push_back(ms);
        }
        m_results.in_target += ms <= static_cast<double>(m_case.target.count()) ? 1 : 0;
    }

    selection_case m_case;
    policy m_policy;
    std::mt19937_64 m_random;        // Of the load, the same for all policies.
    std::mt19937_64 m_choice_random; // Of the policy.
    time_point m_now = begin;
    std::multimap<time_point, std::function<void()>> m_events;
    std::vector<server> m_servers;
    std::vector<server_pool> m_pools;
    double m_requests_per_s = 0;
    selection_results m_results;
};

inline selection_results play(const selection_case& c, policy p, std::uint64_t seeds = 8) {
    selection_results sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        sum.add(selection_load(c, p, seed).run());
    }
    return sum;
}

/// 300 instances that all got the same reports 400 ms ago send one request each: of 60 servers, 6 were idle
/// and the others had 6 requests waiting. Returns the most requests that one server gets.
inline int most_at_one_server(policy p, std::uint64_t seed) {
    constexpr std::size_t server_count = 60;
    constexpr std::size_t idle_servers = 6;
    constexpr std::uint32_t instances = 300;
    constexpr std::uint32_t slots = 4;
    constexpr time_point reported{std::chrono::seconds{100}};
    std::vector<backend> servers(server_count);
    std::vector<const backend*> listed;
    for (std::size_t i = 0; i < server_count; ++i) {
        servers[i].self = {"s" + std::to_string(i), 1};
        servers[i].failure_domain = "a";
        servers[i].slots = slots;
        listed.push_back(&servers[i]);
    }
    selection_settings settings;
    settings.by_cost = p == policy::by_cost;
    std::mt19937_64 random(seed);
    std::map<std::string, int> chosen;
    for (std::uint32_t i = 0; i < instances; ++i) {
        server_pool pool(settings, "a", {});
        pool.update(listed, 100 * instances, instances);
        for (std::size_t s = 0; s < server_count; ++s) {
            const auto attempt = pool.attempt_started(servers[s].self.id, reported, {1, std::nullopt});
            const auto report = s < idle_servers ? load_report{1, 0, slots} : load_report{slots, 6, slots};
            const milliseconds took{s < idle_servers ? 100 : 275};
            pool.attempt_ended(servers[s].self.id, attempt_result::answered, took, report, reported, attempt);
        }
        const selection_request request{milliseconds{400}, milliseconds{1'000}, 0, {}, {}, {1, std::nullopt}};
        ++chosen[pool.choose(request, reported + milliseconds{400}, random).server];
    }
    int most = 0;
    for (const auto& [server, count] : chosen) {
        most = std::max(most, count);
    }
    return most;
}

/// The cases of the comparison in docs/DECISIONS.md.
inline std::vector<selection_case> comparison_cases() {
    selection_case light;
    light.name = "light tails";
    selection_case heavy;
    heavy.name = "heavy tails";
    heavy.kinds = {{0.9, 40, 1.0}, {0.1, 600, 0.7}};
    auto slow = light;
    slow.name = "one slow server";
    slow.slow_server = 3;
    auto heavy_slow = heavy;
    heavy_slow.name = "heavy tails, one slow server";
    heavy_slow.slow_server = 3;
    selection_case wrong;
    wrong.name = "estimates off by a factor of 10";
    wrong.kinds = {{0.5, 30, 0.3}, {0.5, 300, 0.3}};
    wrong.swap_interval = milliseconds{2'000};
    auto busy = heavy;
    busy.name = "heavy tails, load 0.95";
    busy.load = 0.95;
    auto many = heavy_slow;
    many.name = "heavy tails, one slow server, 62 instances";
    many.instances = 62;
    many.servers = 32;
    many.length = milliseconds{12'000};
    auto fleet = heavy;
    fleet.name = "heavy tails, 300 instances";
    fleet.instances = 300;
    fleet.servers = 60;
    fleet.length = milliseconds{8'000};
    return {light, heavy, slow, heavy_slow, wrong, busy, many, fleet};
}

} // namespace balsampost::core::cost::simulation
