// Sends orders (grants and releases) to backend servers and decides whether an answer belongs to its order.
#pragma once

#include "balsampost/core/key_coordinator.h"
#include "balsampost/core/server_notices.h"
#include "balsampost/entry/http_client.h"
#include "balsampost/entry/platform.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace balsampost::entry {

struct order_result {
    core::order_outcome outcome = core::order_outcome::unknown;
    /// Data for the next owner of released keys; empty if there is none.
    std::string handover;
    unsigned status = 0;
    /// Error text for the log.
    std::string reason;
    /// The server refused the connection.
    bool refused = false;
    /// What the server said of itself.
    core::server_notice notice;
};

/// A server may send a second copy of an earlier answer where the answer to an order is expected. An answer
/// counts only if it bears the id of its order. Without any id it counts only as the first one of its
/// connection, where no earlier answer can have been.
class order_client {
public:
    using handler = std::function<void(const order_result&)>;

    /// `id_prefix`: unique to this process and service.
    order_client(http_client& client, const platform& adapter, std::string id_prefix);

    /// Sends an order to the server `id`. The handler is called exactly once, by `deadline` at the latest.
    void send(const std::string& id, const core::endpoint& at, const encoded_call& call,
              core::time_point deadline, handler done);
    /// Connections to the server, idle ones included. The end of all means that it may have restarted.
    std::size_t connections_to(const core::endpoint& at) const { return m_client.connections_to(at); }

private:
    order_result result_of(const exchange_result& result, const std::string& order_id);
    /// Whether the answer is certainly the one to `order_id`.
    bool belongs_to(const exchange_result& result, const std::string& order_id) const;

    http_client& m_client;
    const platform& m_platform;
    std::string m_id_prefix;
    std::uint64_t m_next_id = 1;
    /// Addresses from which answers come without an id; each order to them gets a connection of its own.
    std::set<core::endpoint> m_without_ids;
};

} // namespace balsampost::entry
