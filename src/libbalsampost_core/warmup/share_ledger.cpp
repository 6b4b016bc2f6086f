// Division of the rate of cold servers, and the account of the shares in force.
#include "balsampost/core/warmup/share_ledger.h"

#include "balsampost/core/identity.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace balsampost::core::warmup {

namespace {

constexpr milliseconds unit_spacing{1'100};
/// Arrivals of one unit within a second that the limit leaves room for.
constexpr double max_arrivals_per_unit = 2;
constexpr double ms_per_s = 1'000;
/// A rate below one request in this time allows none.
constexpr milliseconds max_spacing{60'000};
/// More units than this are not divided; it bounds what a wrong manifest costs.
constexpr double max_units = 100'000;
/// Members of one relay that count, whatever it reports.
constexpr std::uint32_t max_members = 1'000;

} // namespace

share_plan divide_rate(double per_s, double max_in_second) {
    if (!(per_s > 0) || !(max_in_second >= 1)) {
        return {};
    }
    const double by_rate = per_s * static_cast<double>(unit_spacing.count()) / ms_per_s;
    const double units = std::floor(std::min({by_rate, max_in_second / max_arrivals_per_unit, max_units}));
    if (units >= 1) {
        return {static_cast<std::uint32_t>(units), unit_spacing};
    }
    const double spacing = std::max(ms_per_s / per_s, static_cast<double>(unit_spacing.count()));
    if (spacing > static_cast<double>(max_spacing.count())) {
        return {};
    }
    return {1, milliseconds{std::llround(spacing)}};
}

duration share_ledger::longest(duration length) const {
    return std::chrono::duration_cast<duration>(
        length * ((1 + m_settings.max_clock_drift) / (1 - m_settings.max_clock_drift)));
}

void share_ledger::set_limits(const std::vector<share_limit>& limits) {
    std::map<incarnation, share_limit> next;
    for (const auto& limit : limits) {
        const auto old = m_limits.find(limit.server);
        if (old == m_limits.end() || old->second.plan.units != limit.plan.units ||
            old->second.failure_domain != limit.failure_domain) {
            m_targets.erase(limit.server);
        }
        next.emplace(limit.server, limit);
    }
    std::erase_if(m_targets, [&](const auto& t) { return !next.contains(t.first); });
    m_limits = std::move(next);
}

void share_ledger::set_candidates(std::vector<candidate> candidates) {
    if (candidates != m_candidates) {
        m_candidates = std::move(candidates);
        m_targets.clear();
    }
}

std::uint32_t share_ledger::target(const share_limit& limit, const std::string& instance) {
    const auto known = m_targets.find(limit.server);
    if (known != m_targets.end()) {
        const auto found = known->second.find(instance);
        return found == known->second.end() ? 0 : found->second;
    }
    // A relay has one place in the order for itself and one for each member.
    struct place {
        bool far = false;
        std::uint64_t rank = 0;
        const std::string* instance = nullptr;
    };
    std::vector<place> places;
    for (const auto& c : m_candidates) {
        for (std::uint32_t i = 0; i <= std::min(c.members, max_members); ++i) {
            places.push_back({c.failure_domain != limit.failure_domain,
                              rendezvous_rank(limit.server.id, c.instance + "#" + std::to_string(i)),
                              &c.instance});
        }
    }
    auto& targets = m_targets[limit.server];
    if (places.empty()) {
        return 0;
    }
    const auto units = limit.plan.units;
    const auto each = static_cast<std::uint32_t>(units / places.size());
    const auto rest = static_cast<std::ptrdiff_t>(units % places.size());
    std::partial_sort(places.begin(), places.begin() + rest, places.end(),
                      [](const place& a, const place& b) {
                          return std::tie(a.far, b.rank, *a.instance) < std::tie(b.far, a.rank, *b.instance);
                      });
    for (std::size_t i = 0; i < places.size(); ++i) {
        targets[*places[i].instance] += each + (static_cast<std::ptrdiff_t>(i) < rest ? 1 : 0);
    }
    const auto found = targets.find(instance);
    return found == targets.end() ? 0 : found->second;
}

std::uint32_t share_ledger::in_force(const incarnation& server, time_point now) const {
    std::uint32_t sum = 0;
    if (const auto held = m_held.find(server); held != m_held.end()) {
        for (const auto& [instance, shares] : held->second) {
            std::uint32_t most = 0;
            for (const auto& s : shares) {
                most = std::max(most, now < s.until ? s.units : 0);
            }
            sum += most;
        }
    }
    return sum;
}

void share_ledger::forget_expired(time_point now) {
    for (auto& [server, held] : m_held) {
        for (auto& [instance, shares] : held) {
            std::erase_if(shares, [&](const handed_out& s) { return s.until <= now; });
        }
        std::erase_if(held, [](const auto& h) { return h.second.empty(); });
    }
    std::erase_if(m_held, [](const auto& h) { return h.second.empty(); });
}

std::vector<share> share_ledger::grant(const std::string& instance, time_point reported_at, time_point now) {
    std::vector<share> out;
    forget_expired(now);
    for (const auto& [server, limit] : m_limits) {
        if (auto s = grant(limit, instance, reported_at, now)) {
            out.push_back(std::move(*s));
        }
    }
    return out;
}

std::optional<share> share_ledger::grant(const share_limit& limit, const std::string& instance,
                                         time_point reported_at, time_point now) {
    const auto waits = longest(m_settings.lifetime) + limit.plan.spacing;
    if (m_settings.wait_after_takeover && m_taken_over_at != never && now < m_taken_over_at + waits) {
        return std::nullopt;
    }
    auto lifetime = m_settings.lifetime;
    if (limit.ends != time_point::max()) {
        const auto left = std::chrono::duration_cast<milliseconds>(
            (limit.ends - reported_at) *
            ((1 - m_settings.max_clock_drift) / (1 + m_settings.max_clock_drift)));
        lifetime = std::min(lifetime, left);
    }
    const auto until = reported_at + longest(lifetime) + limit.plan.spacing;
    if (lifetime <= milliseconds{0} || reported_at + lifetime <= now) {
        return std::nullopt;
    }
    auto& own = m_held[limit.server][instance];
    std::uint32_t own_units = 0;
    for (const auto& s : own) {
        own_units = std::max(own_units, s.units);
    }
    const auto others = m_settings.wait_for_expiry ? in_force(limit.server, now) - own_units : 0;
    const auto free = limit.plan.units > others ? limit.plan.units - others : 0;
    const auto units = std::min(target(limit, instance), free);
    if (units == 0) {
        return std::nullopt;
    }
    std::erase_if(own, [&](const handed_out& s) { return s.units <= units && s.until <= until; });
    own.push_back({units, until});
    return share{limit.server, units, limit.plan.spacing, lifetime};
}

} // namespace balsampost::core::warmup
