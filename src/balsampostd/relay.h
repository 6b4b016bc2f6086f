// The relay distributes versioned values (objects, members, announcements, cell tables) over a tree of
// instances, so that only a few instances read the platform's store. Each region has one tree. Its root
// receives updates from the root of the store's region, so that an update crosses each pair of regions only
// once.
#pragma once

#include "shared.h"

#include "balsampost/core/versioned_set.h"
#include "balsampost/net/link.h"
#include "balsampost/net/signal.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace balsampost::daemon {

/// Largest number of children of an instance within its region's tree.
inline constexpr std::size_t relay_fan_out = 8;

/// Position of an instance in the tree.
struct relay_position {
    /// No parent: the root of the store's region, or of the own region while the store's region has no
    /// instance.
    bool is_global_root = false;
    /// Root of the tree of its own region.
    bool is_region_root = false;
    /// Peer endpoint of the parent; empty for the global root.
    std::optional<core::endpoint> parent;
};

/// Computes the position of `self` from the platform's member list. Instances in `suspects` are left out of
/// the tree.
relay_position find_relay_position(const core::member_list& members, const std::string& self,
                                   const std::string& own_region, const std::string& store_region,
                                   const std::set<std::string>& suspects);

class relay {
public:
    /// `on_change` is called for each value that was added or became newer. Values whose name `accepts`
    /// rejects are ignored.
    relay(net::asio::io_context& context, net::link_pool& links, std::string self, std::string region,
          std::function<void(const core::versioned_value&)> on_change,
          std::function<bool(const std::string& name)> accepts);

    /// Adds a value that was created on this instance or read from the store, and sends it to the parent and
    /// the children. False if it is rejected or no newer than the known version.
    bool publish(core::versioned_value value);
    /// Sends one value to `to` without going through the tree.
    void send_directly(const core::endpoint& to, const core::versioned_value& value);
    const core::versioned_set& values() const { return m_values; }
    void erase(const std::string& name) { m_values.erase(name); }

    /// Answers a sync request of another instance. Waits for new values if the request asks for that and the
    /// digests are equal.
    net::awaitable<net::sync_answer> answer(net::sync_request request);

    /// Exchanges values with the current parent until the process ends.
    net::awaitable<void> follow_parent();

    void set_members(std::shared_ptr<const core::member_list> members, std::string store_region);
    relay_position position() const;

private:
    /// Stores `value` if it is accepted and newer than the known version. Returns true if it was stored.
    bool merge(const core::versioned_value& value);
    net::awaitable<std::optional<net::sync_answer>> exchange(core::endpoint to, net::sync_request request);
    /// Compares all versions with the parent's and exchanges the values that either side lacks.
    net::awaitable<void> reconcile(core::endpoint parent);
    net::awaitable<void> push(core::endpoint to, std::vector<core::versioned_value> values);
    /// Sends `value` to the parent, if there is one.
    void push_up(const core::versioned_value& value);
    /// Leaves the parent out of the tree for a while, after an exchange with it failed.
    void mark_suspect(const core::endpoint& parent);
    /// Logs `parent` if it differs from the parent that was logged last.
    void log_parent_change(const std::optional<core::endpoint>& parent);

    net::asio::io_context& m_context;
    net::link_pool& m_links;
    std::string m_self;
    std::string m_region;
    std::function<void(const core::versioned_value&)> m_on_change;
    std::function<bool(const std::string&)> m_accepts;
    core::versioned_set m_values;
    /// Incremented by each merge that stored a value.
    std::uint64_t m_serial = 0;
    /// Value of `m_serial` after the latest merge of each name.
    std::map<std::string, std::uint64_t> m_changed_serial;
    /// Notified by each merge that stored a value.
    net::signal m_values_changed;
    std::shared_ptr<const core::member_list> m_members;
    std::string m_store_region;
    /// Parents that did not answer, with the time of the latest failure.
    std::map<std::string, core::time_point> m_suspects;
    /// The parent that was logged last.
    std::optional<core::endpoint> m_logged_parent;
};

} // namespace balsampost::daemon
