// Positions in the history of the platform's store. The store may be restored from an older copy: revisions
// then go back and are given out again for other changes, so a revision alone names no state. Each restore
// begins an epoch, and a position is the epoch together with the revision in it.
#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include <msgpack.hpp>

namespace balsampost::core::store {

/// Number of restores of the store, as it announces them. Always 0 if it announces none.
struct epoch {
    /// Higher numbers are not believed: tokens hold the epoch above 2^32 and must be exact up to 2^53.
    static constexpr std::uint64_t max_number = 1U << 20U;

    std::uint64_t number = 0;

    auto operator<=>(const epoch&) const = default;
};

/// Revision of one epoch. Ordered by epoch first: whatever was read after a restore is newer than all that
/// was read before it.
class revision {
public:
    /// A revision of a store that announces no epochs. 0 stands for "no object".
    constexpr revision(std::uint64_t number = 0) : m_number(number) {}
    constexpr revision(store::epoch of, std::uint64_t number) : m_epoch(of), m_number(number) {}

    auto operator<=>(const revision&) const = default;
    constexpr store::epoch epoch() const { return m_epoch; }
    constexpr std::uint64_t number() const { return m_number; }

    /// Packed as a plain number in epoch 0, as in messages of versions that know no epochs.
    template <class Packer>
    void msgpack_pack(Packer& out) const {
        if (m_epoch.number == 0) {
            out.pack(m_number);
        } else {
            out.pack(std::pair(m_epoch.number, m_number));
        }
    }
    void msgpack_unpack(const msgpack::object& in) {
        const bool plain = in.type == msgpack::type::POSITIVE_INTEGER;
        const auto [of, number] = plain ? std::pair(std::uint64_t{0}, in.as<std::uint64_t>())
                                        : in.as<std::pair<std::uint64_t, std::uint64_t>>();
        *this = revision({of}, number);
    }

private:
    // Compared in this order.
    store::epoch m_epoch;
    std::uint64_t m_number = 0;
};

/// "17", or "3.17" in epoch 3.
inline std::string to_string(const revision& r) {
    const auto number = std::to_string(r.number());
    return r.epoch().number == 0 ? number : std::to_string(r.epoch().number) + "." + number;
}

} // namespace balsampost::core::store
