// Datagrams between instances: reports of keyed load to a coordinator or one of its relays, and updates to
// all instances that report. Either may be lost: the next one replaces it, and durable state is in the store.
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

/// Version of a service's key table. Tables are ordered by the store's revision, then by the number of
/// settled moves since.
struct table_version {
    core::store::revision revision;
    std::uint64_t settled = 0;

    auto operator<=>(const table_version&) const = default;
    MSGPACK_DEFINE(revision, settled);
};

struct peer_report {
    /// Name of the sender.
    std::string instance;
    core::key_report keys;
    /// Version of the table that the sender has.
    table_version table;
    /// Revision up to which the sender knows each kind of objects in the store.
    std::map<std::string, core::store::revision> revisions;
    std::string failure_domain;
    /// 0: the instance with the most capacity to coordinate; 1: the one with the least.
    double capacity_shortage = 0;
    /// Number of instances that report to the sender, directly or through others.
    std::uint32_t members = 0;
    /// The sender has recently lost its relay.
    bool lost_relay = false;
    /// Evacuations that the sender knows and the receiver did not in its last update.
    std::vector<feed_segment> feed;
    /// When the report was sent, in nanoseconds of the sender's monotonic clock; 0: not stated. The shares in
    /// the answer refer to it.
    std::int64_t sent_ns = 0;
    /// The newest epoch of the store that the sender has heard of.
    std::uint64_t store_epoch = 0;

    MSGPACK_DEFINE(instance, keys, table, revisions, failure_domain, capacity_shortage, members, lost_relay,
                   feed, sent_ns, store_epoch);
};

/// The receiver's shares of the rates of cold servers; see `core/warmup/share_ledger.h`.
struct peer_shares {
    /// Name of the receiver, and `sent_ns` of the report from which it counts the shares' lifetimes.
    std::string instance;
    std::int64_t sent_ns = 0;
    /// Server id and start, units, spacing and lifetime in milliseconds.
    std::vector<std::tuple<std::string, std::int64_t, std::uint32_t, std::uint32_t, std::uint32_t>> shares;

    MSGPACK_DEFINE(instance, sent_ns, shares);
};

struct peer_update {
    std::string service;
    /// Revision of the coordinator's last successful renewal.
    core::store::revision tenure_revision;
    /// The sender has released its tenure.
    bool resigned = false;
    /// Number of instances in the coordinator's tree, itself included.
    std::uint32_t instances = 0;
    /// Relay to which the receiver should report from now on; empty for no change.
    std::string relay;
    /// Address at which the coordinator takes reports, if the sender is a relay; empty if it is the
    /// coordinator.
    std::string coordinator_at;
    /// Time since the sender last received an update from the coordinator.
    std::uint32_t coordinator_age_ms = 0;
    table_version version;
    /// Version to which the difference in `table` applies, as it does to all versions between this and
    /// `version`. Zero if `table` is complete.
    table_version base;
    /// Packed table; empty if the receiver has it.
    std::string table;
    /// Overloaded servers by id, and the number of requests of a thousand to admit to them.
    std::vector<std::pair<std::string, std::uint32_t>> admit_permille;
    /// The sender's data from the store, for instances that do not watch it.
    std::vector<feed_segment> feed;
    peer_shares shares;
    /// The newest epoch of the store that the sender has heard of.
    std::uint64_t store_epoch = 0;

    MSGPACK_DEFINE(service, tenure_revision, resigned, instances, relay, coordinator_at, coordinator_age_ms,
                   version, base, table, admit_permille, feed, shares, store_epoch);
};

/// Encodes a key table without the servers' addresses, small enough for one datagram. Its key ranges need not
/// cover all keys.
std::string pack(const core::key_table& table);
core::result<core::key_table> unpack_table(const std::string& bytes);

class peer_exchange {
public:
    struct handlers {
        std::function<void(const peer_report&, const core::endpoint& from)> on_report;
        std::function<void(const peer_update&, const core::endpoint& from)> on_update;
    };

    peer_exchange(net::asio::io_context& context, handlers h) : m_socket(context), m_handlers(std::move(h)) {}

    /// Throws `boost::system::system_error` if the address cannot be bound; may be called again then.
    void start(const core::endpoint& at);
    /// Sends a datagram; returns its size, or 0 if the socket took none.
    std::size_t send(const core::endpoint& to, const peer_report& report);
    std::size_t send(const core::endpoint& to, const peer_update& update);

private:
    void receive();
    void received(std::size_t size);
    std::size_t send_bytes(const core::endpoint& to, const char* data, std::size_t size);

    net::asio::ip::udp::socket m_socket;
    handlers m_handlers;
    std::vector<char> m_buffer;
    net::asio::ip::udp::endpoint m_from;
};

} // namespace balsampost::entry
