// The store comes back from a copy that is some seconds old.
#include "cases.h"
#include "site.h"

namespace balsampost::review::rig_3 {

namespace {

constexpr milliseconds away_time{300};
constexpr milliseconds caller_interval{40};

} // namespace

/// Servers are added before and after the store's return. The copy holds the table from before the first of
/// them owned keys.
std::optional<int> play_keys_after_restore(record& out, bool trouble, const std::string& program) {
    constexpr milliseconds first_added{8'000};
    constexpr milliseconds restored{11'000};
    constexpr milliseconds copy_age{3'500};
    constexpr milliseconds second_added{14'000};
    constexpr milliseconds end{24'000};
    site s(out, {program, 2, 1, 4});
    if (!s.start()) {
        return std::nullopt;
    }
    s.start_callers(caller_interval);
    s.wait_until(first_added);
    s.add_server(true);
    s.wait_until(restored);
    if (trouble) {
        s.store().restore_copy(copy_age, away_time);
    }
    s.wait_until(second_added);
    s.add_server(true);
    s.wait_until(end);
    s.stop_callers();
    return out.end("OWNER");
}

/// A manifest is confirmed after the store's return, while the store's revision is still below the one that
/// the instances have seen.
std::optional<int> play_manifest_after_restore(record& out, bool trouble, const std::string& program) {
    constexpr milliseconds restored{10'000};
    constexpr milliseconds copy_age{5'000};
    constexpr milliseconds config_apply{2'000};
    constexpr milliseconds max_stretch{5'000};
    constexpr milliseconds watched{15'000};
    constexpr milliseconds probe_interval{100};
    site s(out, {program, 2, 2, 2});
    if (!s.start()) {
        return std::nullopt;
    }
    s.start_callers(caller_interval);
    s.wait_until(restored);
    if (trouble) {
        s.store().restore_copy(copy_age, away_time);
    }
    std::this_thread::sleep_for(milliseconds{500});
    s.write_manifest(2, true);
    const auto bound = out.elapsed() + config_apply + max_stretch;
    s.wait_until(bound);
    out.line("from here on each request on the added route must be served by the manifest 00000002");
    std::map<std::string, std::map<int, int>> statuses;
    for (int n = 0; out.elapsed() < bound + watched; ++n) {
        for (const auto& i : s.instances()) {
            const auto id = "p-" + i->name() + "-" + std::to_string(n);
            const auto r = s.request(*i, "GET", "/added/x", "", id, milliseconds{1'500});
            ++statuses[i->name()][r.status];
            s.log_request(i->name(), id, "", r.status);
            if (r.status == 404) {
                out.breach("instance " + i->name() + " answers 404 on the added route to request " + id);
            }
        }
        std::this_thread::sleep_for(probe_interval);
    }
    for (const auto& [name, counts] : statuses) {
        for (const auto& [status, count] : counts) {
            out.line("added route at " + name + ": status " + std::to_string(status) + " " +
                     std::to_string(count) + " times");
        }
    }
    s.stop_callers();
    return out.end("CONFIG");
}

} // namespace balsampost::review::rig_3
