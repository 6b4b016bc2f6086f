// Route lookup by host and longest path prefix, and weighted round robin.
#include "balsampost/core/manifest.h"

#include <algorithm>

namespace balsampost::core {

namespace {

std::string lower(std::string_view text) {
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c); });
    return out;
}

std::string_view without_port(std::string_view host) {
    return host.substr(0, host.find(':'));
}

} // namespace

route_index::route_index(manifest m) : m_manifest(std::move(m)) {
    for (const auto& r : m_manifest.routes) {
        m_by_host_and_prefix.emplace(lower(r.host) + r.path_prefix, &r);
    }
}

const route* route_index::find(std::string_view host, std::string_view target) const {
    const auto path = target.substr(0, target.find('?'));
    std::string key = lower(without_port(host));
    const auto host_length = key.size();
    key += path;
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        key.resize(host_length + slash + 1);
        const auto found = m_by_host_and_prefix.find(key);
        if (found != m_by_host_and_prefix.end()) {
            return found->second;
        }
    }
    return nullptr;
}

const service* route_index::find_service(const std::string& name) const {
    const auto found = m_manifest.services.find(name);
    return found == m_manifest.services.end() ? nullptr : &found->second;
}

std::size_t weighted_round_robin::next(const std::vector<route_destination>& destinations) {
    if (m_credit.size() != destinations.size()) {
        m_credit.assign(destinations.size(), 0.0);
    }
    double total_weight = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < destinations.size(); ++i) {
        m_credit[i] += destinations[i].weight;
        total_weight += destinations[i].weight;
        if (m_credit[i] > m_credit[best]) {
            best = i;
        }
    }
    m_credit[best] -= total_weight;
    return best;
}

} // namespace balsampost::core
