// Counting keys and keeping their rates.
#include "balsampost/core/key_load.h"

#include <algorithm>
#include <cmath>

namespace balsampost::core {

namespace {

// The short rate of a key or group counts if it is this many times the long one and this many requests a
// second above it: far more than chance makes of a quiet one.
constexpr double stands_out_times = 2;
constexpr double stands_out_rate = 8;
constexpr double largest_unit = 1e9; // Beyond it the counts are scaled down.
constexpr double most_answers = 40; // Weight of a server's past: its speed may change within a second or two.
constexpr double mean_weight =
    4; // Of the mean of all, in answers: the work of a single request varies severalfold.

void keep_busiest(key_report& report, std::size_t most) {
    std::sort(report.keys.begin(), report.keys.end(), [](const auto& a, const auto& b) {
        return a.second != b.second ? a.second > b.second : a < b;
    });
    while (report.keys.size() > most) {
        report.unlisted += report.keys.back().second;
        report.keys.pop_back();
    }
}

} // namespace

void key_counter::take(key_report& report, std::size_t most) {
    report.keys.assign(m_counts.begin(), m_counts.end());
    m_counts.clear();
    keep_busiest(report, most);
}

void report_merger::add(const key_report& report) {
    for (const auto& [key, requests] : report.keys) {
        m_keys[key] += requests;
    }
    m_unlisted += report.unlisted;
    for (const auto& [server, answers, ms] : report.service_ms) {
        auto& sum = m_service_ms[server];
        sum.first += answers;
        sum.second += ms;
    }
    m_unreachable.insert(report.unreachable.begin(), report.unreachable.end());
}

void report_merger::take(key_report& report, std::size_t most) {
    add(report);
    report.keys.assign(m_keys.begin(), m_keys.end());
    report.unlisted = m_unlisted;
    report.service_ms.clear();
    for (const auto& [server, sum] : m_service_ms) {
        report.service_ms.emplace_back(server, sum.first, sum.second);
    }
    report.unreachable.assign(m_unreachable.begin(), m_unreachable.end());
    keep_busiest(report, most);
    *this = {};
}

void key_rates::memory::move_to(time_point now) {
    if (at != never && now > at) {
        unit *= std::exp(std::chrono::duration<double>(now - at) / length);
        if (unit > largest_unit) {
            for (auto& c : counts) {
                c /= unit;
            }
            unit = 1;
        }
    }
    at = std::max(at, now);
}

void key_rates::memory::add(shard_key key, double requests) {
    counts[key] += requests * unit;
}

void key_rates::add(const key_report& report, time_point now) {
    for (auto* m : {&m_long, &m_short}) {
        m->counts.resize(key_count);
        m->move_to(now);
        for (const auto& [key, requests] : report.keys) {
            if (key < key_count) {
                m->add(key, requests);
            }
        }
        if (report.unlisted > 0) {
            for (shard_key key = 0; key < key_count; ++key) {
                m->add(key, static_cast<double>(report.unlisted) / key_count);
            }
        }
    }
}

void key_rates::advance(time_point now) {
    if (m_long.counts.empty()) {
        return;
    }
    m_long.move_to(now);
    m_short.move_to(now);
    m_sums.resize(key_count + 1);
    const auto stands_out = [](double short_rate, double long_rate) {
        return short_rate > stands_out_times * long_rate && short_rate > long_rate + stands_out_rate;
    };
    for (shard_key group = 0; group < key_count; group += keys_per_group) {
        double short_rate = 0;
        double long_rate = 0;
        for (shard_key key = group; key < group + keys_per_group; ++key) {
            short_rate += m_short.rate(key);
            long_rate += m_long.rate(key);
        }
        const bool hot = stands_out(short_rate, long_rate);
        for (shard_key key = group; key < group + keys_per_group; ++key) {
            const bool use_short = hot || stands_out(m_short.rate(key), m_long.rate(key));
            m_sums[key + 1] = m_sums[key] + (use_short ? m_short.rate(key) : m_long.rate(key));
        }
    }
}

double key_rates::rate(shard_key from, shard_key to) const {
    return m_sums.empty() ? 0.0 : m_sums[to + 1] - m_sums[from];
}

void server_speeds::add(const key_report& report) {
    for (const auto& [id, answers, total_ms] : report.service_ms) {
        if (answers == 0) {
            continue;
        }
        auto& s = m_servers[id];
        const double weight = s.answers + answers;
        s.ms = (s.ms * s.answers + total_ms) / weight;
        s.answers = std::min(weight, most_answers);
    }
    m_answers = m_total_ms = 0;
    for (const auto& [id, s] : m_servers) {
        m_answers += s.answers;
        m_total_ms += s.ms * s.answers;
    }
}

double server_speeds::service_ms(const std::string& server, double assumed) const {
    if (m_servers.empty()) {
        return assumed;
    }
    const double mean = mean_ms();
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return mean;
    }
    const auto& s = found->second;
    return (s.ms * s.answers + mean * mean_weight) / (s.answers + mean_weight);
}

double server_speeds::mean_ms() const {
    return std::max(1.0, m_total_ms / m_answers);
}

} // namespace balsampost::core
