// The entry's attempts at one request: choosing where it goes, sending it there, and deciding after a failure
// whether it may be sent again.
#pragma once

#include "traffic.h"

namespace balsampost::daemon {

/// A caller's request as the entry knows it after its header and the begin of its body.
struct entry_request {
    net::request_head head; ///< Complete but for the target of the attempt.
    const core::service* service = nullptr;
    std::string key;
    core::traffic_class traffic = core::traffic_class::read;
    core::time_point deadline;
    std::shared_ptr<const core::object_set> objects; ///< Keeps `service` alive.
};

/// The end of the attempts: an answer whose link carries the rest, or a refusal.
struct forwarded {
    std::optional<net::answer_head> answer;
    net::link_ptr link; ///< Set with an answer whose body is not whole, else null.
    core::endpoint peer;
    std::string region; ///< Of the home that answered.
    core::refusal_reason refused = core::refusal_reason::no_owner;
    std::string detail;
};

class forwarder {
public:
    /// `send_rest` streams the rest of the body over the link; it is called at most once. `caller` is watched
    /// while an answer is awaited.
    forwarder(traffic& owner, entry_request& request, net::tcp::socket& caller,
              std::function<net::awaitable<bool>(net::link&, const std::string& region)> send_rest);

    net::awaitable<forwarded> run();

private:
    struct target {
        core::instance_id home;
        core::endpoint data;
        std::string region;
        std::string server;
        std::uint32_t slice = 0;
        core::epoch since;
    };
    /// How one attempt ended.
    struct attempt_end {
        bool answered = false;
        bool sent = false; ///< The request may have reached a server.
        forwarded result;
    };

    std::optional<target> find_target();
    std::optional<target> keyed_target() const;
    std::optional<target> unkeyed_target();
    std::optional<target> home_of(const core::cell_table& table, const core::server_row& row) const;
    net::awaitable<bool> wait_for_budget(const target& to);
    net::awaitable<attempt_end> attempt(target to);
    net::awaitable<attempt_end> read_reply(target to, net::link_ptr link);
    bool may_repeat(const attempt_end& end) const;
    net::awaitable<bool> prepare_repeat(const attempt_end& end);

    traffic& m_owner;
    entry_request& m_request;
    net::tcp::socket& m_caller;
    std::function<net::awaitable<bool>(net::link&, const std::string&)> m_send_rest;
    std::vector<std::string> m_tried;
    std::uint32_t m_repeats = 0;
    bool m_rest_used = false;
    bool m_caller_left = false;
};

} // namespace balsampost::daemon
