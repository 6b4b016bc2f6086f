// Attempts of one request, and the retry, wait, refusal or answer that follows each outcome.
#include "balsampost/entry/forwarding.h"

#include "balsampost/core/admission.h"
#include "balsampost/entry/answer_notices.h"
#include "balsampost/entry/entry_metrics.h"
#include "balsampost/entry/event_loop.h"
#include "balsampost/net/connection_options.h"
#include "balsampost/net/http_rules.h"
#include "balsampost/telemetry/log.h"

#include <algorithm>
#include <charconv>

namespace balsampost::entry {

namespace http = net::beast::http;
using core::attempt_result;
using telemetry::event;

namespace {

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;

// Subtracted from the caller's deadline: time for the answer to reach the caller.
constexpr core::milliseconds answer_transit_time{15};
// How long a request waits for its key to get an owner; a move takes a few round trips.
constexpr core::milliseconds max_owner_wait{400};
constexpr core::milliseconds owner_retry_after{250}; // Duration of a move by release.
constexpr std::uint32_t max_unreached_servers = 3;   // Unreachable servers tried per request.
// A non-idempotent exchange is not aborted: it may stay open this long after the request's deadline.
constexpr core::milliseconds orphaned_exchange_time{500};
// Refused callers return after the stated time, multiplied by a random factor. Before the end of a pause that
// a server asked for, they would be refused again.
constexpr double max_jitter = 1.4;
constexpr double min_pause_jitter = 1.0;
constexpr core::milliseconds min_time_left{10}; // With less time left a server cannot finish a request.

/// Whether callers take `status` as a guarantee that the request did not run and never will.
bool implies_not_run(unsigned status) {
    return status == status_request_timeout || status == status_misdirected || status == status_too_many ||
           status == status_unavailable;
}

std::string_view view(net::beast::string_view text) {
    return {text.data(), text.size()};
}

template <class T>
std::optional<T> parse_number(std::string_view text) {
    T value{};
    const auto end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional<T>(value) : std::nullopt;
}

core::time_point deadline_on(const core::route& route, const platform& adapter, const http::fields& headers,
                             core::time_point arrived) {
    auto limit = route.timeout;
    if (const auto given = parse_number<std::int64_t>(view(headers[adapter.headers().deadline_ms]))) {
        const core::milliseconds stated{std::max<std::int64_t>(*given, 0)};
        limit = std::min(limit, std::max(stated - answer_transit_time, core::milliseconds{0}));
    }
    return arrived + limit;
}

} // namespace

std::optional<core::time_point> answer_deadline(const forwarding_context& context,
                                                const http::fields& headers, const std::string& target,
                                                core::time_point arrived) {
    const auto routes = context.state.routes();
    const auto* route = routes ? routes->find(view(headers[http::field::host]), target) : nullptr;
    return route == nullptr
               ? std::nullopt
               : std::optional<core::time_point>(deadline_on(*route, context.adapter, headers, arrived));
}

forwarding::forwarding(forwarding_context context, caller_request request, handler done)
    : m_context(context), m_request(std::move(request)), m_done(std::move(done)) {}

std::string_view forwarding::id() const {
    return view(m_request.headers[m_context.adapter.headers().request_id]);
}

void forwarding::start() {
    guard("start of a request", [&] { find_route(); });
}

template <class Step>
void forwarding::guard(std::string_view place, Step&& step) {
    if (contained(place, std::forward<Step>(step))) {
        return;
    }
    contained("answer to a failed request", [&] {
        if (m_exchange_open) {
            http_client::abort(m_exchange);
            m_exchange_open = false;
            if (auto* service = m_context.state.find(m_service)) {
                service->pool.attempt_abandoned(m_server, m_attempt);
            }
        }
        // What the step was about to record is unknown, so any attempt may have run the request.
        m_may_have_run = m_may_have_run || !m_server.empty();
        if (!m_finished) {
            refuse("the request failed inside this instance", owner_retry_after);
        }
    });
}

void forwarding::find_route() {
    m_routes = m_context.state.routes();
    if (!m_routes) {
        refuse("no manifest has been received yet", owner_retry_after);
        return;
    }
    const auto host = view(m_request.headers[http::field::host]);
    m_route = m_routes->find(host, m_request.target);
    if (m_route == nullptr) {
        fail(status_not_found, "no route matches the request");
        return;
    }
    m_deadline = deadline_on(*m_route, m_context.adapter, m_request.headers, m_request.arrived);
    if (refuse_for_stop()) {
        return;
    }
    m_target_deadline = m_request.arrived + m_route->target_latency;
    m_allowed_regions = core::residency::intersection_of({m_route->allowed_regions});
    const auto chosen = m_route->destinations.size() == 1
                            ? 0
                            : m_context.state.traffic_split(m_route->name).next(m_route->destinations);
    m_service = m_route->destinations[chosen].service;
    auto* service = m_context.state.find(m_service);
    if (service == nullptr) {
        fail(status_bad_gateway, "the route's service is unknown");
        return;
    }
    const auto at = now();
    service->repeats.count_request(at);
    if (service->keyed) {
        m_key = parse_number<core::shard_key>(view(m_request.headers[m_context.adapter.headers().shard_key]));
        if (!m_key || *m_key >= core::key_count) {
            fail(status_bad_request, "the service is keyed and the request has no valid key");
            return;
        }
        service->keys.count(*m_key);
    }
    m_cost_class = core::cost::class_of(m_route->name, m_request.method,
                                        m_request.body ? m_request.body->size() : 0, m_key);
    m_timer = m_context.timer_queue.at(m_deadline, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_timer.reset();
            self->guard("deadline of a request", [&] {
                self->give_up("no answer before the deadline",
                              "the deadline passed before the request was sent to a server");
            });
        }
    });
    try_next_server();
}

core::selection_request forwarding::selection(core::time_point at) const {
    const auto left = [&](core::time_point until) {
        return std::max(std::chrono::duration_cast<core::milliseconds>(until - at), core::milliseconds{0});
    };
    return {left(m_target_deadline),
            left(m_deadline),
            m_request.body ? m_request.body->size() : 0,
            m_tried_servers,
            m_allowed_regions,
            m_cost_class,
            std::chrono::duration_cast<core::milliseconds>(m_deadline - m_request.arrived)};
}

void forwarding::try_next_server() {
    if (m_finished || m_caller_disconnected) {
        return;
    }
    const auto at = now();
    if (at + min_time_left >= m_deadline) {
        return; // The deadline timer answers.
    }
    // A repeat of a request that may have run continues: the caller could not be told that it did not run.
    if (!m_may_have_run && refuse_for_stop()) {
        return;
    }
    auto* service = m_context.state.find(m_service);
    if (service == nullptr) {
        fail(m_may_have_run ? status_bad_gateway : status_unavailable, "the service was removed");
        return;
    }
    core::selection choice;
    if (m_key && service->pool.all_evacuated(at)) {
        refuse_for_evacuation(owner_retry_after); // No server can become the owner, so none is waited for.
        return;
    }
    if (m_key) {
        const auto* run = service->table ? service->table->find(*m_key) : nullptr;
        if (refuse_for_owner_regions(*service, run, at)) {
            return;
        }
        if (run == nullptr || run->owner.empty() || run->moving() || run->fence <= m_stale_fence) {
            wait_for_owner(0);
            return;
        }
        const auto* owner = m_context.state.directory().find(run->owner.id);
        if (owner == nullptr || owner->self != run->owner) {
            wait_for_owner(0);
            return;
        }
        m_last_fence = run->fence;
        const auto request = selection(at);
        const double fraction = service->admitted_fraction(run->owner.id, at);
        if (fraction < 1 &&
            std::uniform_real_distribution<double>(0, 1)(m_context.state.random()) > fraction) {
            m_server = run->owner.id;
            refuse("the owner of the key is overloaded",
                   core::overload_retry_after(fraction, request.time_to_target, request.time_to_deadline));
            return;
        }
        choice = service->pool.check(run->owner.id, request, at);
    } else {
        choice = service->pool.choose(selection(at), at, m_context.state.random());
    }
    if (choice.server.empty()) {
        m_server = m_key ? service->table->find(*m_key)->owner.id : "";
        if (choice.outside_regions) {
            refuse_for_regions("no server in the allowed regions is left");
            return;
        }
        if (choice.paused) {
            m_context.metrics.refused_for_pause();
            refuse("the servers asked for a pause", choice.retry_after, min_pause_jitter);
            return;
        }
        if (choice.evacuated) {
            refuse_for_evacuation(choice.retry_after);
            return;
        }
        if (choice.cold) {
            m_context.metrics.refused_for_share();
            refuse("the servers are warming up and this instance may send them nothing now",
                   choice.retry_after, min_pause_jitter);
            return;
        }
        refuse("no server can finish before the deadline", choice.retry_after);
        return;
    }
    if (m_delivered_attempts > 0 && !service->repeats.take(at, m_context.state.instances())) {
        refuse("the retry budget is exhausted", owner_retry_after);
        return;
    }
    send_attempt(choice);
}

bool forwarding::refuse_for_owner_regions(const service_state& service, const core::key_range* range,
                                          core::time_point at) {
    if (m_allowed_regions.unlimited() && service.owner_regions.unlimited()) {
        return false;
    }
    const bool named = range != nullptr && !range->owner.empty();
    if (named && m_context.state.directory().find(range->owner.id) != nullptr) {
        if (!service.pool.check(range->owner.id, selection(at), at).outside_regions) {
            return false;
        }
        m_server = range->owner.id;
        refuse_for_regions("the owner of the key is outside the allowed regions");
        return true;
    }
    // The keys of a lost owner wait for the owner regions while these have no server.
    if (service.pool.has_server_in(m_allowed_regions) &&
        (!named || service.pool.has_server_in(service.owner_regions))) {
        return false;
    }
    m_server = named ? range->owner.id : "";
    refuse_for_regions("no server in the allowed regions is left");
    return true;
}

void forwarding::refuse_for_regions(const char* reason) {
    if (!m_may_have_run) {
        m_context.metrics.refused_for_regions();
    }
    refuse(reason, std::nullopt);
}

void forwarding::send_attempt(const core::selection& choice) {
    const auto& server = choice.server;
    const auto* found = m_context.state.directory().find(server);
    auto* service = m_context.state.find(m_service);
    if (found == nullptr || service == nullptr) {
        refuse("the selected server was removed", owner_retry_after);
        return;
    }
    const auto backend = *found;
    const auto sent = now();
    exchange_request request;
    request.head = request_head(backend, std::chrono::duration_cast<core::milliseconds>(m_deadline - sent));
    request.body = m_request.body;
    request.is_head = m_request.method == "HEAD";
    // A server may send an earlier answer of a kept connection once more. Its id tells it apart, unless the
    // same request was sent there before, or has no id.
    request.new_connection = !m_route->idempotent() || id().empty() || (m_key && m_delivered_attempts > 0);
    request.deadline = m_deadline + orphaned_exchange_time;
    request.may_send = [&state = m_context.state, name = m_service, server, owner = m_key.has_value()] {
        const auto* s = state.find(name);
        return s != nullptr && s->pool.may_send(server, owner, now());
    };
    if (m_context.client.connections_to(backend.address) >= service->pool.connection_share()) {
        // Idle connections count towards the server's limit: close them to make place for a new one.
        if (request.new_connection) {
            m_context.client.close_idle(backend.address);
        }
    }
    m_server = server;
    m_exchange_sent_at = sent;
    m_exchange_open = true;
    const auto attempt = ++m_attempts_started;
    m_attempt = service->pool.attempt_started(server, sent, m_cost_class, choice.is_trial);
    const auto self = shared_from_this();
    const auto handle = m_context.client.start(
        backend.address, std::move(request), [self, backend, sent](exchange_result& result) {
            bool reusable = false;
            self->guard("answer of a server", [&] { self->on_attempt_end(backend, sent, result, reusable); });
            return reusable;
        });
    // An attempt that fails at once may have started the next one already.
    if (m_exchange_open && attempt == m_attempts_started) {
        m_exchange = handle;
    }
}

attempt_result forwarding::classify(const exchange_result& result) const {
    switch (result.end) {
    case exchange_end::not_sent:
        return attempt_result::unreachable;
    case exchange_end::lost:
        return result.timed_out ? attempt_result::silent : attempt_result::broken;
    case exchange_end::answered:
        break;
    }
    const auto& reply = result.reply;
    if (view(reply.headers[m_context.adapter.headers().request_id]) != id()) {
        return attempt_result::broken; // The answer belongs to another request; this one's outcome is
                                       // unknown.
    }
    const bool not_run =
        reply.headers.count(m_context.adapter.headers().not_run) > 0 || reply.status == status_misdirected;
    if (not_run) {
        return attempt_result::refused;
    }
    if (reply.status >= 200 && reply.status < 300) {
        return reply.headers.count(m_context.adapter.headers().integrity) > 0 ? attempt_result::answered
                                                                              : attempt_result::broken;
    }
    return reply.status >= 500 || implies_not_run(reply.status) ? attempt_result::failed
                                                                : attempt_result::answered;
}

void forwarding::on_attempt_end(const core::backend& server, core::time_point sent, exchange_result& result,
                                bool& reusable) {
    m_exchange_open = false;
    m_exchange.reset();
    if (result.no_room) { // Says nothing about the server.
        if (auto* service = m_context.state.find(m_service)) {
            service->pool.attempt_abandoned(server.self.id, m_attempt);
        }
        if (!m_finished && !m_caller_disconnected) {
            refuse("this instance has no descriptor for a connection to the server", owner_retry_after);
        }
        return;
    }
    if (result.withdrawn) { // Says nothing about the server either.
        withdrawn(server);
        return;
    }
    const auto at = now();
    const auto outcome = classify(result);
    const auto elapsed = std::chrono::duration_cast<core::milliseconds>(at - sent);
    std::optional<core::load_report> load;
    if (result.end == exchange_end::answered && outcome != attempt_result::broken) {
        load = m_context.adapter.decode_load(view(result.reply.headers[m_context.adapter.headers().load]));
        reusable = true;
        m_context.state.note(m_service, server.self, notices_in(result.reply, m_context.adapter), at,
                             "request");
    }
    if (auto* service = m_context.state.find(m_service)) {
        if (load && !load->slowdown &&
            (load->slowdown_unusable || service->pool.reports_slowdown(server.self.id))) {
            m_context.metrics.slowdown_unusable();
        }
        record_attempt(*service, outcome, load, at);
    }
    if (outcome != attempt_result::answered) {
        m_context.metrics.attempt_failed(outcome);
        telemetry::log(event::attempt_failed, {{"request", std::string(id())},
                                               {"server", server.self.id},
                                               {"outcome", to_string(outcome)},
                                               {"status", std::to_string(result.reply.status)},
                                               {"reason", result.reason},
                                               {"reused", result.reused ? "yes" : "no"},
                                               {"took_ms", std::to_string(elapsed.count())}});
    }
    if (m_finished || m_caller_disconnected) {
        return;
    }
    if (outcome == attempt_result::unreachable) {
        if (result.refused) {
            m_context.state.note_unreachable(m_service, server.self.id);
        }
        m_tried_servers.push_back(server.self.id);
        if (++m_unreached_attempts >= max_unreached_servers || m_key) {
            refuse("no server can be reached", owner_retry_after);
            return;
        }
        try_next_server();
        return;
    }
    ++m_delivered_attempts;
    m_tried_servers.push_back(server.self.id);
    if (outcome == attempt_result::answered) {
        const auto* service = m_context.state.find(m_service);
        telemetry::log(
            event::request_answered,
            {{"request", std::string(id())},
             {"service", m_service},
             {"server", server.self.id},
             {"where", service == nullptr ? "" : core::to_string(service->pool.locality_of(server.self.id))},
             {"status", std::to_string(result.reply.status)},
             {"arrivals", std::to_string(m_delivered_attempts)},
             {"sent_bytes", std::to_string(m_request.body ? m_request.body->size() : 0)},
             {"took_ms", std::to_string(elapsed.count())}});
        finish({result.reply.status, std::move(result.reply.headers), std::move(result.reply.body),
                std::nullopt});
        return;
    }
    if (outcome == attempt_result::refused) {
        if (m_key && result.reply.status == status_misdirected) {
            m_tried_servers.pop_back();
            wait_for_owner(m_last_fence);
            return;
        }
        if (may_retry() && !m_key) {
            try_next_server();
        } else {
            refuse("the server did not run the request", owner_retry_after);
        }
        return;
    }
    m_may_have_run = true;
    if (m_route->idempotent() && may_retry()) {
        if (m_key) {
            m_tried_servers.pop_back(); // Only the owner can serve the key, so it must stay selectable.
        }
        try_next_server();
        return;
    }
    // A status that callers would take for "not run" is not passed on: the server did not state that.
    if (outcome == attempt_result::failed && !implies_not_run(result.reply.status)) {
        finish({result.reply.status, std::move(result.reply.headers), std::move(result.reply.body),
                std::nullopt});
        return;
    }
    fail(status_bad_gateway, outcome == attempt_result::silent ? "no answer before the deadline"
                                                               : "the answer was lost or damaged");
}

void forwarding::record_attempt(service_state& service, attempt_result result,
                                const std::optional<core::load_report>& load, core::time_point at) {
    const auto stood_still = m_context.state.pauses().stood_still(m_exchange_sent_at, at);
    const bool missed = result == attempt_result::silent || result == attempt_result::unreachable;
    if (missed && stood_still > core::duration{0}) {
        service.pool.attempt_abandoned(m_server, m_attempt);
        return;
    }
    const auto took = std::chrono::duration_cast<core::milliseconds>(at - m_exchange_sent_at - stood_still);
    service.pool.attempt_ended(m_server, result, took, load, at, m_attempt);
}

void forwarding::withdrawn(const core::backend& server) {
    if (auto* service = m_context.state.find(m_service)) {
        service->pool.attempt_abandoned(server.self.id);
    }
    if (m_finished || m_caller_disconnected) {
        return;
    }
    telemetry::log(event::attempt_failed,
                   {{"request", std::string(id())}, {"server", server.self.id}, {"outcome", "withdrawn"}});
    if (m_key) {
        wait_for_owner(0);
    } else {
        try_next_server();
    }
}

bool forwarding::may_retry() const {
    return m_delivered_attempts < m_route->max_attempts && now() + min_time_left < m_deadline;
}

void forwarding::wait_for_owner(std::uint64_t stale_fence) {
    m_stale_fence = std::max(m_stale_fence, stale_fence);
    if (m_waiting_for_owner) {
        return;
    }
    if (!m_may_have_run && refuse_for_stop()) {
        return;
    }
    const auto at = now();
    if (m_owner_wait_deadline == core::never) {
        m_owner_wait_deadline = std::min(at + max_owner_wait, m_deadline - 2 * min_time_left);
    }
    if (at >= m_owner_wait_deadline) {
        refuse("the owner of the key is not known", owner_retry_after);
        return;
    }
    m_waiting_for_owner = true;
    const auto retry = [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || !self->m_waiting_for_owner) {
            return;
        }
        self->m_waiting_for_owner = false;
        if (self->m_owner_timer) {
            self->m_context.timer_queue.cancel(*self->m_owner_timer);
            self->m_owner_timer.reset();
        }
        self->guard("request that waited for an owner", [&] { self->try_next_server(); });
    };
    m_context.state.on_change(retry);
    m_owner_timer = m_context.timer_queue.at(m_owner_wait_deadline, retry);
}

void forwarding::caller_disconnected() {
    if (m_finished) {
        return;
    }
    telemetry::log(event::caller_disconnected, {{"request", std::string(id())},
                                                {"server", m_exchange_open ? m_server : ""},
                                                {"arrivals", std::to_string(m_delivered_attempts)}});
    m_context.metrics.caller_disconnected();
    abandon();
}

void forwarding::abandon() {
    if (m_finished) {
        return;
    }
    m_caller_disconnected = true;
    if (m_exchange_open && m_route != nullptr && m_route->idempotent()) {
        http_client::abort(m_exchange);
        m_exchange_open = false;
        if (auto* service = m_context.state.find(m_service)) {
            service->pool.attempt_abandoned(m_server, m_attempt);
        }
    }
    finish({});
}

void forwarding::begin_stop() {
    if (m_waiting_for_owner && !m_may_have_run) {
        refuse_for_stop();
    }
}

bool forwarding::refuse_for_stop() {
    if (m_context.holds(m_deadline)) {
        return false;
    }
    refuse(stop_refusal_reason, stopping_retry_after);
    return true;
}

bool forwarding::expire() {
    give_up("cut by the shutdown: the grace time ended before the server's answer",
            "the shutdown ended before the request was sent to a server");
    return m_may_have_run;
}

void forwarding::give_up(const char* reason_if_sent, const char* reason_if_unsent) {
    if (m_finished) {
        return;
    }
    if (m_exchange_open) {
        m_may_have_run = http_client::abort(m_exchange) || m_may_have_run;
        m_exchange_open = false;
        const auto at = now();
        if (auto* service = m_context.state.find(m_service)) {
            record_attempt(*service, attempt_result::silent, std::nullopt, at);
        }
    }
    if (m_may_have_run) {
        fail(status_gateway_timeout, reason_if_sent);
    } else {
        refuse(reason_if_unsent, owner_retry_after);
    }
}

void forwarding::refuse(const char* reason, std::optional<core::milliseconds> retry_after,
                        double min_jitter) {
    if (m_may_have_run) {
        fail(status_bad_gateway, reason);
        return;
    }
    // Jitter prevents refused callers from retrying all at once.
    std::uniform_real_distribution<double> jitter(min_jitter, max_jitter);
    std::optional<core::milliseconds> after;
    if (retry_after) {
        after = core::milliseconds(static_cast<std::int64_t>(static_cast<double>(retry_after->count()) *
                                                             jitter(m_context.state.random())));
    }
    telemetry::log(event::request_refused, {{"request", std::string(id())},
                                            {"service", m_service},
                                            {"server", m_server},
                                            {"key", m_key ? std::to_string(*m_key) : ""},
                                            {"fence", std::to_string(m_last_fence)},
                                            {"reason", reason},
                                            {"arrivals", std::to_string(m_delivered_attempts)},
                                            {"retry_after_ms", after ? std::to_string(after->count()) : ""}});
    m_context.metrics.refused();
    caller_answer answer;
    answer.status = status_unavailable;
    answer.retry_after = after;
    finish(std::move(answer));
}

void forwarding::refuse_for_evacuation(core::milliseconds retry_after) {
    m_context.metrics.refused_for_evacuation();
    refuse("all servers for the request are in evacuated failure domains", retry_after);
}

void forwarding::fail(unsigned status, const char* reason) {
    telemetry::log(event::request_failed, {{"request", std::string(id())},
                                           {"service", m_service},
                                           {"status", std::to_string(status)},
                                           {"reason", reason},
                                           {"arrivals", std::to_string(m_delivered_attempts)}});
    m_context.metrics.failed(status);
    caller_answer answer;
    answer.status = status;
    finish(std::move(answer));
}

void forwarding::finish(caller_answer answer) {
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_waiting_for_owner = false;
    for (auto* timer : {&m_timer, &m_owner_timer}) {
        if (*timer) {
            m_context.timer_queue.cancel(**timer);
            timer->reset();
        }
    }
    if (!m_caller_disconnected) {
        const auto elapsed = std::chrono::duration_cast<core::milliseconds>(now() - m_request.arrived);
        m_context.metrics.answered(answer.status, elapsed);
        const auto done = std::exchange(m_done, nullptr);
        done(std::move(answer));
    }
    m_done = nullptr;
}

std::string forwarding::request_head(const core::backend& server, core::milliseconds left) const {
    const auto& names = m_context.adapter.headers();
    std::string head;
    head.reserve(512);
    head.append(m_request.method).append(" ").append(m_request.target).append(" HTTP/1.1\r\n");
    const net::connection_options connection(m_request.headers);
    for (const auto& field : m_request.headers) {
        const auto name = view(field.name_string());
        if (net::is_connection_header(name) || connection.contains(name) ||
            net::beast::iequals(field.name_string(), names.deadline_ms) ||
            net::beast::iequals(field.name_string(), names.expected_server)) {
            continue;
        }
        head.append(name).append(": ").append(view(field.value())).append("\r\n");
    }
    head.append(names.deadline_ms).append(": ").append(std::to_string(left.count())).append("\r\n");
    head.append(names.expected_server).append(": ").append(server.self.id).append("\r\n");
    if (m_request.body &&
        (!m_request.body->empty() || m_request.method == "POST" || m_request.method == "PUT")) {
        head.append("Content-Length: ").append(std::to_string(m_request.body->size())).append("\r\n");
    }
    head.append("\r\n");
    return head;
}

} // namespace balsampost::entry
