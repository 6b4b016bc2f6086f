// Forwarding of one caller's request: selects a server, makes one or more attempts and returns exactly one
// answer.
#pragma once

#include "balsampost/core/stop_window.h"
#include "balsampost/entry/http_client.h"
#include "balsampost/entry/platform.h"
#include "balsampost/entry/traffic_state.h"

#include <memory>
#include <optional>
#include <string>

namespace balsampost::entry {

class entry_metrics;

struct caller_request {
    std::string method;
    std::string target;
    net::beast::http::fields headers;
    std::shared_ptr<const std::string> body;
    core::time_point arrived;
};

struct caller_answer {
    unsigned status = 0;
    net::beast::http::fields headers; ///< From the server; empty if this instance generated the answer.
    std::string body;
    std::optional<core::milliseconds> retry_after;
};

/// The components that forwarding uses; they must outlive it.
struct forwarding_context {
    traffic_state& state;
    http_client& client;
    timers& timer_queue;
    const platform& adapter;
    entry_metrics& metrics;
    const core::stop_window* stop = nullptr; ///< Null: the instance never stops.

    /// Whether the instance may take a request that is answered by `deadline`.
    bool holds(core::time_point deadline) const { return stop == nullptr || stop->holds(deadline); }
};

/// Why a request is refused during a stop.
inline constexpr const char* stop_refusal_reason =
    "the instance is shutting down and may not finish the request in time";
inline constexpr core::milliseconds stopping_retry_after{100}; ///< Short: other instances are available.

/// Returns the time by which a request that arrived at `arrived` is answered: the sooner of its own deadline
/// and its route's timeout. Empty if no route matches it.
std::optional<core::time_point> answer_deadline(const forwarding_context& context,
                                                const net::beast::http::fields& headers,
                                                const std::string& target, core::time_point arrived);

class forwarding : public std::enable_shared_from_this<forwarding> {
public:
    using handler = std::function<void(caller_answer)>;

    forwarding(forwarding_context context, caller_request request, handler done);

    /// Starts the request. The handler is called at most once, possibly before `start` returns.
    void start();
    /// Refuses the request if it waits for an owner and cannot be finished before the instance stops.
    void begin_stop();
    /// Answers the caller at once since the instance stops. Returns whether a server may have run the
    /// request.
    bool expire();
    /// The caller has closed its connection: no further attempt is made, and an open attempt of an idempotent
    /// request is aborted. The handler is not called.
    void caller_disconnected();
    /// This instance closes the caller's connection: as `caller_disconnected`, but without its line.
    void abandon();

private:
    /// Runs `step`. If it throws, the request alone fails: 502 if it may have run, otherwise 503.
    template <class Step>
    void guard(std::string_view place, Step&& step);
    void find_route();
    void try_next_server();
    void send_attempt(const core::selection& choice);
    void on_attempt_end(const core::backend& server, core::time_point sent, exchange_result& result,
                        bool& reusable);
    /// The server may no longer be used and got nothing: another one, or the key's next owner, is used.
    /// Tells the pool how the current attempt ended. The time in which this process stood still is not the
    /// server's, and a server that was silent meanwhile may not have been.
    void record_attempt(service_state& service, core::attempt_result result,
                        const std::optional<core::load_report>& load, core::time_point at);
    void withdrawn(const core::backend& server);
    /// Classifies the result; an answer with another request's id counts as broken.
    core::attempt_result classify(const exchange_result& result) const;
    bool may_retry() const;
    void wait_for_owner(std::uint64_t stale_fence);
    void give_up(const char* reason_if_sent, const char* reason_if_unsent);
    /// Refuses the request if the instance stops too early to finish it. Returns whether it did.
    bool refuse_for_stop();
    void refuse_for_evacuation(core::milliseconds retry_after);
    /// `retry_after`: empty if it is not known when the request can be served.
    void refuse(const char* reason, std::optional<core::milliseconds> retry_after, double min_jitter = 0.8);
    /// Refuses the request since no server in the allowed regions can serve it.
    void refuse_for_regions(const char* reason);
    /// Refuses the request if the owner of its key, as the table names it, is outside the allowed regions, or
    /// if it has no owner and will get none there. Returns whether it did.
    bool refuse_for_owner_regions(const service_state& service, const core::key_range* range,
                                  core::time_point at);
    void fail(unsigned status, const char* reason);
    void finish(caller_answer answer);
    std::string request_head(const core::backend& server, core::milliseconds left) const;
    core::selection_request selection(core::time_point at) const;
    std::string_view id() const;

    forwarding_context m_context;
    caller_request m_request;
    handler m_done;
    std::shared_ptr<const core::route_index> m_routes; // Keeps m_route valid.
    const core::route* m_route = nullptr;
    core::residency::region_limit m_allowed_regions; // Of the manifest in force when the request started.
    std::string m_service;
    std::optional<core::shard_key> m_key;
    core::cost::request_class m_cost_class; // Set when the route and the key are known.
    core::cost::attempt m_attempt;          // Of the open exchange.
    core::time_point m_deadline{};          // The caller gets an answer by then.
    core::time_point m_target_deadline{};   // End of the route's target latency.
    std::optional<timers::id> m_timer;
    std::optional<timers::id> m_owner_timer;
    http_client::handle m_exchange;
    bool m_exchange_open = false;
    std::string m_server; // Server of the open or last attempt.
    core::time_point m_exchange_sent_at{};
    std::vector<std::string> m_tried_servers; // Servers of ended attempts; not selected again.
    std::uint32_t m_attempts_started = 0;
    std::uint32_t m_delivered_attempts = 0; // Attempts that may have reached a server.
    std::uint32_t m_unreached_attempts = 0; // Attempts without a connection.
    bool m_may_have_run = false;            // Some attempt may have run the request.
    bool m_caller_disconnected = false;
    bool m_finished = false;
    bool m_waiting_for_owner = false;
    core::time_point m_owner_wait_deadline = core::never; // Set at the first wait.
    std::uint64_t m_last_fence = 0;  // Fencing token of the key range at the last attempt.
    std::uint64_t m_stale_fence = 0; // Token that the owner refused: wait for a higher one.
};

} // namespace balsampost::entry
