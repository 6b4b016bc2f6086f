// Scores candidate servers by distance, load and recent failures.
#include "server_choice.h"

#include <algorithm>

namespace balsampost::daemon {

namespace {

/// Added to the score of a server in another region, or in another failure domain of this region. A distant
/// server is selected only if its load is lower than that of a near one by more than the penalty.
constexpr double region_penalty = 1.0;
constexpr double domain_penalty = 0.1;
/// A failure counts against a server for this time.
constexpr core::milliseconds failure_memory{1000};
/// Added for a server that failed recently, and for one that was already tried. Far above the other terms, so
/// that such a server is selected only if there is no other.
constexpr double failure_penalty = 100;
/// Age at which a reported load counts half.
constexpr core::milliseconds load_half_life{200};

} // namespace

void server_choice::update_load(const std::string& server, std::uint32_t permille, core::time_point now) {
    auto& state = m_servers[server];
    state.load = permille / 1000.0;
    state.load_updated = now;
}

double server_choice::score(const choice_candidate& candidate, std::uint32_t slots,
                            core::time_point now) const {
    double total = candidate.server_distance == distance::other_region  ? region_penalty
                   : candidate.server_distance == distance::same_region ? domain_penalty
                                                                        : 0;
    const auto found = m_servers.find(candidate.server);
    if (found == m_servers.end()) {
        return total;
    }
    const auto& state = found->second;
    total += static_cast<double>(state.in_flight) / slots;
    if (state.load_updated != core::never) {
        const auto age = std::chrono::duration<double>(now - state.load_updated) /
                         std::chrono::duration<double>(load_half_life);
        total += state.load / (1 + age);
    }
    if (state.last_failure != core::never && now - state.last_failure < failure_memory) {
        total += failure_penalty;
    }
    return total;
}

std::size_t server_choice::choose(const std::vector<choice_candidate>& candidates,
                                  const std::vector<std::string>& tried, std::uint32_t slots,
                                  core::time_point now, std::mt19937_64& random) const {
    // Starting at a random candidate makes entries break ties differently.
    const std::size_t start = random() % candidates.size();
    std::size_t best = start;
    double best_score = -1;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::size_t index = (start + i) % candidates.size();
        const bool already_tried =
            std::find(tried.begin(), tried.end(), candidates[index].server) != tried.end();
        const double candidate_score =
            score(candidates[index], slots, now) + (already_tried ? failure_penalty : 0);
        if (best_score < 0 || candidate_score < best_score) {
            best = index;
            best_score = candidate_score;
        }
    }
    return best;
}

} // namespace balsampost::daemon
