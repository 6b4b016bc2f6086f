// balsampost-load: sends a user's workload through the entries and judges the outcome against the servers'
// audits.
#include "judge.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace options = boost::program_options;
namespace load = balsampost::load;

void print_table(const load::verdict& v) {
    const std::vector<std::pair<const char*, std::uint64_t>> rows{{"requests", v.requests},
                                                                  {"answered", v.answered},
                                                                  {"not run", v.not_run},
                                                                  {"unknown", v.unknown},
                                                                  {"lost", v.lost},
                                                                  {"doubled", v.doubled},
                                                                  {"falsely not run", v.falsely_not_run},
                                                                  {"crossed", v.crossed},
                                                                  {"truncated", v.truncated},
                                                                  {"owners overlap", v.owners_overlap}};
    for (const auto& [name, count] : rows) {
        std::printf("  %-18s %10llu\n", name, static_cast<unsigned long long>(count));
    }
    std::printf("  %-18s %10.1f ms\n  %-18s %10.1f ms\n  %-18s %10.1f ms\n  %-18s %10lld ms\n", "p50",
                static_cast<double>(v.p50_us) / 1000, "p99", static_cast<double>(v.p99_us) / 1000, "p99.9",
                static_cast<double>(v.p999_us) / 1000, "unavailable max",
                static_cast<long long>(v.unavailable_ms_max));
    for (const auto& [reason, count] : v.reasons) {
        std::printf("  refused: %-18s %10llu\n", reason.c_str(), static_cast<unsigned long long>(count));
    }
}

} // namespace

int main(int argc, char** argv) {
    load::run_settings settings;
    std::vector<std::string> entries;
    std::string user;
    std::string audits;
    std::string format;
    std::uint32_t seconds = 0;
    std::uint32_t deadline_ms = 0;
    options::options_description described("balsampost-load: workload and judge\n\nOptions");
    described.add_options()("help,h", "print this help")("entry", options::value(&entries)->composing(),
                                                         "callers' address of an instance; may be repeated")(
        "user", options::value(&user)->default_value("mackinlay"), "mackinlay or exchange")(
        "rate", options::value(&settings.rate)->default_value(100), "requests a second, open loop")(
        "seconds", options::value(&seconds)->default_value(10), "length of the run")(
        "seed", options::value(&settings.seed)->default_value(1), "seed of every random choice")(
        "keys", options::value(&settings.keys)->default_value(1000), "number of keys")(
        "zipf", options::value(&settings.zipf)->default_value(0.9), "skew of the keys; 0 is uniform")(
        "deadline-ms", options::value(&deadline_ms)->default_value(2000), "callers' deadline")(
        "keyed-only", options::bool_switch(&settings.keyed_only), "only requests with a key")(
        "audits", options::value(&audits)->default_value("."), "directory of the servers' audits")(
        "format", options::value(&format)->default_value("line"), "line, table or json");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
    } catch (const options::error& e) {
        std::cerr << "balsampost-load: " << e.what() << "\n";
        return 2;
    }
    if (given.count("help") != 0) {
        std::cout << described;
        return 0;
    }
    settings.work = load::find_workload(user);
    if (settings.work == nullptr || entries.empty()) {
        std::cerr << "balsampost-load: needs --entry, and --user mackinlay or exchange\n";
        return 2;
    }
    for (const auto& text : entries) {
        const auto parsed = balsampost::core::parse_endpoint(text);
        if (!parsed || parsed->address.rfind("127.", 0) != 0) {
            std::cerr << "balsampost-load: --entry: "
                      << (parsed ? "load goes to 127.0.0.0/8 only" : parsed.error()) << "\n";
            return 2;
        }
        settings.entries.push_back(*parsed);
    }
    settings.length = std::chrono::seconds(seconds);
    settings.deadline = balsampost::core::milliseconds(deadline_ms);
    const auto records = load::run_workload(settings);
    const auto verdict = load::judge(records, load::read_audits(audits));
    if (format == "table") {
        print_table(verdict);
    } else {
        std::cout << (format == "json" ? load::to_json(verdict) : load::to_line(verdict)) << "\n";
    }
    return verdict.sound() ? 0 : 1;
}
