// Datagrams between instances: reports of keyed load to a coordinator or to a relay of its, and updates to
// all who report. Either may be lost; the next one makes up for it, and the store has what must last.
#pragma once

#include "balsampost/core/key_load.h"
#include "balsampost/core/key_table.h"
#include "balsampost/entry/change_feed.h"
#include "balsampost/net/asio.h"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace balsampost::entry {

/// Which table of a service is the newer: by the store's revision, then by what was settled since.
struct table_version {
    std::uint64_t revision = 0;
    std::uint64_t settled = 0;

    auto operator<=>(const table_version&) const = default;
    MSGPACK_DEFINE(revision, settled);
};

struct peer_report {
    std::string instance; ///< Name of the sender.
    core::key_report keys;
    table_version known; ///< The table that the sender has.
    /// Kinds of objects in the store, and the revision up to which the sender knows them.
    std::map<std::string, std::uint64_t> kinds;
    std::string failure_domain;
    double weakness = 0;       ///< 0: the strongest instance, 1: the weakest.
    std::uint32_t members = 0; ///< Instances that report to the sender.
    bool lost_relay = false;   ///< The sender's relay fell silent a moment ago.

    MSGPACK_DEFINE(instance, keys, known, kinds, failure_domain, weakness, members, lost_relay);
};

struct peer_update {
    std::string service;
    std::uint64_t tenure_revision = 0; ///< Of the coordinator's last renewal that succeeded.
    bool resigned = false;             ///< The sender has given its tenure up.
    std::uint32_t instances = 0;       ///< In the coordinator's tree, itself included.
    std::string relay;                 ///< Where the receiver is to report from now on; empty: as before.
    /// Where the coordinator takes reports, if the sender is a relay; empty if it is the coordinator.
    std::string coordinator_at;
    std::uint32_t coordinator_age_ms = 0; ///< Since the sender heard the coordinator.
    table_version version;
    table_version base; ///< What `table` changes: it makes `version` out of it and of all versions between.
                        ///< Zero: it is whole.
    std::string table;  ///< Packed; empty if the receiver has it.
    /// Servers that are asked for more than they can run: their id, and how many of a thousand requests to
    /// send them.
    std::vector<std::pair<std::string, std::uint32_t>> admit_permille;
    std::vector<feed_part> feed; ///< What the sender knows from the store, for those who do not watch it.

    MSGPACK_DEFINE(service, tenure_revision, resigned, instances, relay, coordinator_at, coordinator_age_ms,
                   version, base, table, admit_permille, feed);
};

/// A compact form of a key table without the servers' addresses, for one datagram. Its runs need not cover
/// all keys.
std::string pack(const core::key_table& table);
core::result<core::key_table> unpack_table(const std::string& bytes);

class peer_exchange {
public:
    struct handlers {
        std::function<void(const peer_report&, const core::endpoint& from)> reported;
        std::function<void(const peer_update&, const core::endpoint& from)> updated;
    };

    peer_exchange(net::asio::io_context& context, handlers h) : m_socket(context), m_handlers(std::move(h)) {}

    /// Throws `boost::system::system_error` if the address is not to be had.
    void start(const core::endpoint& at);
    void send(const core::endpoint& to, const peer_report& report);
    void send(const core::endpoint& to, const peer_update& news);

private:
    void receive();
    void received(std::size_t size);
    void send_bytes(const core::endpoint& to, const char* data, std::size_t size);

    net::asio::ip::udp::socket m_socket;
    handlers m_handlers;
    std::vector<char> m_buffer;
    net::asio::ip::udp::endpoint m_from;
};

} // namespace balsampost::entry
