// Learning of costs in tables of fixed size.
#include "balsampost/core/cost/cost_estimates.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include <xxhash.h>

namespace balsampost::core::cost {

namespace {

constexpr std::size_t class_sets = 64;
constexpr std::size_t key_sets = 256;
constexpr milliseconds half_life{30'000};
/// Answers that the mean of the service, or of the class, counts for in an estimate.
constexpr double prior_answers = 4;
/// A single request counts for at most this; longer ones end at their deadline.
constexpr double max_learned_ms = 60'000;
constexpr double mean_gain = 0.01;
constexpr double max_key_ratio = 20;
constexpr std::array<std::string_view, 7> methods{"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};

} // namespace

request_class class_of(std::string_view route, std::string_view method, std::uint64_t body_bytes,
                       std::optional<shard_key> key) {
    const auto index =
        static_cast<std::uint64_t>(std::find(methods.begin(), methods.end(), method) - methods.begin());
    const auto body_class = static_cast<std::uint64_t>(std::bit_width(body_bytes >> 10U));
    return {XXH3_64bits_withSeed(route.data(), route.size(), index << 8U | body_class), key};
}

mean_table::mean_table(std::size_t sets, milliseconds table_half_life)
    : m_entries(sets * entries_per_set), m_sets(sets), m_half_life(table_half_life) {}

std::size_t mean_table::set_of(std::uint64_t id) const {
    return (XXH3_64bits(&id, sizeof id) & (m_sets - 1)) * entries_per_set;
}

double mean_table::decayed_weight(const entry& e, time_point now) const {
    if (e.weight <= 0 || now <= e.updated_at) {
        return e.weight;
    }
    return e.weight * std::exp2(-std::chrono::duration<double>(now - e.updated_at) /
                                std::chrono::duration<double>(m_half_life));
}

std::optional<mean_table::entry> mean_table::find(std::uint64_t id, time_point now) const {
    const auto first = set_of(id);
    for (auto i = first; i < first + entries_per_set; ++i) {
        if (m_entries[i].weight > 0 && m_entries[i].id == id) {
            auto out = m_entries[i];
            out.weight = decayed_weight(out, now);
            return out;
        }
    }
    return std::nullopt;
}

void mean_table::learn(std::uint64_t id, double value, time_point now) {
    const auto first = set_of(id);
    entry* place = nullptr;
    for (auto i = first; i < first + entries_per_set; ++i) {
        auto& e = m_entries[i];
        if (e.weight > 0 && e.id == id) {
            place = &e;
            break;
        }
        if (decayed_weight(e, now) < 1 && (place == nullptr || e.updated_at < place->updated_at)) {
            place = &e;
        }
    }
    if (place == nullptr) {
        return; // All four are in use; the id is not tracked until one of them decays.
    }
    if (place->weight <= 0 || place->id != id) {
        *place = {id, 1, value, 0, now};
        return;
    }
    const double weight = std::min(decayed_weight(*place, now), max_weight) + 1;
    const double difference = value - place->mean;
    place->mean += difference / weight;
    place->variance += (difference * (value - place->mean) - place->variance) / weight;
    place->weight = weight;
    place->updated_at = now;
}

cost_estimates::cost_estimates() : m_classes(class_sets, half_life), m_keys(key_sets, half_life) {}

estimate cost_estimates::of_class(std::uint64_t id, time_point now) const {
    const auto found = m_classes.find(id, now);
    if (!found) {
        return {mean_ms(), mean_ms(), 1};
    }
    const double own = found->weight / (found->weight + prior_answers);
    return {mean_ms() + own * (found->mean - mean_ms()),
            mean_ms() + own * (std::sqrt(found->variance) - mean_ms()), 1 - own};
}

estimate cost_estimates::of(const request_class& request, time_point now) const {
    auto out = of_class(request.id, now);
    if (request.key) {
        if (const auto found = m_keys.find(*request.key, now)) {
            const double own = found->weight / (found->weight + prior_answers);
            const double ratio = 1 + own * (found->mean - 1);
            out.ms *= ratio;
            out.spread_ms *= ratio;
        }
    }
    return out;
}

void cost_estimates::learn(const request_class& request, double ms, time_point now) {
    const double limited = std::clamp(ms, 0.0, max_learned_ms);
    if (request.key) {
        const double expected = of_class(request.id, now).ms;
        if (expected > 0) {
            m_keys.learn(*request.key, std::min(limited / expected, max_key_ratio), now);
        }
    }
    m_classes.learn(request.id, limited, now);
    ++m_answers;
    m_mean_ms += std::max(mean_gain, 1 / m_answers) * (limited - m_mean_ms);
}

} // namespace balsampost::core::cost
