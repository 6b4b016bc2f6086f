// Tables of the settings' sections and keys, and their validation.
#include "balsampost/entry/settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <set>

namespace balsampost::entry {

using core::key_rule;

namespace {

const std::array<key_rule<instance_settings>, 4> instance_keys{{
    {"name", false, &instance_settings::name},
    {"region", false, &instance_settings::region},
    {"failure_domain", false, &instance_settings::failure_domain},
    {"address", false, &instance_settings::address},
}};

const std::array<key_rule<listen_settings>, 4> listen_keys{{
    {"callers", true, &listen_settings::callers},
    {"readiness", true, &listen_settings::readiness},
    {"peers", true, &listen_settings::peers},
    {"metrics", false, &listen_settings::metrics},
}};

const std::array<key_rule<store_settings>, 1> store_keys{{
    {"address", true, &store_settings::address},
}};

const std::array<key_rule<bound_settings>, 9> bound_keys{{
    {"evacuation_time_ms", false, &bound_settings::evacuation_time, 0, 600'000},
    {"stop_time_ms", false, &bound_settings::stop_time, 100, 600'000},
    {"backend_beat_ms", false, &bound_settings::backend_heartbeat, 10, 600'000},
    {"longest_hold_ms", false, &bound_settings::max_hold, 500, 600'000},
    {"leaving_time_ms", false, &bound_settings::leaving_time, 100, 600'000},
    {"apply_time_ms", false, &bound_settings::apply_time, 100, 600'000},
    {"repeat_permille", false, &bound_settings::repeat_permille, 0, 10'000},
    {"repeat_slack", false, &bound_settings::repeat_slack, 0, 1'000'000},
    {"repeat_window_ms", false, &bound_settings::repeat_window, 100, 600'000},
}};

// Higher values, and 0 for "no limit", are taken as these.
constexpr std::uint32_t max_memory_mb = 1'000'000;
constexpr std::uint32_t max_descriptors = 10'000'000;

const std::array<key_rule<resource_settings>, 4> resource_keys{{
    {"cpu_share", false, &resource_settings::cpu_share},
    {"link_mbps", false, &resource_settings::link_mbps},
    {"memory_mb", false, &resource_settings::memory_mb, 32, max_memory_mb},
    {"descriptors", false, &resource_settings::descriptors, 64, max_descriptors},
}};

const std::array<key_rule<limit_settings>, 6> limit_keys{{
    {"memory_percent", false, &limit_settings::memory_percent, 5, 80},
    {"connection_percent", false, &limit_settings::connection_percent, 1, 80},
    {"address_percent", false, &limit_settings::address_percent, 1, 80},
    {"min_rate_bytes_per_s", false, &limit_settings::min_rate, 0, 1'000'000},
    {"rate_window_ms", false, &limit_settings::rate_window, 1'000, 600'000},
    {"requests_ahead", false, &limit_settings::requests_ahead, 1, 1'000},
}};

const std::array<key_rule<log_settings>, 1> log_keys{{
    {"level", false, &log_settings::level},
}};

const std::array<key_rule<selection_section>, 1> selection_keys{{
    {"by_cost", false, &selection_section::by_cost},
}};

constexpr std::array<const char*, 4> level_names{"debug", "info", "warning", "error"};

void bind_regions(const core::ini_section& s, settings& out, std::vector<core::ini_error>&) {
    for (const auto& [domain, region] : s.entries) {
        if (!region.empty()) {
            out.regions[domain] = region;
        }
    }
}

/// Binds a section; a key without a value counts as absent unless it is required.
template <class T, std::size_t N>
void bind(core::ini_section s, const std::array<key_rule<T>, N>& keys, T& out,
          std::vector<core::ini_error>& faults) {
    std::erase_if(s.entries, [&](const auto& entry) {
        return entry.second.empty() && std::any_of(keys.begin(), keys.end(), [&](const auto& rule) {
                   return !rule.required && entry.first == rule.key;
               });
    });
    core::bind_section<T>(s, keys, out, faults);
}

/// Replaces a whole number that is above `max`, or 0, by `max`. Other texts are left to the checks.
void bound_limit(std::string& text, std::uint32_t max) {
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec == std::errc{} && parsed.ptr == end && (value == 0 || value > max)) {
        text = std::to_string(max);
    }
}

void bind_resources(core::ini_section s, settings& out, std::vector<core::ini_error>& faults) {
    for (auto& [key, text] : s.entries) {
        if (key == "memory_mb") {
            bound_limit(text, max_memory_mb);
        } else if (key == "descriptors") {
            bound_limit(text, max_descriptors);
        }
    }
    bind(std::move(s), resource_keys, out.resources, faults);
}

/// Binds the section; its switches are written as "true" and "false".
void bind_selection(core::ini_section s, settings& out, std::vector<core::ini_error>& faults) {
    for (auto& [key, text] : s.entries) {
        text = text == "true" ? "yes" : text == "false" ? "no" : text;
    }
    bind(std::move(s), selection_keys, out.selection, faults);
}

/// Gives an endpoint without an address, as ":9464", the address of the callers' listener.
core::ini_section with_addresses(core::ini_section s) {
    const auto found = std::find_if(s.entries.begin(), s.entries.end(),
                                    [](const auto& entry) { return entry.first == "callers"; });
    const auto callers = found == s.entries.end() ? std::string() : found->second;
    for (auto& [key, text] : s.entries) {
        if (text.starts_with(':')) {
            text.insert(0, callers.substr(0, callers.rfind(':')));
        }
    }
    return s;
}

/// Derives what identifies the instance from what is there.
void complete_identity(settings& s) {
    auto& self = s.instance;
    if (self.address.empty()) {
        self.address = s.listen.callers.address;
    }
    if (self.name.empty()) {
        self.name = core::to_string(s.listen.callers);
    }
    if (self.failure_domain.empty()) {
        self.failure_domain = self.region.empty() ? "default" : self.region;
    }
    const auto listed = s.regions.find(self.failure_domain);
    if (self.region.empty()) {
        self.region = listed == s.regions.end() ? self.failure_domain : listed->second;
    }
    s.regions.try_emplace(self.failure_domain, self.region);
}

struct section_rule {
    const char* name;
    bool required;
    void (*bind)(const core::ini_section&, settings&, std::vector<core::ini_error>&);
};

const std::array<section_rule, 9> section_rules{{
    {"instance", true, [](const auto& s, auto& o, auto& f) { bind(s, instance_keys, o.instance, f); }},
    {"listen", true,
     [](const auto& s, auto& o, auto& f) { bind(with_addresses(s), listen_keys, o.listen, f); }},
    {"store", true, [](const auto& s, auto& o, auto& f) { bind(s, store_keys, o.store, f); }},
    {"bounds", false, [](const auto& s, auto& o, auto& f) { bind(s, bound_keys, o.bounds, f); }},
    {"resources", false, [](const auto& s, auto& o, auto& f) { bind_resources(s, o, f); }},
    {"limits", false, [](const auto& s, auto& o, auto& f) { bind(s, limit_keys, o.limits, f); }},
    {"log", false, [](const auto& s, auto& o, auto& f) { bind(s, log_keys, o.log, f); }},
    {"selection", false, [](const auto& s, auto& o, auto& f) { bind_selection(s, o, f); }},
    {"regions", false, bind_regions},
}};

/// Parses a decimal number above 0; returns nothing for any other text.
std::optional<double> positive(const std::string& text) {
    double value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc{} && parsed.ptr == end && value > 0 ? std::optional(value) : std::nullopt;
}

// With this much, an instance has the capacity to coordinate a large fleet.
constexpr double ample_cpu_share = 0.2;
constexpr double ample_link_mbps = 100;

} // namespace

double resource_settings::capacity_shortage() const {
    const double cpu = std::min(1.0, positive(cpu_share).value_or(1.0) / ample_cpu_share);
    const double link = std::min(1.0, positive(link_mbps).value_or(ample_link_mbps) / ample_link_mbps);
    return 1 - std::min(cpu, link);
}

double resource_settings::link_bytes_per_s() const {
    constexpr double bytes_per_megabit = 1e6 / 8;
    return positive(link_mbps).value_or(ample_link_mbps) * bytes_per_megabit;
}

tl::expected<settings, std::vector<core::ini_error>> parse_settings(const std::string& text,
                                                                    const std::string& file) {
    const auto parsed = core::parse_ini(text, file);
    if (!parsed) {
        return tl::unexpected(std::vector{parsed.error()});
    }
    settings out;
    std::vector<core::ini_error> faults;
    std::set<std::string> present;
    for (const auto& section : *parsed) {
        present.insert(section.name);
        const auto rule = std::find_if(section_rules.begin(), section_rules.end(),
                                       [&](const auto& r) { return section.name == r.name; });
        if (rule == section_rules.end()) {
            faults.push_back({file, section.name, "", "unknown section"});
        } else {
            rule->bind(section, out, faults);
        }
    }
    for (const auto& rule : section_rules) {
        if (rule.required && !present.contains(rule.name)) {
            faults.push_back({file, rule.name, "", "missing section"});
        }
    }
    if (std::find(level_names.begin(), level_names.end(), out.log.level) == level_names.end()) {
        faults.push_back(
            {file, "log", "level", "'" + out.log.level + "' is none of debug, info, warning, error"});
    }
    if (!positive(out.resources.cpu_share)) {
        faults.push_back(
            {file, "resources", "cpu_share", "'" + out.resources.cpu_share + "' is not a number above 0"});
    }
    if (!positive(out.resources.link_mbps)) {
        faults.push_back(
            {file, "resources", "link_mbps", "'" + out.resources.link_mbps + "' is not a number above 0"});
    }
    const auto& limits = out.limits;
    if (limits.connection_percent > limits.address_percent) {
        faults.push_back({file, "limits", "connection_percent", "above address_percent"});
    }
    if (limits.address_percent > limits.memory_percent) {
        faults.push_back({file, "limits", "address_percent", "above memory_percent"});
    }
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    complete_identity(out);
    return out;
}

} // namespace balsampost::entry
