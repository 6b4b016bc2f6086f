// Compares policies of selection in virtual time, 8 seeds a case, and measures the processor time of an
// estimate. Prints one row a case and policy: p50, p99, p99 of short requests (ms), share in target, share
// refused.
#include "../src/libbalsampost_core/cost/selection_load.h"

#include <cstdio>
#include <ctime>

using namespace balsampost::core;
using cost::simulation::policy;

namespace {

void compare(const cost::simulation::selection_case& c) {
    for (const auto p : {policy::random, policy::two_choices, policy::least_outstanding, policy::by_count,
                         policy::by_cost}) {
        const auto r = cost::simulation::play(c, p);
        std::printf("| %s | %s | %.0f | %.0f | %.0f | %.3f | %.4f |\n", c.name, to_string(p), r.p50(),
                    r.p99(), r.short_p99(), r.in_target_share(), r.refused_share());
        std::fflush(stdout);
    }
}

void time_estimates() {
    cost::cost_estimates estimates;
    constexpr int calls = 1'000'000;
    const auto begin = std::clock();
    double sum = 0;
    for (int i = 0; i < calls; ++i) {
        const cost::request_class c{static_cast<std::uint64_t>(i % 40), static_cast<shard_key>(i % 3'000)};
        const time_point now{milliseconds{i / 10}};
        sum += estimates.of(c, now).ms;
        estimates.learn(c, i % 100, now);
    }
    const double ns = 1e9 * static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC / calls;
    std::printf("estimate and learn: %.0f ns a request (checksum %.0f)\n", ns, sum);
}

} // namespace

int main() {
    for (const auto& c : cost::simulation::comparison_cases()) {
        compare(c);
    }
    std::printf("most of 300 requests at one server: by count %d, by cost %d\n",
                cost::simulation::most_at_one_server(policy::by_count, 1),
                cost::simulation::most_at_one_server(policy::by_cost, 1));
    time_estimates();
}
