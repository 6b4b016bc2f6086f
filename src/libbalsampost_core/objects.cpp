// Parsing and validation of the operators' objects.
#include "balsampost/core/objects.h"

#include <algorithm>
#include <array>
#include <bit>
#include <set>

namespace balsampost::core {

namespace {

using error_list = std::vector<ini_error>;

const std::array<key_rule<region>, 2> region_keys{{
    {"failure_domains", true, &region::failure_domains},
    {"store", false, &region::store},
}};

const std::array<key_rule<profile>, 11> profile_keys{{
    {"w_unavailable", true, &profile::w_unavailable, 0, 1000},
    {"w_churn", true, &profile::w_churn, 0, 1000},
    {"w_imbalance", true, &profile::w_imbalance, 0, 1000},
    {"renew_ms", false, &profile::renew_interval, 10, 10'000},
    {"suspect_ms", false, &profile::suspect_timeout, 20, 60'000},
    {"right_ms", false, &profile::lease_length, 50, 60'000},
    {"promise_ms", false, &profile::promise_length, 50, 60'000},
    {"margin_ms", false, &profile::lease_margin, 10, 60'000},
    {"solo_ms", false, &profile::solo_lease_length, 100, 600'000},
    {"drift_percent", false, &profile::drift_percent, 0, 20},
    {"churn_per_minute", false, &profile::churn_per_minute, 1, 100'000},
}};

const std::array<key_rule<placement>, 2> placement_keys{{
    {"regions", true, &placement::regions},
    {"max_share_percent", false, &placement::max_share_percent, 1, 100},
}};

const std::array<key_rule<service>, 10> service_keys{{
    {"divided_by_key", true, &service::divided_by_key},
    {"slices", false, &service::slices, 1, 1U << 20U},
    {"cells", false, &service::cells, 1, 4096},
    {"slots", true, &service::slots, 1, 10'000},
    {"connections", true, &service::connections, 1, 100'000},
    {"queue_requests", false, &service::queue_requests, 1, 1'000'000},
    {"queue_bytes", false, &service::queue_bytes, 1024, 1U << 30U},
    {"verifies_grants", false, &service::verifies_grants},
    {"placement", true, &service::placement_name},
    {"profile", true, &service::profile_name},
}};

const std::array<key_rule<route>, 7> route_keys{{
    {"path", true, &route::path},
    {"methods", true, &route::methods},
    {"service", true, &route::service_name},
    {"key_header", false, &route::key_header},
    {"idempotent", true, &route::idempotent},
    {"deadline_ms", false, &route::deadline, 10, 600'000},
    {"class", false, &route::traffic_class},
}};

const std::array<key_rule<budget>, 6> budget_keys{{
    {"between", true, &budget::between},
    {"megabits_per_second", true, &budget::megabits_per_second, 1, 1'000'000},
    {"reads_percent", false, &budget::reads_percent, 1, 100},
    {"writes_percent", false, &budget::writes_percent, 1, 100},
    {"uploads_percent", false, &budget::uploads_percent, 1, 100},
    {"control_percent", false, &budget::control_percent, 1, 100},
}};

template <class T>
void add_object(const ini_section& section, const std::string& name, std::span<const key_rule<T>> rules,
                std::map<std::string, T>& objects, error_list& errors) {
    T value;
    bind_section(section, rules, value, errors);
    if (!objects.emplace(name, std::move(value)).second) {
        errors.push_back({section.file, section.name, "", "defined more than once"});
    }
}

/// Parses the sections of one kind of object; `add` adds the object of one section to a set.
struct kind_rule {
    std::string_view kind;
    void (*add)(const ini_section&, const std::string& name, object_set&, error_list&);
};

constexpr std::array<kind_rule, 6> kinds{{
    {"region", [](const ini_section& s, const std::string& n, object_set& set,
                  error_list& f) { add_object<region>(s, n, region_keys, set.regions, f); }},
    {"profile", [](const ini_section& s, const std::string& n, object_set& set,
                   error_list& f) { add_object<profile>(s, n, profile_keys, set.profiles, f); }},
    {"placement", [](const ini_section& s, const std::string& n, object_set& set,
                     error_list& f) { add_object<placement>(s, n, placement_keys, set.placements, f); }},
    {"service", [](const ini_section& s, const std::string& n, object_set& set,
                   error_list& f) { add_object<service>(s, n, service_keys, set.services, f); }},
    {"route", [](const ini_section& s, const std::string& n, object_set& set,
                 error_list& f) { add_object<route>(s, n, route_keys, set.routes, f); }},
    {"budget", [](const ini_section& s, const std::string& n, object_set& set,
                  error_list& f) { add_object<budget>(s, n, budget_keys, set.budgets, f); }},
}};

/// Checks a parsed set. Keeps the file of each section, so that errors can name it.
struct set_checker {
    const object_set& set;
    std::map<std::string, std::string> file_of_section;
    error_list& errors;

    void add(const std::string& section, const std::string& key, std::string reason) {
        const auto file = file_of_section.find(section);
        errors.push_back(
            {file == file_of_section.end() ? "" : file->second, section, key, std::move(reason)});
    }

    template <class T>
    void expect_reference(const std::string& section, const std::string& key,
                          const std::map<std::string, T>& objects, const std::string& kind,
                          const std::string& name) {
        if (!name.empty() && objects.count(name) == 0) {
            add(section, key, "there is no " + kind + " '" + name + "'");
        }
    }

    void check_regions() {
        std::map<std::string, std::string> region_of_domain;
        std::size_t stores = 0;
        for (const auto& [name, r] : set.regions) {
            stores += r.store ? 1 : 0;
            for (const auto& domain : r.failure_domains) {
                if (const auto [at, added] = region_of_domain.emplace(domain, name); !added) {
                    add("region " + name, "failure_domains",
                        "'" + domain + "' is also in region '" + at->second + "'");
                }
            }
        }
        if (stores != 1) {
            add(set.regions.empty() ? "" : "region " + set.regions.begin()->first, "store",
                "exactly one region must have store = yes, " + std::to_string(stores) + " have");
        }
    }

    void check_profiles() {
        for (const auto& [name, p] : set.profiles) {
            if (const auto [key, reason] = check_timing(p); !key.empty()) {
                add("profile " + name, key, reason);
            }
        }
    }

    void check_placements() {
        for (const auto& [name, p] : set.placements) {
            for (const auto& region_name : p.regions) {
                expect_reference("placement " + name, "regions", set.regions, "region", region_name);
            }
        }
    }

    void check_services() {
        for (const auto& [name, s] : set.services) {
            const std::string section = "service " + name;
            expect_reference(section, "placement", set.placements, "placement", s.placement_name);
            expect_reference(section, "profile", set.profiles, "profile", s.profile_name);
            if (!std::has_single_bit(s.slices)) {
                add(section, "slices", std::to_string(s.slices) + " is not a power of two");
            }
            if (s.cells > s.slices) {
                add(section, "cells", "more cells than slices");
            }
            if (s.connections < s.slots) {
                add(section, "connections", "fewer connections than slots");
            }
        }
    }

    void check_budgets() {
        std::set<std::vector<std::string>> pairs;
        for (const auto& [name, b] : set.budgets) {
            const std::string section = "budget " + name;
            auto pair = b.between;
            std::sort(pair.begin(), pair.end());
            if (pair.size() != 2 || pair[0] == pair[1]) {
                add(section, "between", "must name two different regions");
            }
            for (const auto& region_name : b.between) {
                expect_reference(section, "between", set.regions, "region", region_name);
            }
            if (!pairs.insert(pair).second) {
                add(section, "between", "another budget names the same pair of regions");
            }
            if (b.reads_percent + b.writes_percent + b.uploads_percent + b.control_percent > 100) {
                add(section, "control_percent", "the shares of the classes exceed 100 percent");
            }
        }
    }

    void check_routes();
};

std::vector<std::string_view> segments_of(std::string_view path) {
    std::vector<std::string_view> segments;
    std::size_t start = 1;
    while (start <= path.size() && !path.empty()) {
        const auto end = std::min(path.find('/', start), path.size());
        segments.push_back(path.substr(start, end - start));
        start = end + 1;
    }
    return segments;
}

bool is_key(std::string_view segment) {
    return segment == "{key}";
}
bool is_wildcard(std::string_view segment) {
    return segment == "{*}";
}

/// Whether some request matches both routes with the same specificity, so that neither takes precedence.
bool same_specificity(const route& a, const route& b) {
    const bool shared_method = std::any_of(a.methods.begin(), a.methods.end(), [&](const auto& m) {
        return std::find(b.methods.begin(), b.methods.end(), m) != b.methods.end();
    });
    const auto left = segments_of(a.path);
    const auto right = segments_of(b.path);
    if (!shared_method || left.size() != right.size()) {
        return false;
    }
    for (std::size_t i = 0; i < left.size(); ++i) {
        const bool both_keys = is_key(left[i]) && is_key(right[i]);
        if (left[i] != right[i] && !both_keys) {
            return false;
        }
    }
    return true;
}

void set_checker::check_routes() {
    for (auto it = set.routes.begin(); it != set.routes.end(); ++it) {
        const auto& [name, r] = *it;
        const std::string section = "route " + name;
        expect_reference(section, "service", set.services, "service", r.service_name);
        if (r.path.empty() || r.path.front() != '/') {
            add(section, "path", "must begin with '/'");
        }
        const auto segments = segments_of(r.path);
        const auto keys = std::count_if(segments.begin(), segments.end(), is_key);
        if (keys > 1) {
            add(section, "path", "contains {key} more than once");
        }
        for (std::size_t i = 0; i + 1 < segments.size(); ++i) {
            if (is_wildcard(segments[i])) {
                add(section, "path", "{*} is allowed only as the last segment");
            }
        }
        const auto owner = set.services.find(r.service_name);
        if (owner != set.services.end() && owner->second.divided_by_key && keys == 0 &&
            r.key_header.empty()) {
            add(section, "path", "the service is divided by key, but the route names no key");
        }
        if (r.traffic_class != "read" && r.traffic_class != "write" && r.traffic_class != "upload") {
            add(section, "class", "'" + r.traffic_class + "' is not one of read, write, upload");
        }
        for (auto other = std::next(it); other != set.routes.end(); ++other) {
            if (same_specificity(r, other->second)) {
                add(section, "path", "overlaps route '" + other->first + "'");
            }
        }
    }
}

/// Score of the match of `path` with `pattern`; empty without a match. Higher is more specific: a literal
/// segment takes precedence over {key}, and {key} over {*}. Sets `key` to the matched key, if any.
std::optional<std::uint64_t> specificity(const std::vector<std::string_view>& pattern,
                                         const std::vector<std::string_view>& path, std::string_view& key) {
    std::uint64_t score = 1;
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        if (is_wildcard(pattern[i])) {
            return score << (2 * (8 - std::min<std::size_t>(i, 8)));
        }
        if (i >= path.size() || (!is_key(pattern[i]) && pattern[i] != path[i])) {
            return std::nullopt;
        }
        if (is_key(pattern[i])) {
            if (path[i].empty()) {
                return std::nullopt;
            }
            key = path[i];
        }
        if (i < 8) {
            score = (score << 2U) | (is_key(pattern[i]) ? 2U : 3U);
        }
    }
    if (path.size() != pattern.size()) {
        return std::nullopt;
    }
    return score << (2 * (8 - std::min<std::size_t>(pattern.size(), 8)));
}

} // namespace

std::pair<std::string, std::string> check_timing(const profile& p) {
    if (p.suspect_timeout < 2 * p.renew_interval) {
        return {"suspect_ms", "must be at least twice renew_ms, or a single late answer counts as a failure"};
    }
    if (p.lease_length < p.suspect_timeout + p.renew_interval) {
        return {"right_ms",
                "must be at least suspect_ms + renew_ms, or leases expire before a failure is suspected"};
    }
    if (p.promise_length < 2 * p.renew_interval) {
        return {"promise_ms", "must be at least twice renew_ms"};
    }
    if (p.lease_margin > p.lease_length) {
        return {"margin_ms", "must not exceed right_ms"};
    }
    if (p.solo_lease_length < 2 * p.promise_length) {
        return {"solo_ms", "must be at least twice promise_ms"};
    }
    return {};
}

tl::expected<object_set, std::vector<ini_error>> parse_objects(std::span<const object_file> files) {
    error_list errors;
    object_set set;
    set_checker check{set, {}, errors};
    for (const auto& file : files) {
        auto sections = parse_ini(file.text, file.name);
        if (!sections) {
            errors.push_back(sections.error());
            continue;
        }
        for (const auto& section : *sections) {
            const auto space = section.name.find(' ');
            const std::string kind = section.name.substr(0, space);
            const std::string name = space == std::string::npos ? "" : section.name.substr(space + 1);
            const auto rule =
                std::find_if(kinds.begin(), kinds.end(), [&](const auto& k) { return k.kind == kind; });
            if (rule == kinds.end()) {
                errors.push_back({section.file, section.name, "", "unknown kind '" + kind + "'"});
            } else if (name.empty() || name.find_first_of(" /\t") != std::string::npos) {
                errors.push_back({section.file, section.name, "",
                                  "a section header must be [kind name] with a one-word name"});
            } else {
                check.file_of_section.emplace(section.name, section.file);
                rule->add(section, name, set, errors);
            }
        }
    }
    check.check_regions();
    check.check_profiles();
    check.check_placements();
    check.check_services();
    check.check_budgets();
    check.check_routes();
    if (!errors.empty()) {
        return tl::unexpected(std::move(errors));
    }
    return set;
}

std::optional<route_match> match_route(const object_set& objects, std::string_view method,
                                       std::string_view path) {
    const auto segments = segments_of(path);
    std::optional<route_match> best;
    std::uint64_t best_score = 0;
    for (const auto& [name, r] : objects.routes) {
        if (std::find(r.methods.begin(), r.methods.end(), method) == r.methods.end()) {
            continue;
        }
        std::string_view key;
        const auto score = specificity(segments_of(r.path), segments, key);
        if (score && *score > best_score) {
            best_score = *score;
            best = route_match{&name, &r, key};
        }
    }
    return best;
}

} // namespace balsampost::core
