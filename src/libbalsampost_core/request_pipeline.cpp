// Start order of pipelined requests.
#include "balsampost/core/request_pipeline.h"

#include <algorithm>

namespace balsampost::core {

request_pipeline::ticket request_pipeline::add(bool idempotent) {
    m_requests.push_back({idempotent, progress::waiting});
    return m_first + m_requests.size() - 1;
}

std::vector<request_pipeline::ticket> request_pipeline::take_startable() {
    std::vector<ticket> out;
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        auto& r = m_requests[i];
        const bool has_predecessor = i > 0;
        if (has_predecessor && !r.idempotent) {
            break;
        }
        if (r.progress == progress::waiting) {
            r.progress = progress::started;
            out.push_back(m_first + i);
        }
        if (!r.idempotent) {
            break;
        }
    }
    return out;
}

void request_pipeline::answered(ticket which) {
    m_requests.at(which - m_first).progress = progress::answered;
}

} // namespace balsampost::core
