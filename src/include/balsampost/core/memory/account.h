// The memory that an instance holds for callers and servers, as a whole, by connection and by client address.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace balsampost::core::memory {

/// In bytes.
struct account_limits {
    std::uint64_t total = 0;
    std::uint64_t connection = 0; ///< Of one caller's connection.
    std::uint64_t address = 0;    ///< Of all connections from one client address.
};

enum class charge_result : std::uint8_t { granted, connection_full, address_full, total_full };

class account {
public:
    explicit account(account_limits limits) : m_limits(limits) {}
    account(const account&) = delete;
    account& operator=(const account&) = delete;

    const account_limits& limits() const { return m_limits; }
    std::uint64_t used() const { return m_used; }
    std::uint64_t used_by(const std::string& address) const;
    /// Client addresses with at least one holding.
    std::size_t address_count() const { return m_addresses.size(); }

private:
    friend class holding;
    struct address_use {
        std::uint64_t bytes = 0;
        std::size_t holdings = 0;
    };

    account_limits m_limits;
    std::uint64_t m_used = 0; // The sum of all holdings, never above the total.
    std::unordered_map<std::string, address_use> m_addresses;
};

/// What one connection holds. The account must outlive it. Counts nothing if it belongs to no account.
class holding {
public:
    holding() = default;
    /// Of a server's connection: only the total limits it.
    explicit holding(account& owner) : m_account(&owner) {}
    /// Of a caller's connection.
    holding(account& owner, const std::string& client_address);
    holding(const holding&) = delete;
    holding& operator=(const holding&) = delete;
    ~holding() { close(); }

    std::uint64_t bytes() const { return m_bytes; }
    /// Changes the holding to `bytes`. A reduction is always granted; an increase beyond a limit is not made.
    charge_result set(std::uint64_t bytes);
    /// Takes the holding out of the account. Later calls of `set` count nothing.
    void close();

private:
    using address_entry = std::pair<const std::string, account::address_use>;

    account* m_account = nullptr;
    address_entry* m_address = nullptr; // Null for servers.
    std::uint64_t m_bytes = 0;
};

} // namespace balsampost::core::memory
