// Sums of the account.
#include "balsampost/core/memory/account.h"

#include <utility>

namespace balsampost::core::memory {

std::uint64_t account::used_by(const std::string& address) const {
    const auto found = m_addresses.find(address);
    return found == m_addresses.end() ? 0 : found->second.bytes;
}

holding::holding(account& owner, const std::string& client_address)
    : m_account(&owner), m_address(&*owner.m_addresses.try_emplace(client_address).first) {
    ++m_address->second.holdings;
}

charge_result holding::set(std::uint64_t bytes) {
    if (m_account == nullptr) {
        return charge_result::granted;
    }
    const auto& limits = m_account->m_limits;
    if (bytes > m_bytes) {
        const auto more = bytes - m_bytes;
        if (m_address != nullptr && bytes > limits.connection) {
            return charge_result::connection_full;
        }
        if (m_address != nullptr &&
            (m_address->second.bytes > limits.address || more > limits.address - m_address->second.bytes)) {
            return charge_result::address_full;
        }
        if (more > limits.total - m_account->m_used) {
            return charge_result::total_full;
        }
    }
    // Unsigned arithmetic: the difference wraps for a reduction, and the sums with it.
    const auto change = bytes - std::exchange(m_bytes, bytes);
    m_account->m_used += change;
    if (m_address != nullptr) {
        m_address->second.bytes += change;
    }
    return charge_result::granted;
}

void holding::close() {
    if (m_account == nullptr) {
        return;
    }
    set(0);
    if (m_address != nullptr && --m_address->second.holdings == 0) {
        m_account->m_addresses.erase(m_address->first);
    }
    m_address = nullptr;
    m_account = nullptr;
}

} // namespace balsampost::core::memory
