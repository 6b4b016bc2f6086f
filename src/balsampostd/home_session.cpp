// Serves requests that entries send to this instance as home: admission to the server's queue, the call to
// the server, and the response back to the entry.
#include "server_call.h"
#include "traffic.h"

#include "balsampost/telemetry/log.h"

namespace balsampost::daemon {

using net::awaitable;
using net::now;
using telemetry::event;

namespace {

/// A link from an entry is closed after this time without a frame.
constexpr core::milliseconds idle_timeout{120'000};
constexpr core::milliseconds write_timeout{5000};
constexpr core::milliseconds connect_timeout{250};

/// A request that this instance serves as the home of its server.
struct home_request {
    traffic_thread& owner;
    net::link& link;
    net::request_head head;
    core::time_point started_at;
    core::time_point deadline;
    telemetry::span span;
};

awaitable<void> send_refusal(home_request& request, core::refusal_reason reason, std::string detail) {
    const net::refusal_message message{reason, std::move(detail)};
    net::frame frame{net::frame_type::refusal, 0, net::pack_message(message)};
    request.span.attributes.emplace_back("refused", std::string(core::rule_of(reason).name));
    co_await request.link.write(std::move(frame), now() + write_timeout);
    if (!request.head.whole_body) {
        // The entry may still be sending the rest of the body, which nothing would read.
        request.link.close();
    }
}

void record_span(home_request& request, const char* name, core::time_point start, const std::string& server) {
    if (!request.head.sampled) {
        return;
    }
    telemetry::span span = request.span;
    if (std::string_view(name) != "home") {
        span.parent_id = request.span.span_id;
        span.span_id = telemetry::random_hex(8);
        span.attributes.clear();
    }
    span.name = name;
    const auto duration = now() - start;
    span.start_ns = std::chrono::system_clock::now().time_since_epoch().count() - duration.count();
    span.duration_ns = duration.count();
    span.attributes.emplace_back("server", server);
    request.owner.store_span(std::move(span));
}

/// Sends the request to the server and passes the response on. The caller holds a slot of `gate` and releases
/// it.
awaitable<core::run_result> call_server(home_request& request, server_gate& gate) {
    const auto connect_deadline = std::min(request.deadline, now() + connect_timeout);
    auto connection = co_await gate.acquire_connection(connect_deadline);
    if (!connection) {
        co_await send_refusal(request, core::refusal_reason::server_unreachable, connection.error().message);
        co_return core::run_result::failed;
    }
    // The process may have been suspended since admission, for long enough that the server's lease expired.
    if (!gate.leased(now())) {
        gate.release_connection(std::move(*connection));
        co_await send_refusal(request, core::refusal_reason::no_owner,
                              "the server's lease expired before the request was sent");
        co_return core::run_result::failed;
    }
    const auto call_started = now();
    server_call call(request.owner, gate, std::move(*connection), request.link, request.head,
                     request.deadline);
    const auto outcome = co_await call.run();
    record_span(request, "server_call", call_started, gate.server());
    if (outcome.refused) {
        co_await send_refusal(request, *outcome.refused, outcome.detail);
    }
    co_return outcome.result;
}

awaitable<void> serve_request(traffic_thread& owner, net::link& link, net::request_head head) {
    home_request request{owner, link, std::move(head), now(), {}, {}};
    request.deadline = request.started_at + core::duration(request.head.deadline_ns);
    request.span.trace_id = request.head.trace_id;
    request.span.parent_id = request.head.parent_span;
    request.span.span_id = request.head.sampled ? telemetry::random_hex(8) : "";
    const auto gate = owner.gate(request.head.service, request.head.server);
    if (!gate) {
        co_await send_refusal(request, core::refusal_reason::not_home,
                              "this instance is not the home of server " + request.head.server);
        co_return;
    }
    if (!request.head.idempotent && !owner.record_request_id(request.head.request_id)) {
        telemetry::log(event::duplicate_refused, {{"request", request.head.request_id}});
        co_await send_refusal(request, core::refusal_reason::duplicate,
                              "a request with this id was already received");
        co_return;
    }
    core::queued_request queue_entry{owner.next_request_number(), request.head.caller, request.head.slice,
                                     request.head.body.size(), request.deadline};
    std::optional<core::refusal_reason> refusal;
    {
        const net::close_watch watch(link.stream().socket(), [&] {
            gate->cancel(queue_entry.number);
            link.close();
        });
        refusal = co_await gate->admit(queue_entry, request.head.since);
    }
    record_span(request, "queue_wait", request.started_at, gate->server());
    if (refusal) {
        owner.daemon_metrics().queue_refusals.Increment();
        co_await send_refusal(request, *refusal,
                              "not admitted to the queue of server " + request.head.server);
        co_return;
    }
    const auto started = now();
    const auto result = co_await call_server(request, *gate);
    gate->finish(queue_entry, result, now() - started);
    record_span(request, "home", request.started_at, gate->server());
}

} // namespace

awaitable<void> serve_peer_link(traffic_thread& owner, net::link_ptr link) {
    while (link->is_open()) {
        auto frame = co_await link->read(now() + idle_timeout);
        if (!frame) {
            break;
        }
        if (frame->type == net::frame_type::ping) {
            net::frame pong{net::frame_type::pong, 0, ""};
            co_await link->write(std::move(pong), now() + write_timeout);
            continue;
        }
        auto head = net::unpack_message<net::request_head>(frame->payload);
        if (frame->type != net::frame_type::request_head || !head) {
            telemetry::log(event::peer_broke_protocol, {{"peer", core::to_string(link->peer())}});
            break;
        }
        ++owner.in_flight();
        co_await serve_request(owner, *link, std::move(*head));
        --owner.in_flight();
    }
    link->close();
}

} // namespace balsampost::daemon
