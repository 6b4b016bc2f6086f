// The queueing model, tabulated by utilization, and the search for the level of a load.
#include "balsampost/core/response_time.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

namespace balsampost::core {

namespace {

constexpr std::size_t table_steps = 96;
/// Beyond this utilization a queue grows without bound.
constexpr double max_utilization = 0.96;
/// Share of its load by capacity that a server gets at least.
constexpr double min_share = 0.15;
constexpr int search_steps = 30;

/// Marginal queueing delay by utilization, in units of the service time, for servers with `slots` slots: the
/// derivative of utilization times delay, with Sakasegawa's approximation of the delay in a queue with
/// several workers.
using delay_table = std::array<double, table_steps + 1>;

double utilization_at(std::size_t step) {
    return max_utilization * static_cast<double>(step) / table_steps;
}

const delay_table& delays_of(std::uint32_t slots) {
    static thread_local std::map<std::uint32_t, delay_table> tables;
    const auto found = tables.find(slots);
    if (found != tables.end()) {
        return found->second;
    }
    const double exponent = std::sqrt(2.0 * (slots + 1.0)) - 1;
    delay_table table{};
    for (std::size_t i = 0; i <= table_steps; ++i) {
        const double u = utilization_at(i);
        table[i] = std::pow(u, exponent) * ((exponent + 1) - exponent * u) / ((1 - u) * (1 - u)) / slots;
    }
    return tables.emplace(slots, table).first->second;
}

/// Load at which the marginal response time of the server is `level_s`; 0 if it is longer even when idle.
double load_at_level(const server_speed& server, double level_s) {
    const double delay = level_s / server.service_s() - 1;
    if (delay <= 0) {
        return 0;
    }
    const auto& table = delays_of(server.slots);
    const auto above = std::upper_bound(table.begin(), table.end(), delay);
    if (above == table.end()) {
        return max_utilization * server.capacity;
    }
    const auto i = static_cast<std::size_t>(above - table.begin()); // At least 1, since table[0] is 0.
    const double part = (delay - table[i - 1]) / (table[i] - table[i - 1]);
    return (utilization_at(i - 1) + part * (utilization_at(i) - utilization_at(i - 1))) * server.capacity;
}

} // namespace

double marginal_response_s(const server_speed& server, double load) {
    const auto& table = delays_of(std::max<std::uint32_t>(server.slots, 1));
    const double utilization = std::max(0.0, load / server.capacity);
    if (utilization >= max_utilization) {
        return server.service_s() * (1 + table.back() * utilization / max_utilization);
    }
    const double position = utilization / max_utilization * table_steps;
    const auto i = std::min(static_cast<std::size_t>(position), table_steps - 1);
    return server.service_s() *
           (1 + table[i] + (position - static_cast<double>(i)) * (table[i + 1] - table[i]));
}

load_targets distribute_load(const std::vector<server_speed>& servers, double total) {
    load_targets out;
    double capacity = 0;
    double longest_s = 0;
    for (const auto& s : servers) {
        capacity += s.capacity;
        longest_s = std::max(longest_s, s.service_s());
    }
    const auto load_up_to = [&](double level_s) {
        double sum = 0;
        for (const auto& s : servers) {
            sum += load_at_level(s, level_s);
        }
        return sum;
    };
    double low = 0;
    double high = longest_s * (1 + delays_of(1).back());
    const bool fits = total < max_utilization * capacity && load_up_to(high) > total;
    for (int i = 0; fits && i < search_steps; ++i) {
        const double middle = (low + high) / 2;
        (load_up_to(middle) < total ? low : high) = middle;
    }
    out.level_s = high;
    out.loads.reserve(servers.size());
    for (const auto& s : servers) {
        const double by_capacity = capacity <= 0 ? 0 : total * s.capacity / capacity;
        out.loads.push_back(fits ? std::max(load_at_level(s, high), min_share * by_capacity) : by_capacity);
    }
    return out;
}

} // namespace balsampost::core
