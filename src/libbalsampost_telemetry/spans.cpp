// Parsing of traceparent headers, JSON output and the span buffer.
#include "balsampost/telemetry/spans.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace balsampost::telemetry {

namespace {

constexpr std::size_t trace_id_digits = 32;
constexpr std::size_t span_id_digits = 16;

bool is_hex(const std::string& text) {
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool is_zero(const std::string& text) {
    return text.find_first_not_of('0') == std::string::npos;
}

} // namespace

std::optional<trace_parent> parse_traceparent(const std::string& header) {
    constexpr std::size_t length = 55; // 00-<32>-<16>-<2>
    if (header.size() != length || header.compare(0, 3, "00-") != 0 || header[35] != '-' ||
        header[52] != '-') {
        return std::nullopt;
    }
    const std::string trace = header.substr(3, trace_id_digits);
    const std::string parent = header.substr(36, span_id_digits);
    const std::string flags = header.substr(53, 2);
    if (!is_hex(trace) || !is_hex(parent) || !is_hex(flags) || is_zero(trace) || is_zero(parent)) {
        return std::nullopt;
    }
    return trace_parent{trace, parent, (std::stoul(flags, nullptr, 16) & 1U) != 0};
}

std::string to_string(const trace_parent& parent) {
    return "00-" + parent.trace_id + "-" + parent.span_id + (parent.sampled ? "-01" : "-00");
}

std::string random_hex(std::size_t bytes) {
    constexpr const char* digits = "0123456789abcdef";
    thread_local std::mt19937_64 engine{std::random_device{}()};
    std::string text;
    text.reserve(bytes * 2);
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < bytes * 2; ++i) {
        if (i % 16 == 0) {
            bits = engine();
        }
        text += digits[bits & 15U];
        bits >>= 4U;
    }
    return text;
}

std::string to_json(const span& s) {
    nlohmann::ordered_json line{
        {"trace", s.trace_id},    {"span", s.span_id},      {"parent", s.parent_id},       {"name", s.name},
        {"instance", s.instance}, {"start_ns", s.start_ns}, {"duration_ns", s.duration_ns}};
    for (const auto& [key, value] : s.attributes) {
        line["attributes"][key] = value;
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void span_store::add(span s) {
    const std::lock_guard lock(m_mutex);
    m_spans.push_back(std::move(s));
    if (m_spans.size() > m_capacity) {
        m_spans.pop_front();
    }
}

std::vector<span> span_store::find_by_trace(const std::string& trace_id) const {
    const std::lock_guard lock(m_mutex);
    std::vector<span> found;
    std::copy_if(m_spans.begin(), m_spans.end(), std::back_inserter(found),
                 [&](const span& s) { return s.trace_id == trace_id; });
    return found;
}

} // namespace balsampost::telemetry
