// The placement planner. A heap of servers by relative load assigns n slices in O(n log servers) after
// sorting.
#include "balsampost/core/placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>
#include <set>
#include <unordered_map>

namespace balsampost::core {

namespace {

/// Cost of a planned move, which pauses its slice for a short time, in units of the imbalance score: with all
/// weights at 1, a slice is moved if that lowers the sum of squared loads, relative to the mean, by more than
/// twice this.
constexpr double move_cost = 0.002;

/// The load assumed for an idle slice, as a fraction of the mean, so that idle slices are spread evenly too.
constexpr double idle_load_fraction = 0.05;

/// A server with the load and number of the slices assigned to it.
struct tracked_server {
    placement_server info;
    double load = 0;
    std::size_t slices = 0;

    double relative_load() const { return load / info.capacity; }
};

/// Tracks the load of servers while slices are assigned and moved.
class load_tracker {
public:
    load_tracker(std::span<const placement_slice> slices, std::span<const placement_server> servers)
        : m_slices(slices) {
        for (const auto& server : servers) {
            m_index.emplace(server.number, m_servers.size());
            m_servers.push_back({server});
        }
        double total = 0;
        for (const auto& slice : slices) {
            total += slice.load;
        }
        const double mean = slices.empty() ? 0 : total / static_cast<double>(slices.size());
        m_idle_load = mean > 0 ? mean * idle_load_fraction : 1;
        for (std::uint32_t i = 0; i < slices.size(); ++i) {
            if (auto* owner = find(slices[i].owner)) {
                owner->load += weight(i);
                ++owner->slices;
            }
        }
    }

    tracked_server* find(server_number number) {
        const auto at = m_index.find(number);
        return at == m_index.end() ? nullptr : &m_servers[at->second];
    }

    double weight(std::uint32_t index) const { return m_slices[index].load + m_idle_load; }
    std::vector<tracked_server>& servers() { return m_servers; }

    /// The largest number of slices on one server: the share limit, or an equal share if that is more.
    std::size_t max_slices_per_server(const placement_limits& limits) const {
        const auto accepting =
            std::count_if(m_servers.begin(), m_servers.end(), [](const auto& s) { return s.info.accepts; });
        const auto equal_share =
            (m_slices.size() + static_cast<std::size_t>(std::max<std::ptrdiff_t>(accepting, 1)) - 1) /
            static_cast<std::size_t>(std::max<std::ptrdiff_t>(accepting, 1));
        return std::max(equal_share, m_slices.size() * limits.max_share_percent / 100);
    }

    /// The accepting server with the lowest relative load and fewer than `bound` slices; null if there is
    /// none.
    tracked_server* least_loaded(std::size_t bound) {
        tracked_server* best = nullptr;
        for (auto& server : m_servers) {
            const bool fits = server.info.accepts && server.slices < bound;
            if (fits && (best == nullptr || server.relative_load() < best->relative_load())) {
                best = &server;
            }
        }
        return best;
    }

private:
    std::span<const placement_slice> m_slices;
    std::vector<tracked_server> m_servers;
    std::unordered_map<server_number, std::size_t> m_index;
    double m_idle_load = 1;
};

struct by_relative_load {
    bool operator()(const tracked_server* a, const tracked_server* b) const {
        return a->relative_load() != b->relative_load() ? a->relative_load() > b->relative_load()
                                                        : a->info.number > b->info.number;
    }
};

/// Assigns the slices of `order` to the least loaded servers, the slices with the highest load first.
std::vector<planned_move> place_on_least_loaded(load_tracker& loads, std::vector<std::uint32_t> order,
                                                const placement_limits& limits) {
    std::stable_sort(order.begin(), order.end(),
                     [&](auto a, auto b) { return loads.weight(a) > loads.weight(b); });
    std::priority_queue<tracked_server*, std::vector<tracked_server*>, by_relative_load> heap;
    const auto bound = loads.max_slices_per_server(limits);
    for (auto& server : loads.servers()) {
        if (server.info.accepts && server.slices < bound) {
            heap.push(&server);
        }
    }
    std::vector<planned_move> moves;
    for (const auto index : order) {
        if (heap.empty()) {
            break;
        }
        tracked_server* to = heap.top();
        heap.pop();
        to->load += loads.weight(index);
        ++to->slices;
        moves.push_back({index, to->info.number});
        if (to->slices < bound) {
            heap.push(to);
        }
    }
    return moves;
}

} // namespace

std::vector<planned_move> assign_free(std::span<const placement_slice> slices,
                                      std::span<const placement_server> servers,
                                      const placement_limits& limits) {
    load_tracker loads(slices, servers);
    std::vector<std::uint32_t> free;
    for (std::uint32_t i = 0; i < slices.size(); ++i) {
        if (slices[i].owner == no_server) {
            free.push_back(i);
        }
    }
    return place_on_least_loaded(loads, std::move(free), limits);
}

namespace {

/// Plans moves of slices away from servers to be evacuated, at most `limits.max_moves`.
std::vector<planned_move> evacuate(load_tracker& loads, std::span<const placement_slice> slices,
                                   const placement_limits& limits) {
    std::vector<std::uint32_t> order;
    for (std::uint32_t i = 0; i < slices.size() && order.size() < limits.max_moves; ++i) {
        const auto* owner = loads.find(slices[i].owner);
        if (owner != nullptr && owner->info.evacuate) {
            order.push_back(i);
        }
    }
    return place_on_least_loaded(loads, std::move(order), limits);
}

/// A slice that could be moved, and by how much that lowers the imbalance.
struct move_candidate {
    std::uint32_t index = 0;
    double gain = 0;
};

/// The slice of `from` whose move to `to` lowers the sum of squared relative loads most.
move_candidate best_slice(const load_tracker& loads, const std::vector<std::uint32_t>& owned,
                          const tracked_server& from, const tracked_server& to, double mean) {
    move_candidate best;
    for (const auto index : owned) {
        const double l = loads.weight(index);
        const double before = std::pow(from.relative_load(), 2) + std::pow(to.relative_load(), 2);
        const double later =
            std::pow((from.load - l) / from.info.capacity, 2) + std::pow((to.load + l) / to.info.capacity, 2);
        const double gain = (before - later) / (mean * mean);
        if (gain > best.gain) {
            best = {index, gain};
        }
    }
    return best;
}

} // namespace

std::vector<planned_move> rebalance(std::span<const placement_slice> slices,
                                    std::span<const placement_server> servers, const placement_limits& limits,
                                    const profile& p) {
    load_tracker loads(slices, servers);
    auto moves = evacuate(loads, slices, limits);
    if (!moves.empty()) {
        return moves;
    }
    double total = 0;
    double capacity = 0;
    std::unordered_map<server_number, std::vector<std::uint32_t>> owned;
    for (std::uint32_t i = 0; i < slices.size(); ++i) {
        owned[slices[i].owner].push_back(i);
    }
    for (const auto& server : loads.servers()) {
        total += server.info.accepts ? server.load : 0;
        capacity += server.info.accepts ? server.info.capacity : 0;
    }
    if (total <= 0 || capacity <= 0) {
        return moves;
    }
    const double mean = total / capacity;
    const double cost = move_cost * (p.w_churn + p.w_unavailable);
    while (moves.size() < limits.max_moves) {
        tracked_server* from = nullptr;
        for (auto& server : loads.servers()) {
            if (server.info.accepts && (from == nullptr || server.relative_load() > from->relative_load())) {
                from = &server;
            }
        }
        tracked_server* to = loads.least_loaded(loads.max_slices_per_server(limits) + 1);
        if (from == nullptr || to == nullptr || from == to) {
            break;
        }
        const auto best = best_slice(loads, owned[from->info.number], *from, *to, mean);
        if (best.gain * p.w_imbalance <= cost) {
            break;
        }
        const double l = loads.weight(best.index);
        from->load -= l;
        to->load += l;
        std::erase(owned[from->info.number], best.index); // A slice moves at most once in one plan.
        moves.push_back({best.index, to->info.number});
    }
    return moves;
}

double imbalance_of(std::span<const placement_slice> slices, std::span<const placement_server> servers) {
    std::unordered_map<server_number, double> loads;
    double total = 0;
    for (const auto& slice : slices) {
        loads[slice.owner] += slice.load;
        total += slice.load;
    }
    double capacity = 0;
    for (const auto& server : servers) {
        capacity += server.accepts ? server.capacity : 0;
    }
    double greatest = 0;
    for (const auto& server : servers) {
        if (total > 0 && server.accepts) {
            greatest = std::max(greatest, loads[server.number] / server.capacity / (total / capacity));
        }
    }
    return greatest;
}

} // namespace balsampost::core
