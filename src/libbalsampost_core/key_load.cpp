// Request counters, decaying rates and service time estimates.
#include "balsampost/core/key_load.h"

#include <algorithm>
#include <cmath>

namespace balsampost::core {

namespace {

// The short-term rate of a key or group is used if it exceeds the long-term rate by this factor and by this
// many requests per second, far more than random variation of an idle key.
constexpr double burst_ratio = 2;
constexpr double burst_excess_per_s = 8;
constexpr double max_event_weight = 1e9; // The counts are rescaled above it.
// Bound on the weight of a server's past answers, because its speed may change within a second or two.
constexpr double max_estimate_weight = 40;
// Weight, in answers, of the mean of all servers in the estimate for one server. A few answers say little, as
// the work of single requests varies by a multiple.
constexpr double prior_weight = 4;

// More do not fit into a relay's report.
constexpr std::size_t max_leaving_servers = 256;

// Credit that a reporter may save up, in multiples of the time that its report covers: datagrams arrive
// unevenly.
constexpr int max_credit_reports = 2;

void truncate_to_busiest(key_report& report, std::size_t max_keys) {
    std::sort(report.keys.begin(), report.keys.end(), [](const auto& a, const auto& b) {
        return a.second != b.second ? a.second > b.second : a < b;
    });
    while (report.keys.size() > max_keys) {
        report.unlisted += report.keys.back().second;
        report.keys.pop_back();
    }
}

} // namespace

bool report_credit::accept(const key_report& report, time_point now) {
    const milliseconds covered{report.covered_ms};
    if (covered == milliseconds{0}) {
        return true;
    }
    if (m_last_report_at == never) {
        m_last_report_at = now;
        return true;
    }
    m_credit = std::min<duration>(m_credit + (now - m_last_report_at), max_credit_reports * covered);
    m_last_report_at = now;
    if (m_credit < covered / 2) {
        return false;
    }
    m_credit -= std::min<duration>(m_credit, covered);
    return true;
}

void key_counter::take(key_report& report, std::size_t max_keys) {
    report.keys.assign(m_counts.begin(), m_counts.end());
    m_counts.clear();
    truncate_to_busiest(report, max_keys);
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
    m_leaving.insert(report.leaving.begin(), report.leaving.end());
}

void report_merger::take(key_report& report, std::size_t max_keys) {
    add(report);
    report.keys.assign(m_keys.begin(), m_keys.end());
    report.unlisted = m_unlisted; // `covered_ms` stays the relay's own.
    report.service_ms.clear();
    for (const auto& [server, sum] : m_service_ms) {
        report.service_ms.emplace_back(server, sum.first, sum.second);
    }
    report.unreachable.assign(m_unreachable.begin(), m_unreachable.end());
    report.leaving.assign(m_leaving.begin(), m_leaving.end());
    if (report.leaving.size() > max_leaving_servers) {
        report.leaving.resize(max_leaving_servers); // The others are reported when these have left.
    }
    truncate_to_busiest(report, max_keys);
    *this = {};
}

void key_rates::decaying_counts::decay_until(time_point now) {
    if (updated_at != never && now > updated_at) {
        event_weight *= std::exp(std::chrono::duration<double>(now - updated_at) / time_constant);
        if (event_weight > max_event_weight) {
            for (auto& c : counts) {
                c /= event_weight;
            }
            event_weight = 1;
        }
    }
    updated_at = std::max(updated_at, now);
}

void key_rates::decaying_counts::add(shard_key key, double requests) {
    counts[key] += requests * event_weight;
}

void key_rates::add(const key_report& report, time_point now) {
    for (auto* m : {&m_long_window, &m_short_window}) {
        m->counts.resize(key_count);
        m->decay_until(now);
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
    if (m_long_window.counts.empty()) {
        return;
    }
    m_long_window.decay_until(now);
    m_short_window.decay_until(now);
    m_prefix_sums.resize(key_count + 1);
    const auto is_burst = [](double short_rate, double long_rate) {
        return short_rate > burst_ratio * long_rate && short_rate > long_rate + burst_excess_per_s;
    };
    for (shard_key group = 0; group < key_count; group += keys_per_group) {
        double short_rate = 0;
        double long_rate = 0;
        for (shard_key key = group; key < group + keys_per_group; ++key) {
            short_rate += m_short_window.rate(key);
            long_rate += m_long_window.rate(key);
        }
        const bool hot = is_burst(short_rate, long_rate);
        for (shard_key key = group; key < group + keys_per_group; ++key) {
            const bool use_short = hot || is_burst(m_short_window.rate(key), m_long_window.rate(key));
            m_prefix_sums[key + 1] =
                m_prefix_sums[key] + (use_short ? m_short_window.rate(key) : m_long_window.rate(key));
        }
    }
}

double key_rates::rate(shard_key from, shard_key to) const {
    return m_prefix_sums.empty() ? 0.0 : m_prefix_sums[to + 1] - m_prefix_sums[from];
}

void service_time_estimates::add(const key_report& report) {
    for (const auto& [id, answers, total_ms] : report.service_ms) {
        if (answers == 0) {
            continue;
        }
        auto& s = m_servers[id];
        const double weight = s.answers + answers;
        s.ms = (s.ms * s.answers + total_ms) / weight;
        s.answers = std::min(weight, max_estimate_weight);
    }
    m_answers = m_total_ms = 0;
    for (const auto& [id, s] : m_servers) {
        m_answers += s.answers;
        m_total_ms += s.ms * s.answers;
    }
}

double service_time_estimates::service_ms(const std::string& server, double default_ms) const {
    if (m_servers.empty()) {
        return default_ms;
    }
    const double mean = mean_ms();
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return mean;
    }
    const auto& s = found->second;
    return (s.ms * s.answers + mean * prior_weight) / (s.answers + prior_weight);
}

double service_time_estimates::mean_ms() const {
    return std::max(1.0, m_total_ms / m_answers);
}

} // namespace balsampost::core
