// Measures slopes of the core: bytes and processor time against size, each at four points or more with a
// linear fit. Prints one line a point, "point NAME SIZE VALUE UNIT", and one a slope, "slope NAME PER_UNIT
// BASE RESIDUAL UNIT MAX".
#include "balsampost/core/cell_coordinator.h"
#include "balsampost/core/home_agent.h"
#include "balsampost/core/objects.h"
#include "balsampost/core/placement.h"
#include "balsampost/core/server_queue.h"
#include "balsampost/core/versioned_set.h"
#include "balsampost/net/frame.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <random>

namespace balsampost {

namespace {

using core::cell_table;

struct point {
    double size;
    double value;
};

/// Processor time of one call in nanoseconds: the median of several rounds.
double time_of(const std::function<void()>& call, int calls) {
    std::vector<double> rounds;
    for (int round = 0; round < 5; ++round) {
        timespec from{};
        timespec to{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &from);
        for (int i = 0; i < calls; ++i) {
            call();
        }
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &to);
        const double ns = static_cast<double>(to.tv_sec - from.tv_sec) * 1e9 +
                          static_cast<double>(to.tv_nsec - from.tv_nsec);
        rounds.push_back(ns / calls);
    }
    std::sort(rounds.begin(), rounds.end());
    return rounds[2];
}

/// Heap bytes that `build` leaves allocated while its result lives.
template <class Build>
double bytes_of(Build build) {
    const auto before = mallinfo2().uordblks + mallinfo2().hblkhd;
    const auto held = build();
    const auto later = mallinfo2().uordblks + mallinfo2().hblkhd;
    static_cast<void>(held);
    return static_cast<double>(later - before);
}

void report(const char* name, const char* unit, const std::vector<point>& points) {
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (const auto& p : points) {
        std::printf("point %s %.0f %.1f %s\n", name, p.size, p.value, unit);
        sx += p.size;
        sy += p.value;
        sxx += p.size * p.size;
        sxy += p.size * p.value;
    }
    const double n = static_cast<double>(points.size());
    const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    const double base = (sy - slope * sx) / n;
    double worst = 0;
    for (const auto& p : points) {
        worst =
            std::max(worst, std::abs(p.value - base - slope * p.size) / std::max(1.0, points.back().value));
    }
    std::printf("slope %s %.4f %.1f %.3f %s %.0f\n", name, slope, base, worst, unit, points.back().size);
}

cell_table table_of(std::uint32_t slices, std::uint32_t servers) {
    cell_table t = core::empty_table(0, slices, 1);
    t.version = {3, 1000};
    t.holder = {"instance-0001", 1'700'000'000'000'000'000ULL};
    t.standby = t.holder;
    for (std::uint32_t i = 0; i < servers; ++i) {
        t.servers.push_back({i,
                             "service-server-" + std::to_string(i),
                             {"instance-" + std::to_string(i), 1'700'000'000'000'000'000ULL},
                             {3, 7},
                             false});
    }
    for (std::uint32_t i = 0; i < slices; ++i) {
        t.slices[i] = {i % servers, {3, i}};
    }
    return t;
}

void measure_tables() {
    std::vector<point> wire;
    std::vector<point> memory;
    std::vector<point> pack;
    std::vector<point> unpack;
    for (const std::uint32_t slices : {256U, 1024U, 4096U, 16'384U, 65'536U}) {
        const auto table = table_of(slices, 16);
        const auto bytes = net::pack_message(table);
        wire.push_back({static_cast<double>(slices), static_cast<double>(bytes.size())});
        memory.push_back({static_cast<double>(slices), bytes_of([&] { return cell_table(table); })});
        const int calls = static_cast<int>(2'000'000 / slices) + 1;
        pack.push_back({static_cast<double>(slices), time_of([&] { net::pack_message(table); }, calls)});
        unpack.push_back(
            {static_cast<double>(slices), time_of([&] { net::unpack_message<cell_table>(bytes); }, calls)});
    }
    report("table_wire_bytes_per_slice", "bytes", wire);
    report("table_memory_per_slice", "bytes", memory);
    report("table_pack_per_slice", "ns", pack);
    report("table_unpack_per_slice", "ns", unpack);
}

void measure_heartbeats() {
    std::vector<point> handle;
    std::vector<point> wire;
    for (const std::uint32_t servers : {1U, 4U, 16U, 64U}) {
        core::cell_coordinator coordinator({"svc", 0}, {"c", 1}, core::profile{});
        auto table = table_of(256, servers);
        const core::instance_id home{"home", 1};
        for (auto& row : table.servers) {
            row.home = home;
        }
        core::time_point now{std::chrono::seconds(100)};
        coordinator.begin(table, 4, now);
        coordinator.committed({4, 1});
        core::home_heartbeat beat{{"svc", 0}, home, {4, 1}, false, {}, {}};
        for (const auto& row : table.servers) {
            beat.servers.push_back({row.name, row.home_since, true, false, {}, 500});
        }
        wire.push_back({static_cast<double>(servers),
                        static_cast<double>(
                            net::encode({net::frame_type::heartbeat, 1, net::pack_message(beat)}).size())});
        handle.push_back({static_cast<double>(servers),
                          time_of(
                              [&] {
                                  now += std::chrono::microseconds(1);
                                  const auto bytes = net::pack_message(beat);
                                  const auto got = net::unpack_message<core::home_heartbeat>(bytes);
                                  const auto reply = coordinator.on_heartbeat(
                                      *got, now + std::chrono::milliseconds(300), now);
                                  net::pack_message(reply);
                              },
                              2000)});
    }
    report("heartbeat_wire_bytes_per_server", "bytes", wire);
    report("heartbeat_handling_per_server", "ns", handle);
}

void measure_relay() {
    std::vector<point> merge;
    std::vector<point> memory;
    std::vector<point> summary;
    for (const std::size_t names : {100U, 400U, 1600U, 3100U}) {
        core::versioned_set set;
        memory.push_back(
            {static_cast<double>(names), bytes_of([&] {
                 core::versioned_set s;
                 for (std::size_t i = 0; i < names; ++i) {
                     s.merge({"instance/instance-" + std::to_string(i), {1, 1}, std::string(150, 'x')});
                 }
                 return s;
             })});
        for (std::size_t i = 0; i < names; ++i) {
            set.merge({"instance/instance-" + std::to_string(i), {1, 1}, std::string(150, 'x')});
        }
        std::uint64_t version = 1;
        merge.push_back({static_cast<double>(names),
                         time_of(
                             [&] {
                                 set.merge({"instance/instance-7", {1, ++version}, std::string(150, 'x')});
                             },
                             2000)});
        summary.push_back(
            {static_cast<double>(names), static_cast<double>(net::pack_message(set.summary()).size())});
    }
    report("relay_memory_per_value", "bytes", memory);
    report("relay_merge_against_values", "ns", merge);
    report("relay_summary_bytes_per_value", "bytes", summary);
}

void measure_requests() {
    std::vector<point> queue;
    for (const std::uint32_t waiting : {10U, 50U, 200U, 1000U}) {
        core::server_queue q({1, 2000, 1U << 30U});
        core::time_point now{std::chrono::seconds(100)};
        core::request_number number = 0;
        const auto add = [&] {
            ++number;
            q.enqueue(
                {number, "caller-" + std::to_string(number % 50), 1, 100, now + std::chrono::seconds(600)},
                now);
        };
        for (std::uint32_t i = 0; i < waiting; ++i) {
            add();
        }
        queue.push_back({static_cast<double>(waiting), time_of(
                                                           [&] {
                                                               const auto next = q.start_next(now);
                                                               q.finished(*next, core::run_result::completed,
                                                                          std::chrono::microseconds(5), now);
                                                               add();
                                                           },
                                                           5000)});
    }
    report("queue_pass_against_waiting", "ns", queue);

    std::vector<point> route;
    for (const int routes : {1, 5, 20, 80}) {
        core::object_set set;
        for (int i = 0; i < routes; ++i) {
            core::route r;
            r.path = "/kind" + std::to_string(i) + "/{key}";
            r.methods = {"GET"};
            set.routes["r" + std::to_string(i)] = r;
        }
        route.push_back({static_cast<double>(routes),
                         time_of([&] { core::match_route(set, "GET", "/kind0/some-key"); }, 2000)});
    }
    report("route_match_per_route", "ns", route);

    std::vector<point> lookup;
    for (const std::uint32_t slices : {256U, 4096U, 65'536U, 1U << 20U}) {
        const auto table = table_of(slices, 16);
        std::uint64_t n = 0;
        lookup.push_back({static_cast<double>(slices), time_of(
                                                           [&] {
                                                               const auto slice = core::slice_of(
                                                                   "key-" + std::to_string(++n), slices);
                                                               table.find(table.slice_at(slice).owner);
                                                           },
                                                           20'000)});
    }
    report("slice_lookup_against_slices", "ns", lookup);
}

void measure_planner() {
    std::vector<point> assign;
    std::vector<point> rebalance;
    std::mt19937_64 random(1);
    for (const std::uint32_t slices : {8192U, 16'384U, 32'768U, 65'536U}) {
        std::vector<core::placement_server> servers;
        for (std::uint32_t i = 0; i < 1000; ++i) {
            servers.push_back({i, 1, true, false});
        }
        std::vector<core::placement_slice> all;
        for (std::uint32_t i = 0; i < slices; ++i) {
            all.push_back({core::no_server, static_cast<double>(random() % 100)});
        }
        assign.push_back({static_cast<double>(slices), time_of(
                                                           [&] {
                                                               core::assign_free(all, servers, {100, 8});
                                                           },
                                                           1)});
        for (const auto& move : core::assign_free(all, servers, {100, 8})) {
            all[move.index].owner = move.to;
        }
        rebalance.push_back({static_cast<double>(slices), time_of(
                                                              [&] {
                                                                  core::rebalance(all, servers, {100, 8}, {});
                                                              },
                                                              1)});
    }
    report("planner_assign_per_slice_1000_servers", "ns", assign);
    report("planner_rebalance_per_slice_1000_servers", "ns", rebalance);
}

} // namespace

} // namespace balsampost

int main() {
    balsampost::measure_tables();
    balsampost::measure_heartbeats();
    balsampost::measure_relay();
    balsampost::measure_requests();
    balsampost::measure_planner();
}
