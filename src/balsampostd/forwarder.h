// Forwards one request from the entry to the home of a server: selects the target, sends the request, and
// decides after a failure whether it may be sent again.
#pragma once

#include "traffic.h"

namespace balsampost::daemon {

/// A caller's request, once the entry has read its headers and the first part of its body.
struct entry_request {
    /// Complete except for the fields that each attempt sets from its target.
    net::request_head head;
    const core::service* service = nullptr;
    std::string key;
    core::traffic_class traffic_class = core::traffic_class::read;
    core::time_point deadline;
    /// Keeps `service` alive.
    std::shared_ptr<const core::object_set> objects;
};

/// Result of all attempts: either an answer, the rest of whose body is read from `link`, or a refusal.
struct forward_result {
    std::optional<net::answer_head> answer;
    /// Set if there is an answer without its whole body, otherwise null.
    net::link_ptr link;
    core::endpoint peer;
    /// Region of the home that answered.
    std::string region;
    core::refusal_reason refused = core::refusal_reason::no_owner;
    std::string detail;
};

class forwarder {
public:
    /// `send_remaining_body` streams the part of the body that is not in the head over the link. It is called
    /// at most once, since it consumes the caller's stream. `caller` is watched for a disconnect while an
    /// answer is awaited.
    forwarder(traffic_thread& traffic, entry_request& request, net::tcp::socket& caller,
              std::function<net::awaitable<bool>(net::link&, const std::string& region)> send_remaining_body);

    net::awaitable<forward_result> run();

private:
    struct target {
        core::instance_id home;
        core::endpoint data_endpoint;
        std::string region;
        std::string server;
        std::uint32_t slice = 0;
        /// Ownership epoch of the slice; zero for services not divided by key.
        core::epoch owned_since;
    };
    struct attempt_result {
        bool answered = false;
        /// Whether the request may have reached a server.
        bool sent = false;
        forward_result outcome;
    };

    std::optional<target> find_target();
    std::optional<target> keyed_target() const;
    std::optional<target> unkeyed_target();
    std::optional<target> home_of(const core::cell_table& table, const core::server_row& row) const;
    net::awaitable<bool> wait_for_region_budget(const target& to);
    net::awaitable<attempt_result> attempt(target to);
    net::awaitable<attempt_result> read_reply(target to, net::link_ptr link);
    bool may_retry(const attempt_result& result) const;
    net::awaitable<bool> prepare_retry(const attempt_result& result);

    traffic_thread& m_traffic;
    entry_request& m_request;
    net::tcp::socket& m_caller;
    std::function<net::awaitable<bool>(net::link&, const std::string&)> m_send_remaining_body;
    /// Servers at which an attempt failed.
    std::vector<std::string> m_tried;
    std::uint32_t m_retries = 0;
    /// A home has requested the rest of the body. It cannot be sent again, so no retry may follow.
    bool m_remaining_body_requested = false;
    bool m_caller_disconnected = false;
};

} // namespace balsampost::daemon
