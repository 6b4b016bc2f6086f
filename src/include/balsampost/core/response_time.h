// Response times of servers under load, and the distribution of a load that keeps them short. A server is
// taken as a queue with as many workers as it has slots; an idle server of half the speed answers later than
// a fast one that is half busy, so slow servers get load only when the fast ones begin to queue.
#pragma once

#include <cstdint>
#include <vector>

namespace balsampost::core {

/// Speed of one server.
struct server_speed {
    std::uint32_t slots = 1;
    double capacity = 1; ///< Requests per second with all slots busy.

    /// Time that one request takes without queueing, in seconds.
    double service_s() const { return slots / capacity; }
};

/// Returns by how much the sum of all response times per second grows with one more request per second at a
/// server with `load` requests per second, in seconds. It is the response time of the request itself and the
/// delay that it causes to the others. Loads beyond the capacity count as near the capacity, and a little
/// more with each further request.
double marginal_response_s(const server_speed& server, double load);

/// A distribution of a load over servers.
struct load_targets {
    std::vector<double> loads; ///< Requests per second, in the order of the servers.
    double level_s = 0;        ///< Marginal response time up to which the servers are loaded.
};

/// Distributes `total` requests per second so that the sum of the response times is lowest. Every server gets
/// a small share at least, so that its speed stays known. A load near the capacity of all servers is
/// distributed by capacity.
load_targets distribute_load(const std::vector<server_speed>& servers, double total);

} // namespace balsampost::core
