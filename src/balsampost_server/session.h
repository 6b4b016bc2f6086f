// One connection to the stand-in server: requests, lease orders and faults.
#pragma once

#include "ownership.h"

#include "balsampost/net/asio.h"

#include <random>

namespace balsampost::stand_in {

struct server_settings {
    std::string name;
    std::uint32_t slots = 6;
    std::uint32_t connections = 130;
    core::milliseconds service_time{4};
    core::milliseconds connect_cost{1};
    core::milliseconds cold_for{0}; ///< After the start the service time is four times as long.
    std::uint32_t shed_percent = 0;
};

/// Shared by all connections of one server; used from one thread.
struct server_state {
    server_settings settings;
    ownership& owned;
    core::time_point started;
    std::uint32_t running = 0;
    std::uint32_t open = 0;
    bool lying_health = false;
    std::mt19937_64 random;
};

net::awaitable<void> serve_connection(net::tcp::socket socket, server_state& state);

} // namespace balsampost::stand_in
