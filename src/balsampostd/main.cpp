// balsampostd: the daemon. Every instance plays every part; the threads are control, traffic and admin.
#include "admin.h"
#include "control.h"
#include "traffic.h"

#include "balsampost/telemetry/log.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace balsampost::daemon {

namespace {

constexpr const char* version_text = "balsampostd 0.1.0";
constexpr std::size_t order_ring = 4096;
constexpr std::size_t report_ring = 4096;
constexpr std::size_t command_ring = 64;
constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 1;

std::optional<settings> load_settings(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        std::cerr << "balsampostd: " << path << ": cannot be read\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    auto parsed = parse_settings(text.str(), path);
    if (!parsed) {
        for (const auto& fault : parsed.error()) {
            std::cerr << "balsampostd: " << core::to_string(fault) << "\n";
        }
        return std::nullopt;
    }
    return *parsed;
}

/// Runs until a signal has brought the graceful shutdown to its end.
int run(const settings& config) {
    telemetry::start_log(config.log_options());
    const core::instance_id self{
        config.instance.name,
        static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count())};
    metrics measured;
    telemetry::span_store spans(config.trace.keep);
    control state(config, self, measured);
    traffic_thread requests(config, self, measured, spans);
    admin pages(config, state, measured, spans);
    ring<traffic_order> orders(requests.context(), order_ring,
                               [&](traffic_order& o) { requests.consume(o); });
    ring<control_report> reports(state.context(), report_ring, [&](control_report& r) { state.consume(r); });
    ring<operator_command> commands(state.context(), command_ring,
                                    [&](operator_command& c) { state.consume(c); });
    state.connect(orders);
    requests.connect(reports);
    pages.connect(commands);
    net::asio::io_context signals_context(1);
    net::asio::signal_set signals(signals_context, SIGTERM, SIGINT);
    try {
        requests.start();
        state.start();
        pages.start();
    } catch (const boost::system::system_error& e) {
        telemetry::log(telemetry::event::start_failed, {{"reason", e.what()}});
        std::cerr << "balsampostd: cannot listen: " << e.what() << "\n";
        return exit_cannot_start;
    }
    telemetry::log(telemetry::event::started, {{"id", core::to_string(self)}});
    // Further signals change nothing: the shutdown ends by itself, at its deadline at the latest.
    bool stopping = false;
    const auto work = net::asio::make_work_guard(signals_context);
    std::function<void()> wait_for_signal = [&] {
        signals.async_wait([&](net::error_code, int) {
            if (!stopping) {
                stopping = true;
                telemetry::log(telemetry::event::stopping, {});
                net::asio::post(state.context(), [&] {
                    state.leave([&] { net::asio::post(signals_context, [&] { signals_context.stop(); }); });
                });
            }
            wait_for_signal();
        });
    };
    wait_for_signal();
    signals_context.run();
    pages.stop();
    requests.stop();
    state.stop();
    telemetry::log(telemetry::event::stopped, {});
    return 0;
}

} // namespace

} // namespace balsampost::daemon

int main(int argc, char** argv) {
    namespace options = boost::program_options;
    options::options_description described(
        "balsampostd: router for backend servers that own keys exclusively\n\n"
        "Usage: balsampostd --config FILE [--check-config]\n\nOptions");
    described.add_options()("help,h", "print this help")("version", "print the version")(
        "config,c", options::value<std::string>(),
        "settings file (INI)")("check-config", "check the settings and exit: 0 if they are sound, 2 if not");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
    } catch (const options::error& e) {
        std::cerr << "balsampostd: " << e.what() << "\n";
        return balsampost::daemon::exit_bad_settings;
    }
    if (given.count("help") != 0) {
        std::cout << described << "\nExample: balsampostd --config /etc/balsampost/instance.ini\n";
        return 0;
    }
    if (given.count("version") != 0) {
        std::cout << balsampost::daemon::version_text << "\n";
        return 0;
    }
    if (given.count("config") == 0) {
        std::cerr << "balsampostd: --config is missing\n";
        return balsampost::daemon::exit_bad_settings;
    }
    const auto config = balsampost::daemon::load_settings(given["config"].as<std::string>());
    if (!config) {
        return balsampost::daemon::exit_bad_settings;
    }
    return given.count("check-config") != 0 ? 0 : balsampost::daemon::run(*config);
}
