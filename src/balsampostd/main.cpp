// balsampostd: the router daemon. Every instance can take every role (entry, home, coordinator, relay); the
// process has a control thread, a traffic thread and an admin thread.
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
constexpr std::size_t order_ring_capacity = 4096;
constexpr std::size_t report_ring_capacity = 4096;
constexpr std::size_t command_ring_capacity = 64;
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
        for (const auto& error : parsed.error()) {
            std::cerr << "balsampostd: " << core::to_string(error) << "\n";
        }
        return std::nullopt;
    }
    return *parsed;
}

/// Runs the daemon until the graceful shutdown that SIGTERM or SIGINT starts is complete. Returns the exit
/// status.
int run(const settings& config) {
    telemetry::start_log(config.log_options());
    const core::instance_id self{
        config.instance.name,
        static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count())};
    metrics daemon_metrics;
    telemetry::span_store spans(config.trace.keep);
    control control_plane(config, self, daemon_metrics);
    traffic_thread data_plane(config, self, daemon_metrics, spans);
    admin admin_server(config, control_plane, daemon_metrics, spans);
    ring<traffic_order> orders(data_plane.context(), order_ring_capacity,
                               [&](traffic_order& order) { data_plane.consume(order); });
    ring<control_report> reports(control_plane.context(), report_ring_capacity,
                                 [&](control_report& report) { control_plane.consume(report); });
    ring<operator_command> commands(control_plane.context(), command_ring_capacity,
                                    [&](operator_command& command) { control_plane.consume(command); });
    control_plane.connect(orders);
    data_plane.connect(reports);
    admin_server.connect(commands);
    net::asio::io_context signal_context(1);
    net::asio::signal_set signals(signal_context, SIGTERM, SIGINT);
    try {
        data_plane.start();
        control_plane.start();
        admin_server.start();
    } catch (const boost::system::system_error& e) {
        telemetry::log(telemetry::event::start_failed, {{"reason", e.what()}});
        std::cerr << "balsampostd: cannot listen: " << e.what() << "\n";
        return exit_cannot_start;
    }
    telemetry::log(telemetry::event::started, {{"id", core::to_string(self)}});
    // Further signals are ignored: the shutdown always ends, at its deadline at the latest.
    bool stopping = false;
    const auto work_guard = net::asio::make_work_guard(signal_context);
    std::function<void()> wait_for_signal = [&] {
        signals.async_wait([&](net::error_code, int) {
            if (!stopping) {
                stopping = true;
                telemetry::log(telemetry::event::stopping, {});
                net::asio::post(control_plane.context(), [&] {
                    control_plane.leave(
                        [&] { net::asio::post(signal_context, [&] { signal_context.stop(); }); });
                });
            }
            wait_for_signal();
        });
    };
    wait_for_signal();
    signal_context.run();
    admin_server.stop();
    data_plane.stop();
    control_plane.stop();
    telemetry::log(telemetry::event::stopped, {});
    return 0;
}

} // namespace

} // namespace balsampost::daemon

int main(int argc, char** argv) {
    namespace options = boost::program_options;
    options::options_description description(
        "balsampostd: router for backend servers that own keys exclusively\n\n"
        "Usage: balsampostd --config FILE [--check-config]\n\nOptions");
    description.add_options()("help,h", "print this help")("version", "print the version")(
        "config,c", options::value<std::string>(),
        "settings file (INI)")("check-config", "check the settings and exit: 0 if they are valid, 2 if not");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
        options::notify(arguments);
    } catch (const options::error& e) {
        std::cerr << "balsampostd: " << e.what() << "\n";
        return balsampost::daemon::exit_bad_settings;
    }
    if (arguments.count("help") != 0) {
        std::cout << description << "\nExample: balsampostd --config /etc/balsampost/instance.ini\n";
        return 0;
    }
    if (arguments.count("version") != 0) {
        std::cout << balsampost::daemon::version_text << "\n";
        return 0;
    }
    if (arguments.count("config") == 0) {
        std::cerr << "balsampostd: --config is missing\n";
        return balsampost::daemon::exit_bad_settings;
    }
    const auto config = balsampost::daemon::load_settings(arguments["config"].as<std::string>());
    if (!config) {
        return balsampost::daemon::exit_bad_settings;
    }
    return arguments.count("check-config") != 0 ? 0 : balsampost::daemon::run(*config);
}
