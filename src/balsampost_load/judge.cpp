// Reading of audits and the verdict.
#include "judge.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace balsampost::load {

namespace {

std::string service_of(const std::string& server) {
    return server.substr(0, server.rfind('-'));
}

/// Follows one server's list and lease through its audit.
class interval_builder {
public:
    interval_builder(std::string server, std::vector<ownership_interval>& out)
        : m_server(std::move(server)), m_out(out) {}

    void list(std::int64_t at, std::vector<std::uint32_t> slices) {
        close(at);
        m_slices = std::move(slices);
        m_from = at;
        m_until = at;
    }
    void lease(std::int64_t at, std::int64_t until) {
        if (at > m_until && m_from != at) { // It had lapsed in between.
            close(m_until);
            m_from = at;
        }
        m_until = until;
    }
    void close(std::int64_t at) {
        const auto to = std::min(at, m_until);
        for (const auto slice : m_slices) {
            if (to > m_from) {
                m_out.push_back({m_server, service_of(m_server), slice, m_from, to});
            }
        }
    }
    void end() { close(m_until); }

private:
    std::string m_server;
    std::vector<ownership_interval>& m_out;
    std::vector<std::uint32_t> m_slices;
    std::int64_t m_from = 0;
    std::int64_t m_until = 0;
};

void read_file(const std::filesystem::path& path, audit& out) {
    std::ifstream file(path);
    std::map<std::string, interval_builder> builders;
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        std::string kind;
        std::int64_t at = 0;
        std::string server;
        words >> kind >> at >> server;
        auto& builder = builders.try_emplace(server, server, out.intervals).first->second;
        if (kind == "L") {
            std::int64_t until = 0;
            words >> until;
            builder.lease(at, until);
        } else if (kind == "S") {
            std::vector<std::uint32_t> slices;
            for (std::string item; words >> item;) {
                slices.push_back(static_cast<std::uint32_t>(std::stoul(item)));
            }
            builder.list(at, std::move(slices));
        } else if (kind == "X") {
            std::string tag;
            words >> tag;
            ++out.executions[tag];
        }
    }
    for (auto& [server, builder] : builders) {
        builder.end();
    }
}

std::uint64_t count_overlaps(std::vector<ownership_interval> intervals) {
    std::sort(intervals.begin(), intervals.end(), [](const auto& a, const auto& b) {
        return std::tie(a.service, a.slice, a.from_ns) < std::tie(b.service, b.slice, b.from_ns);
    });
    std::uint64_t overlaps = 0;
    for (std::size_t i = 0; i < intervals.size(); ++i) {
        for (std::size_t j = i + 1; j < intervals.size(); ++j) {
            const auto& a = intervals[i];
            const auto& b = intervals[j];
            if (a.service != b.service || a.slice != b.slice || b.from_ns >= a.to_ns) {
                break;
            }
            overlaps += a.server != b.server ? 1 : 0;
        }
    }
    return overlaps;
}

std::int64_t longest_unavailable(const std::vector<caller_record>& records) {
    std::map<std::string, std::vector<const caller_record*>> by_key;
    for (const auto& record : records) {
        if (record.kind->keyed) {
            by_key[record.key].push_back(&record);
        }
    }
    std::int64_t worst = 0;
    for (auto& [key, list] : by_key) {
        core::time_point answered = core::time_point::max();
        // Backwards: the earliest answer to this or a later request of the key.
        for (auto at = list.rbegin(); at != list.rend(); ++at) {
            if ((*at)->answered()) {
                answered = std::min(answered, (*at)->ended);
            }
            if (answered != core::time_point::max()) {
                worst = std::max(worst, core::milliseconds_between((*at)->began, answered));
            }
        }
    }
    return worst;
}

std::int64_t percentile(const std::vector<std::int64_t>& sorted, double share) {
    return sorted.empty() ? 0
                          : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

} // namespace

audit read_audits(const std::string& directory) {
    audit out;
    for (const auto& entry : std::filesystem::directory_iterator(directory)) {
        if (entry.path().extension() == ".audit") {
            read_file(entry.path(), out);
        }
    }
    return out;
}

verdict judge(const std::vector<caller_record>& records, const audit& done) {
    verdict v;
    std::vector<std::int64_t> latencies;
    for (const auto& record : records) {
        ++v.requests;
        const auto at = done.executions.find(record.tag);
        const std::uint32_t runs = at == done.executions.end() ? 0 : at->second;
        v.crossed += record.crossed ? 1 : 0;
        v.truncated += record.truncated ? 1 : 0;
        v.doubled += !record.kind->idempotent && runs > 1 ? 1 : 0;
        if (record.answered()) {
            ++v.answered;
            v.lost += runs == 0 ? 1 : 0;
            latencies.push_back(
                std::chrono::duration_cast<std::chrono::microseconds>(record.ended - record.began).count());
        } else if (record.told == core::outcome::not_run) {
            ++v.not_run;
            v.falsely_not_run += runs > 0 && !record.kind->idempotent ? 1 : 0;
            ++v.reasons[record.reason];
        } else {
            ++v.unknown;
            ++v.reasons[record.reason.empty() ? "connection" : record.reason];
        }
    }
    std::sort(latencies.begin(), latencies.end());
    v.p50_us = percentile(latencies, 0.5);
    v.p99_us = percentile(latencies, 0.99);
    v.p999_us = percentile(latencies, 0.999);
    v.owners_overlap = count_overlaps(done.intervals);
    v.unavailable_ms_max = longest_unavailable(records);
    return v;
}

std::string to_line(const verdict& v) {
    std::ostringstream out;
    out << "requests=" << v.requests << " answered=" << v.answered << " not_run=" << v.not_run
        << " unknown=" << v.unknown << " lost=" << v.lost << " doubled=" << v.doubled
        << " crossed=" << v.crossed << " truncated=" << v.truncated << " owners_overlap=" << v.owners_overlap
        << " unavailable_ms_max=" << v.unavailable_ms_max;
    if (v.falsely_not_run > 0) {
        out << " falsely_not_run=" << v.falsely_not_run;
    }
    return out.str();
}

std::string to_json(const verdict& v) {
    nlohmann::ordered_json json{{"requests", v.requests},
                                {"answered", v.answered},
                                {"not_run", v.not_run},
                                {"unknown", v.unknown},
                                {"lost", v.lost},
                                {"doubled", v.doubled},
                                {"falsely_not_run", v.falsely_not_run},
                                {"crossed", v.crossed},
                                {"truncated", v.truncated},
                                {"owners_overlap", v.owners_overlap},
                                {"unavailable_ms_max", v.unavailable_ms_max},
                                {"p50_us", v.p50_us},
                                {"p99_us", v.p99_us},
                                {"p999_us", v.p999_us},
                                {"reasons", v.reasons}};
    return json.dump();
}

} // namespace balsampost::load
