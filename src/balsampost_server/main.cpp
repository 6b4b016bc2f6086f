// balsampost-server: a stand-in backend server that owns slices under leases and writes an audit of what it
// ran. For tests and demonstrations.
#include "session.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <iostream>

namespace balsampost::stand_in {

namespace {

net::awaitable<void> accept_connections(net::tcp::acceptor& acceptor, server_state& state) {
    const auto executor = co_await net::asio::this_coro::executor;
    for (;;) {
        net::error_code ec;
        net::tcp::socket socket(executor);
        co_await acceptor.async_accept(socket, net::into(ec));
        if (!acceptor.is_open()) {
            co_return;
        }
        if (!ec) {
            net::spawn(executor, serve_connection(std::move(socket), state));
        }
    }
}

int run(const core::endpoint& at, const server_settings& settings, bool verifies,
        const std::string& audit_path, std::uint64_t seed) {
    audit_file audit(audit_path);
    ownership owned(settings.name, verifies, audit);
    server_state state{settings, owned, net::now(), 0, 0, false, std::mt19937_64(seed)};
    net::asio::io_context context(1);
    auto acceptor = net::listen_on(context, at);
    net::spawn(context, accept_connections(acceptor, state));
    net::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

} // namespace balsampost::stand_in

int main(int argc, char** argv) {
    namespace options = boost::program_options;
    using balsampost::core::milliseconds;
    balsampost::stand_in::server_settings settings;
    std::string listen;
    std::string audit;
    std::uint32_t service_ms = 0;
    std::uint32_t cold_ms = 0;
    std::uint64_t seed = 0;
    options::options_description described("balsampost-server: stand-in backend server\n\nOptions");
    described.add_options()("help,h", "print this help")(
        "name", options::value(&settings.name)->default_value("server"), "name in the audit")(
        "listen", options::value(&listen)->default_value("127.0.0.1:7100"), "address and port")(
        "audit", options::value(&audit)->default_value("audit.log"), "file to append the audit to")(
        "slots", options::value(&settings.slots)->default_value(6), "requests run at once")(
        "connections", options::value(&settings.connections)->default_value(130), "connections accepted")(
        "service-ms", options::value(&service_ms)->default_value(4), "time to run a request")(
        "cold-ms", options::value(&cold_ms)->default_value(0), "time after the start with slow runs")(
        "shed-percent", options::value(&settings.shed_percent)->default_value(0),
        "share of requests refused")("seed", options::value(&seed)->default_value(1),
                                     "seed of the random choices")("verifies-grants",
                                                                   "refuse orders of a lower term");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
    } catch (const options::error& e) {
        std::cerr << "balsampost-server: " << e.what() << "\n";
        return 2;
    }
    if (given.count("help") != 0) {
        std::cout << described;
        return 0;
    }
    const auto at = balsampost::core::parse_endpoint(listen);
    if (!at) {
        std::cerr << "balsampost-server: --listen: " << at.error() << "\n";
        return 2;
    }
    settings.service_time = milliseconds(service_ms);
    settings.cold_for = milliseconds(cold_ms);
    return balsampost::stand_in::run(*at, settings, given.count("verifies-grants") != 0, audit, seed);
}
