// Tables of the users' requests. Paths and sizes follow examples/.
#include "workload.h"

#include <algorithm>
#include <cmath>

namespace balsampost::load {

namespace {

const std::vector<workload> workloads{
    {"mackinlay",
     {
         {"search", "GET", "/vacancies/{key}", true, true, 60, 2000, 0},
         {"reserve", "POST", "/vacancies/{key}/reservations", true, false, 15, 0, 300},
         {"place", "POST", "/placements", false, false, 10, 0, 500},
         {"report", "PUT", "/documents/{key}", false, true, 3, 0, 200'000},
         {"home", "GET", "/homes/{key}", false, true, 12, 4000, 0},
     }},
    {"exchange",
     {
         {"browse", "GET", "/gallery/{key}", true, true, 60, 8000, 0},
         {"commission", "POST", "/gallery/{key}/commissions", true, false, 10, 0, 400},
         {"deposit", "POST", "/deposits", false, false, 10, 0, 300},
         {"booking", "POST", "/bookings", false, false, 8, 0, 300},
         {"recording", "PUT", "/archive/{key}", false, true, 2, 0, 500'000},
         {"provenance", "GET", "/archive/{key}", false, true, 10, 6000, 0},
     }},
};

} // namespace

const workload* find_workload(const std::string& user) {
    const auto at =
        std::find_if(workloads.begin(), workloads.end(), [&](const auto& w) { return user == w.user; });
    return at == workloads.end() ? nullptr : &*at;
}

key_source::key_source(std::uint32_t keys, double exponent) {
    double total = 0;
    for (std::uint32_t i = 1; i <= keys; ++i) {
        total += 1.0 / std::pow(i, exponent);
        m_cumulative.push_back(total);
    }
}

std::string key_source::next(std::mt19937_64& random) const {
    std::uniform_real_distribution<double> draw(0, m_cumulative.back());
    const auto at = std::lower_bound(m_cumulative.begin(), m_cumulative.end(), draw(random));
    return "k" + std::to_string(at - m_cumulative.begin());
}

const request_kind& draw_kind(const workload& w, std::mt19937_64& random) {
    std::uint32_t total = 0;
    for (const auto& kind : w.kinds) {
        total += kind.weight;
    }
    auto left = static_cast<std::uint32_t>(random() % total);
    for (const auto& kind : w.kinds) {
        if (left < kind.weight) {
            return kind;
        }
        left -= kind.weight;
    }
    return w.kinds.back();
}

} // namespace balsampost::load
