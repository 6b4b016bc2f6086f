// The commands.
#include "commands.h"

#include "balsampost/core/config_document.h"
#include "balsampost/core/objects.h"
#include "balsampost/net/frame.h"
#include "balsampost/net/http.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace balsampost::cli {

namespace {

constexpr core::milliseconds call_time{5000};
constexpr core::milliseconds poll_time{50};
using core::config_document;
using core::config_object;
constexpr const char* history_prefix = core::config_history_prefix;

int fail_with(const std::string& message) {
    std::cerr << "balsampost: " << message << "\n";
    return exit_failed;
}

std::optional<std::vector<core::object_file>> read_directory(const std::string& directory) {
    std::vector<core::object_file> files;
    std::error_code ec;
    for (const auto& entry : std::filesystem::directory_iterator(directory, ec)) {
        if (entry.path().extension() == ".ini") {
            std::ifstream file(entry.path());
            std::stringstream text;
            text << file.rdbuf();
            files.push_back({entry.path().filename().string(), text.str()});
        }
    }
    if (ec || files.empty()) {
        std::cerr << "balsampost: " << directory << ": " << (ec ? ec.message() : "no .ini files") << "\n";
        return std::nullopt;
    }
    std::sort(files.begin(), files.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
    return files;
}

std::optional<core::object_set> checked(const std::vector<core::object_file>& files) {
    auto parsed = core::parse_objects(files);
    if (!parsed) {
        for (const auto& fault : parsed.error()) {
            std::cerr << "balsampost: " << core::to_string(fault) << "\n";
        }
        return std::nullopt;
    }
    return *parsed;
}

int check(const cli_options&, const std::vector<std::string>& words) {
    const auto files = read_directory(words[0]);
    return files && checked(*files) ? exit_ok : exit_failed;
}

/// Asks the platform, address by address.
core::result<net::http_answer> ask_platform(const cli_options& options, const net::http_request& request) {
    core::result<net::http_answer> answer =
        core::fail(core::error_code::unavailable, "no --platform address given");
    for (const auto& address : options.platform) {
        answer = net::request_once(address, request, call_time);
        if (answer) {
            break;
        }
    }
    return answer;
}

core::result<net::http_answer> ask_instance(const cli_options& options, const net::http_request& request) {
    core::result<net::http_answer> answer =
        core::fail(core::error_code::unavailable, "no --instance address given");
    for (const auto& address : options.instances) {
        answer = net::request_once(address, request, call_time);
        if (answer) {
            break;
        }
    }
    return answer;
}

std::uint64_t version_of(const net::http_answer& answer) {
    const auto at = answer.headers.find("object-version");
    return at == answer.headers.end() ? 0 : std::strtoull(at->second.c_str(), nullptr, 10);
}

struct published {
    std::uint64_t version = 0;
    config_document document;
};

core::result<published> read_published(const cli_options& options, const std::string& object) {
    const auto answer = ask_platform(options, {"GET", "/objects/" + object, "", {}});
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (answer->status == 404) {
        return published{};
    }
    if (answer->status != 200) {
        return core::fail(core::error_code::refused,
                          "the platform answered " + std::to_string(answer->status));
    }
    auto document = net::unpack_message<config_document>(answer->body);
    if (!document) {
        return tl::unexpected(document.error());
    }
    return published{version_of(*answer), std::move(*document)};
}

/// Writes the document, and after a lost answer finds out by reading back. The version it became, or an
/// error.
core::result<std::uint64_t> publish(const cli_options& options, const config_document& document,
                                    std::uint64_t if_version) {
    const net::http_request request{"PUT",
                                    std::string("/objects/") + config_object +
                                        "?if_version=" + std::to_string(if_version),
                                    net::pack_message(document),
                                    {}};
    const auto answer = ask_platform(options, request);
    if (answer && answer->status == 200) {
        return version_of(*answer);
    }
    if (answer && answer->status != 409) {
        return core::fail(core::error_code::refused,
                          "the platform answered " + std::to_string(answer->status));
    }
    const auto now_there = read_published(options, config_object);
    if (!now_there) {
        return core::fail(core::error_code::unknown_outcome,
                          "it is not known whether the change was accepted: " + now_there.error().message);
    }
    if (now_there->document.write_id == document.write_id) {
        return now_there->version;
    }
    if (now_there->version == if_version) {
        return core::fail(
            core::error_code::unknown_outcome,
            "no answer, and the change is not stored yet; it may still arrive: look at `config show`");
    }
    return core::fail(core::error_code::conflict,
                      "another operator (" + now_there->document.author + ") published version " +
                          std::to_string(now_there->version) + " meanwhile; look at it and apply again");
}

/// Waits until every announced instance has `version` in force; names those that have not.
int wait_in_force(const cli_options& options, std::uint64_t version) {
    const auto deadline = std::chrono::steady_clock::now() + options.wait;
    std::string missing = "no --instance address given";
    do {
        const auto answer = ask_instance(options, {"GET", "/status", "", {}});
        const auto status = answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
        missing = answer ? "" : answer.error().message;
        if (status.is_object()) {
            for (const auto& instance : status["instances"]) {
                if (instance["config_version"].get<std::uint64_t>() < version) {
                    missing += " " + instance["id"].get<std::string>();
                }
            }
        }
        if (missing.empty()) {
            std::cout << "version " << version << " is in force everywhere\n";
            return exit_ok;
        }
        std::this_thread::sleep_for(poll_time);
    } while (std::chrono::steady_clock::now() < deadline);
    return fail_with("version " + std::to_string(version) +
                     " is accepted, but not yet in force at:" + missing);
}

int apply(const cli_options& options, const std::vector<std::string>& words) {
    const auto files = read_directory(words[0]);
    if (!files || !checked(*files)) {
        return exit_failed;
    }
    const auto present = read_published(options, config_object);
    if (!present) {
        return fail_with("cannot read the published objects: " + present.error().message);
    }
    std::uint64_t base = present->version;
    if (words.size() > 1) {
        base = std::strtoull(words[1].c_str(), nullptr, 10);
    }
    std::random_device random;
    config_document document;
    document.write_id = (static_cast<std::uint64_t>(random()) << 32U) | random();
    const char* user = std::getenv("USER");
    document.author = user != nullptr ? user : "operator";
    for (const auto& file : *files) {
        document.files.emplace_back(file.name, file.text);
    }
    const auto version = publish(options, document, base);
    if (!version) {
        return fail_with(version.error().message);
    }
    // History is for operators only; the daemons never read it, so a lost write here loses nothing of the
    // change.
    ask_platform(options,
                 {"PUT",
                  std::string("/objects/") + history_prefix + std::to_string(*version) + "?if_version=0",
                  net::pack_message(document),
                  {}});
    std::cout << "accepted as version " << *version << "\n";
    return options.wait.count() > 0 ? wait_in_force(options, *version) : exit_ok;
}

void print_document(const published& p) {
    std::cout << "# version " << p.version << " by " << p.document.author << "\n";
    for (const auto& [name, text] : p.document.files) {
        std::cout << "# file " << name << "\n" << text << "\n";
    }
}

int config_diff(const published& before, const published& later) {
    for (const auto& [name, text] : later.document.files) {
        const auto old = std::find_if(before.document.files.begin(), before.document.files.end(),
                                      [&, n = name](const auto& f) { return f.first == n; });
        if (old == before.document.files.end()) {
            std::cout << "added " << name << "\n";
            continue;
        }
        std::multiset<std::string> lines;
        std::istringstream old_text(old->second);
        for (std::string line; std::getline(old_text, line);) {
            lines.insert(line);
        }
        std::istringstream new_text(text);
        for (std::string line; std::getline(new_text, line);) {
            const auto same = lines.find(line);
            if (same == lines.end()) {
                std::cout << name << ": + " << line << "\n";
            } else {
                lines.erase(same);
            }
        }
        for (const auto& line : lines) {
            std::cout << name << ": - " << line << "\n";
        }
    }
    return exit_ok;
}

int config(const cli_options& options, const std::vector<std::string>& words) {
    const auto present = read_published(options, config_object);
    if (!present) {
        return fail_with(present.error().message);
    }
    if (present->version == 0) {
        return fail_with("nothing is published yet");
    }
    if (words[0] == "show") {
        print_document(*present);
        return exit_ok;
    }
    if (words[0] == "history") {
        for (std::uint64_t version = 1; version <= present->version; ++version) {
            const auto old = read_published(options, history_prefix + std::to_string(version));
            std::cout << version << " "
                      << (old && old->version != 0 ? old->document.author : std::string("(not recorded)"))
                      << "\n";
        }
        return exit_ok;
    }
    if (words[0] == "diff" && words.size() == 2) {
        const auto old = read_published(options, history_prefix + words[1]);
        if (!old || old->version == 0) {
            return fail_with("version " + words[1] + " is not recorded");
        }
        return config_diff(*old, *present);
    }
    std::cerr << "balsampost: usage: balsampost config show|history|diff VERSION\n";
    return exit_usage;
}

core::result<nlohmann::json> status_of(const cli_options& options) {
    const auto answer = ask_instance(options, {"GET", "/status", "", {}});
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    auto json = nlohmann::json::parse(answer->body, nullptr, false);
    if (!json.is_object()) {
        return core::fail(core::error_code::protocol, "the instance's status is not JSON");
    }
    return json;
}

int status(const cli_options& options, const std::vector<std::string>&) {
    const auto json = status_of(options);
    if (!json) {
        return fail_with(json.error().message);
    }
    const auto& s = *json;
    std::cout << "instance " << s["instance"].get<std::string>() << "  config " << s["config_version"]
              << "  members " << s["members_version"] << "  store "
              << (s["store_out"].get<bool>() ? "out" : "up") << "  relay parent "
              << s["relay_parent"].get<std::string>() << "\n";
    for (const auto& i : s["instances"]) {
        std::cout << "  " << i["id"].get<std::string>() << "  " << i["failure_domain"].get<std::string>()
                  << "  config " << i["config_version"] << (i["leaving"].get<bool>() ? "  leaving" : "")
                  << "\n";
    }
    for (const auto& c : s["cells"]) {
        std::cout << "cell " << c["cell"].get<std::string>() << "  holder " << c["holder"].get<std::string>()
                  << "  standby " << c["standby"].get<std::string>() << "  table "
                  << c["table_version"].get<std::string>() << "\n";
        for (const auto& p : c.value("pending", nlohmann::json::array())) {
            std::cout << "  pending: " << p["what"].get<std::string>() << ", waiting for "
                      << p["waiting_for"].get<std::string>() << "\n";
        }
    }
    return exit_ok;
}

int owners(const cli_options& options, const std::vector<std::string>& words) {
    const auto json = status_of(options);
    if (!json) {
        return fail_with(json.error().message);
    }
    for (const auto& c : (*json)["cells"]) {
        const auto name = c["cell"].get<std::string>();
        if (!words.empty() && name.rfind(words[0] + "/", 0) != 0) {
            continue;
        }
        for (const auto& server : c.value("servers", nlohmann::json::array())) {
            std::cout << name << "  " << server["name"].get<std::string>() << "  home "
                      << server["home"].get<std::string>() << "  slices " << server["slices"] << "\n";
        }
    }
    return exit_ok;
}

int send_command(const cli_options& options, const std::vector<std::string>& words) {
    net::http_request request{"POST", "/command", nlohmann::json(words).dump(), {}};
    request.headers["Authorization"] = "Bearer " + options.token;
    const auto answer = ask_instance(options, request);
    if (!answer) {
        return fail_with(answer.error().message);
    }
    std::string text = answer->body;
    while (!text.empty() && text.back() == '\n') {
        text.pop_back();
    }
    if (answer->status != 200) {
        return fail_with(text);
    }
    std::cout << text << "\n";
    return exit_ok;
}

int explain(const cli_options& options, const std::vector<std::string>& words) {
    return send_command(options, {"explain", words[0], words[1]});
}

int move(const cli_options& options, const std::vector<std::string>& words) {
    return send_command(options, {"move", words[0], words[1], words[2]});
}

int trace(const cli_options& options, const std::vector<std::string>& words) {
    bool any = false;
    std::vector<std::string> lines;
    for (const auto& address : options.instances) {
        const auto answer = net::request_once(address, {"GET", "/traces?id=" + words[0], "", {}}, call_time);
        std::istringstream text(answer ? answer->body : "");
        for (std::string line; std::getline(text, line);) {
            any = true;
            lines.push_back(line);
        }
    }
    std::sort(lines.begin(), lines.end(), [](const auto& a, const auto& b) {
        return nlohmann::json::parse(a)["start_ns"].template get<std::int64_t>() <
               nlohmann::json::parse(b)["start_ns"].template get<std::int64_t>();
    });
    for (const auto& line : lines) {
        std::cout << line << "\n";
    }
    return any ? exit_ok : fail_with("no instance holds a span of trace " + words[0]);
}

/// Leaving is said to the platform, whose list everyone goes by.
int drain(const cli_options& options, const std::vector<std::string>& words) {
    const auto answer = ask_platform(options, {"PUT", "/members/" + words[0] + "?state=leaving", "", {}});
    if (!answer) {
        return fail_with(answer.error().message);
    }
    if (answer->status != 200) {
        return fail_with("the platform does not know a member '" + words[0] + "'");
    }
    std::cout << words[0] << " is leaving\n";
    return exit_ok;
}

} // namespace

const std::vector<command_rule>& all_commands() {
    static const std::vector<command_rule> commands{
        {"check", "DIR", "check a set of objects; needs no server", 1, 1, check},
        {"apply", "DIR [BASE]", "check and publish a set, on top of version BASE", 1, 2, apply},
        {"config", "show|history|diff", "the published objects and their versions", 1, 2, config},
        {"status", "", "the instance's view of instances and cells", 0, 0, status},
        {"owners", "[SERVICE]", "servers, their homes and how many slices they own", 0, 1, owners},
        {"explain", "SERVICE KEY", "who owns a key, under which epoch, through which home", 2, 2, explain},
        {"move", "SERVICE SLICE SERVER", "move a slice to another server", 3, 3, move},
        {"drain", "MEMBER", "take a server or an instance out gracefully", 1, 1, drain},
        {"trace", "ID", "the spans of a request, joined across --instance addresses", 1, 1, trace},
    };
    return commands;
}

} // namespace balsampost::cli
