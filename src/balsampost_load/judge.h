// Judges what callers were told against what the servers' audits say that they did.
#pragma once

#include "runner.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsampost::load {

/// One stretch of time in which a server owned a slice.
struct ownership_interval {
    std::string server;
    std::string service;
    std::uint32_t slice = 0;
    std::int64_t from_ns = 0;
    std::int64_t to_ns = 0;
};

struct audit {
    std::map<std::string, std::uint32_t> executions; ///< By tag.
    std::map<std::string, std::string> first_server; ///< By tag.
    std::vector<ownership_interval> intervals;
};

/// Reads every audit file of `directory`. The service is the server's name up to its last '-'.
audit read_audits(const std::string& directory);

struct verdict {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t lost = 0;            ///< Answered, but no server ran it.
    std::uint64_t doubled = 0;         ///< Not idempotent, and run more than once.
    std::uint64_t falsely_not_run = 0; ///< The caller was told "not run", but a server ran it.
    std::uint64_t crossed = 0;
    std::uint64_t truncated = 0;
    std::uint64_t owners_overlap = 0;    ///< Pairs of intervals of one slice at two servers that overlap.
    std::int64_t unavailable_ms_max = 0; ///< Longest time from a keyed request to an answer for its key.
    std::int64_t p50_us = 0;
    std::int64_t p99_us = 0;
    std::int64_t p999_us = 0;
    std::map<std::string, std::uint64_t> reasons;

    bool sound() const {
        return lost + doubled + falsely_not_run + crossed + truncated + owners_overlap == 0;
    }
};

verdict judge(const std::vector<caller_record>& records, const audit& done);

/// "requests=… answered=…", in a fixed order.
std::string to_line(const verdict& v);
std::string to_json(const verdict& v);

} // namespace balsampost::load
