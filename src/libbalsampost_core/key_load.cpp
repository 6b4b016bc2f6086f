// Counting keys and keeping their rates.
#include "balsampost/core/key_load.h"

#include <algorithm>
#include <cmath>

namespace balsampost::core {

namespace {

// Rates forget with this time constant: a hot spot that lasts a few seconds must show within one.
constexpr std::chrono::duration<double> rate_memory{1.2};

} // namespace

void key_counter::take(key_report& report, std::size_t most) {
    report.bins.assign(m_counts.begin(), m_counts.end());
    m_counts.clear();
    std::sort(report.bins.begin(), report.bins.end(),
              [](const auto& a, const auto& b) { return a.second != b.second ? a.second > b.second : a < b; });
    while (report.bins.size() > most) {
        report.unlisted += report.bins.back().second;
        report.bins.pop_back();
    }
}

void key_rates::add(const key_report& report) {
    for (const auto& [bin, count] : report.bins) {
        if (bin < bin_count) {
            m_rates[bin] += count / rate_memory.count();
        }
    }
    const double spread = report.unlisted / rate_memory.count() / bin_count;
    if (spread > 0) {
        for (auto& r : m_rates) {
            r += spread;
        }
    }
}

void key_rates::advance(time_point now) {
    if (m_aged != never && now > m_aged) {
        const double keep = std::exp(-std::chrono::duration<double>(now - m_aged) / rate_memory);
        for (auto& r : m_rates) {
            r *= keep;
        }
    }
    m_aged = now;
}

double key_rates::rate(shard_key from, shard_key to) const {
    double sum = 0;
    for (auto bin = bin_of(from); bin <= bin_of(to); ++bin) {
        const auto first = std::max(from, bin * keys_per_bin);
        const auto last = std::min(to, bin * keys_per_bin + keys_per_bin - 1);
        sum += m_rates[bin] * (last - first + 1) / keys_per_bin;
    }
    return sum;
}

double key_rates::total() const {
    double sum = 0;
    for (const auto r : m_rates) {
        sum += r;
    }
    return sum;
}

} // namespace balsampost::core
