// Spans: one for each hop of a sampled request. The most recent ones are kept in memory so that an operator
// can query the spans of a request.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace balsampost::telemetry {

struct span {
    /// 32 hexadecimal digits.
    std::string trace_id;
    /// 16 hexadecimal digits.
    std::string span_id;
    /// Empty for a root span.
    std::string parent_id;
    std::string name;
    std::string instance;
    /// Wall-clock time since the Unix epoch.
    std::int64_t start_ns = 0;
    std::int64_t duration_ns = 0;
    std::vector<std::pair<std::string, std::string>> attributes;
};

/// The fields of a W3C traceparent header.
struct trace_parent {
    std::string trace_id;
    std::string span_id;
    bool sampled = false;
};

/// Parses version 00 of the header; returns nothing if it is malformed.
std::optional<trace_parent> parse_traceparent(const std::string& header);
std::string to_string(const trace_parent& parent);

/// Returns `bytes` random bytes as lower-case hexadecimal digits.
std::string random_hex(std::size_t bytes);

/// Formats a span as one line of JSON.
std::string to_json(const span& s);

/// A bounded buffer of finished spans. Thread-safe.
class span_store {
public:
    explicit span_store(std::size_t capacity) : m_capacity(capacity) {}

    void add(span s);
    std::vector<span> find_by_trace(const std::string& trace_id) const;

private:
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<span> m_spans; // At most m_capacity; the oldest span is dropped first.
};

} // namespace balsampost::telemetry
