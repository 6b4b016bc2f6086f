// balsampost: the operators' command line.
#include "commands.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace balsampost::cli {

namespace {

namespace options = boost::program_options;

constexpr const char* version_text = "balsampost 0.1.0";

void print_help(const options::options_description& described) {
    std::cout << "balsampost: the operators' command line of the balsampost router\n\n"
                 "Usage: balsampost [OPTIONS] COMMAND [ARGUMENTS]\n\nCommands:\n";
    for (const auto& command : all_commands()) {
        const std::string left = std::string(command.name) + " " + command.arguments;
        std::cout << "  " << left << std::string(left.size() < 30 ? 30 - left.size() : 1, ' ') << command.help
                  << "\n";
    }
    std::cout << "\n"
              << described
              << "\nExamples:\n"
                 "  balsampost check examples/mackinlay\n"
                 "  balsampost --platform 127.0.0.1:7000 apply examples/mackinlay\n"
                 "  balsampost --instance 127.0.1.1:7403 explain vacancy-index EH1-bed-14\n";
}

bool parse_addresses(const char* option, const std::vector<std::string>& texts,
                     std::vector<core::endpoint>& out) {
    for (const auto& text : texts) {
        const auto parsed = core::parse_endpoint(text);
        if (!parsed) {
            std::cerr << "balsampost: " << option << ": " << parsed.error() << "\n";
            return false;
        }
        out.push_back(*parsed);
    }
    return true;
}

int run(int argc, char** argv) {
    cli_options given;
    std::vector<std::string> instances;
    std::vector<std::string> platform;
    std::vector<std::string> words;
    std::uint32_t wait_ms = 0;
    options::options_description described("Options");
    const char* token = std::getenv("BALSAMPOST_TOKEN");
    described.add_options()("help,h", "print this help")("version", "print the version")(
        "instance,i", options::value(&instances)->composing(),
        "admin address of an instance; may be repeated")("platform,p", options::value(&platform)->composing(),
                                                         "address of the platform's object API")(
        "token,t",
        options::value(&given.token)->default_value(token != nullptr ? token : "", "$BALSAMPOST_TOKEN"),
        "operator token, for commands that change something")(
        "wait", options::value(&wait_ms)->default_value(0), "apply: milliseconds to wait for every instance");
    options::options_description hidden;
    hidden.add(described).add_options()("words", options::value(&words));
    options::positional_options_description positions;
    positions.add("words", -1);
    options::variables_map map;
    try {
        options::store(options::command_line_parser(argc, argv).options(hidden).positional(positions).run(),
                       map);
        options::notify(map);
    } catch (const options::error& e) {
        std::cerr << "balsampost: " << e.what() << "\n";
        return exit_usage;
    }
    if (map.count("help") != 0) {
        print_help(described);
        return exit_ok;
    }
    if (map.count("version") != 0 || (words.size() == 1 && words[0] == "version")) {
        std::cout << version_text << "\n";
        return exit_ok;
    }
    given.wait = core::milliseconds(wait_ms);
    if (!parse_addresses("--instance", instances, given.instances) ||
        !parse_addresses("--platform", platform, given.platform)) {
        return exit_usage;
    }
    if (words.empty()) {
        std::cerr << "balsampost: no command; see balsampost --help\n";
        return exit_usage;
    }
    const auto& commands = all_commands();
    const auto at =
        std::find_if(commands.begin(), commands.end(), [&](const auto& c) { return words[0] == c.name; });
    if (at == commands.end()) {
        std::cerr << "balsampost: unknown command '" << words[0] << "'; see balsampost --help\n";
        return exit_usage;
    }
    const std::vector<std::string> arguments(words.begin() + 1, words.end());
    if (arguments.size() < at->least || arguments.size() > at->most) {
        std::cerr << "balsampost: usage: balsampost " << at->name << " " << at->arguments << "\n";
        return exit_usage;
    }
    return at->run(given, arguments);
}

} // namespace

} // namespace balsampost::cli

int main(int argc, char** argv) {
    return balsampost::cli::run(argc, argv);
}
