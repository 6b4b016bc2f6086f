// Parsing and checks of the settings file.
#include "settings.h"

#include <algorithm>
#include <array>
#include <set>

namespace balsampost::daemon {

namespace {

using core::key_rule;

constexpr std::size_t min_secret_length = 16;

const std::array<key_rule<instance_settings>, 4> instance_keys{{
    {"name", true, &instance_settings::name},
    {"region", true, &instance_settings::region},
    {"failure_domain", true, &instance_settings::failure_domain},
    {"cluster", true, &instance_settings::cluster},
}};

const std::array<key_rule<listen_settings>, 4> listen_keys{{
    {"callers", true, &listen_settings::callers},
    {"peer", true, &listen_settings::peer},
    {"data", true, &listen_settings::data},
    {"admin", true, &listen_settings::admin},
}};

const std::array<key_rule<platform_settings>, 1> platform_keys{{
    {"addresses", true, &platform_settings::addresses},
}};

const std::array<key_rule<security_settings>, 2> security_keys{{
    {"keys", true, &security_settings::keys},
    {"operator_token", true, &security_settings::operator_token},
}};

const std::array<key_rule<log_section>, 2> log_keys{{
    {"level", false, &log_section::level},
    {"format", false, &log_section::format},
}};

const std::array<key_rule<trace_settings>, 3> trace_keys{{
    {"sample_permille", false, &trace_settings::sample_permille, 0, 1000},
    {"keep", false, &trace_settings::keep, 0, 1'000'000},
    {"log", false, &trace_settings::log},
}};

const std::array<key_rule<limit_settings>, 7> limit_keys{{
    {"callers", false, &limit_settings::callers, 1, 100'000},
    {"header_bytes", false, &limit_settings::header_bytes, 512, 1U << 20U},
    {"header_time_ms", false, &limit_settings::header_time, 100, 600'000},
    {"idle_time_ms", false, &limit_settings::idle_time, 100, 3'600'000},
    {"stall_time_ms", false, &limit_settings::stall_time, 100, 3'600'000},
    {"drain_time_ms", false, &limit_settings::drain_time, 100, 3'600'000},
    {"links_per_peer", false, &limit_settings::links_per_peer, 1, 10'000},
}};

const std::set<std::string> required_sections{"instance", "listen", "platform", "security"};

/// A section's name and the function that reads its keys into the settings.
struct section_rule {
    const char* name;
    void (*bind)(const core::ini_section&, settings&, std::vector<core::ini_error>&);
};

const std::array<section_rule, 7> sections{{
    {"instance", [](const auto& s, auto& out,
                    auto& f) { core::bind_section<instance_settings>(s, instance_keys, out.instance, f); }},
    {"listen", [](const auto& s, auto& out,
                  auto& f) { core::bind_section<listen_settings>(s, listen_keys, out.listen, f); }},
    {"platform", [](const auto& s, auto& out,
                    auto& f) { core::bind_section<platform_settings>(s, platform_keys, out.platform, f); }},
    {"security", [](const auto& s, auto& out,
                    auto& f) { core::bind_section<security_settings>(s, security_keys, out.security, f); }},
    {"log",
     [](const auto& s, auto& out, auto& f) { core::bind_section<log_section>(s, log_keys, out.log, f); }},
    {"trace", [](const auto& s, auto& out,
                 auto& f) { core::bind_section<trace_settings>(s, trace_keys, out.trace, f); }},
    {"limits", [](const auto& s, auto& out,
                  auto& f) { core::bind_section<limit_settings>(s, limit_keys, out.limits, f); }},
}};

constexpr std::array<const char*, 4> level_names{"debug", "info", "warning", "error"};

void check_values(const settings& s, const std::string& file, std::vector<core::ini_error>& errors) {
    for (const auto& key : s.security.keys) {
        const auto colon = key.find(':');
        if (colon == std::string::npos || colon == 0 || key.size() - colon - 1 < min_secret_length) {
            errors.push_back({file, "security", "keys",
                              "each key must have the form ID:SECRET with a secret of at least " +
                                  std::to_string(min_secret_length) + " characters"});
        }
    }
    if (std::find(level_names.begin(), level_names.end(), s.log.level) == level_names.end()) {
        errors.push_back(
            {file, "log", "level", "'" + s.log.level + "' is none of debug, info, warning, error"});
    }
    if (s.log.format != "text" && s.log.format != "json") {
        errors.push_back({file, "log", "format", "'" + s.log.format + "' is neither text nor json"});
    }
    const std::array ports{s.listen.callers, s.listen.peer, s.listen.data, s.listen.admin};
    for (std::size_t i = 0; i < ports.size(); ++i) {
        for (std::size_t j = i + 1; j < ports.size(); ++j) {
            if (ports[i] == ports[j] && ports[i].port != 0) {
                errors.push_back(
                    {file, "listen", listen_keys[j].key,
                     core::to_string(ports[j]) + " is already used by '" + listen_keys[i].key + "'"});
            }
        }
    }
}

} // namespace

tl::expected<settings, std::vector<core::ini_error>> parse_settings(const std::string& text,
                                                                    const std::string& file) {
    const auto parsed = core::parse_ini(text, file);
    if (!parsed) {
        return tl::unexpected(std::vector{parsed.error()});
    }
    settings out;
    std::vector<core::ini_error> errors;
    std::set<std::string> missing = required_sections;
    for (const auto& section : *parsed) {
        const auto rule = std::find_if(sections.begin(), sections.end(),
                                       [&](const auto& s) { return section.name == s.name; });
        missing.erase(section.name);
        if (rule == sections.end()) {
            errors.push_back({file, section.name, "", "unknown section"});
        } else {
            rule->bind(section, out, errors);
        }
    }
    for (const auto& name : missing) {
        errors.push_back({file, name, "", "missing section"});
    }
    check_values(out, file, errors);
    if (!errors.empty()) {
        return tl::unexpected(std::move(errors));
    }
    return out;
}

net::key_ring settings::keys() const {
    net::key_ring ring{instance.cluster, {}};
    for (const auto& key : security.keys) {
        const auto colon = key.find(':');
        ring.keys.push_back({key.substr(0, colon), key.substr(colon + 1)});
    }
    return ring;
}

telemetry::log_settings settings::log_options() const {
    const auto level = std::find(level_names.begin(), level_names.end(), log.level);
    return {static_cast<telemetry::severity>(level - level_names.begin()),
            log.format == "json" ? telemetry::log_format::json : telemetry::log_format::text, instance.name};
}

} // namespace balsampost::daemon
