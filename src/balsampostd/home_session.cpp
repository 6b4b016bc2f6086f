// The home's side of a request: admission at the gate, the call to the server, and the answer back to the
// entry.
#include "server_call.h"
#include "traffic.h"

#include "balsampost/telemetry/log.h"

namespace balsampost::daemon {

using net::awaitable;
using net::now;
using telemetry::event;

namespace {

constexpr core::milliseconds idle_limit{120'000};
constexpr core::milliseconds write_time{5000};

/// One request as the home works on it.
struct home_request {
    traffic_thread& owner;
    net::link& link;
    net::request_head head;
    core::time_point began;
    core::time_point deadline;
    telemetry::span work;
};

awaitable<void> refuse(home_request& r, core::refusal_reason reason, std::string detail) {
    const net::refusal_message message{reason, std::move(detail)};
    net::frame f{net::frame_type::refusal, 0, net::pack_message(message)};
    r.work.attributes.emplace_back("refused", std::string(core::rule_of(reason).name));
    co_await r.link.write(std::move(f), now() + write_time);
    if (!r.head.whole_body) {
        r.link.close(); // The rest of the body may be on its way.
    }
}

void record_span(home_request& r, const char* name, core::time_point from, const std::string& server) {
    if (!r.head.sampled) {
        return;
    }
    telemetry::span s = r.work;
    if (std::string_view(name) != "home") {
        s.parent_id = r.work.span_id;
        s.span_id = telemetry::random_hex(8);
        s.attributes.clear();
    }
    s.name = name;
    const auto length = now() - from;
    s.start_ns = std::chrono::system_clock::now().time_since_epoch().count() - length.count();
    s.duration_ns = length.count();
    s.attributes.emplace_back("server", server);
    r.owner.store_span(std::move(s));
}

/// Runs the request at the server. The gate's slot is held by the caller of this function.
awaitable<core::run_result> run(home_request& r, server_gate& gate) {
    const auto connecting = std::min(r.deadline, now() + core::milliseconds(250));
    auto connection = co_await gate.connect(connecting);
    if (!connection) {
        co_await refuse(r, core::refusal_reason::server_unreachable, connection.error().message);
        co_return core::run_result::failed;
    }
    if (!gate.leased(now())) { // A pause may have come in between.
        gate.give_back(std::move(*connection));
        co_await refuse(r, core::refusal_reason::no_owner, "the lease ran out before the request was sent");
        co_return core::run_result::failed;
    }
    const auto called = now();
    server_call call(r.owner, gate, std::move(*connection), r.link, r.head, r.deadline);
    const auto ended = co_await call.run();
    record_span(r, "server_call", called, gate.server());
    if (ended.refused) {
        co_await refuse(r, *ended.refused, ended.detail);
    }
    co_return ended.result;
}

awaitable<void> serve_request(traffic_thread& owner, net::link& link, net::request_head head) {
    home_request r{owner, link, std::move(head), now(), {}, {}};
    r.deadline = r.began + core::duration(r.head.deadline_ns);
    r.work.trace_id = r.head.trace_id;
    r.work.parent_id = r.head.parent_span;
    r.work.span_id = r.head.sampled ? telemetry::random_hex(8) : "";
    const auto gate = owner.gate(r.head.service, r.head.server);
    if (!gate) {
        co_await refuse(r, core::refusal_reason::not_home, "not the home of " + r.head.server);
        co_return;
    }
    if (!r.head.idempotent && !owner.record_request_id(r.head.request_id)) {
        telemetry::log(event::duplicate_refused, {{"request", r.head.request_id}});
        co_await refuse(r, core::refusal_reason::duplicate, "request id seen before");
        co_return;
    }
    core::queued_request queued{owner.next_request_number(), r.head.caller, r.head.slice, r.head.body.size(),
                                r.deadline};
    std::optional<core::refusal_reason> refusal;
    {
        const net::close_watch watch(link.stream().socket(), [&] {
            gate->cancel(queued.number);
            link.close();
        });
        refusal = co_await gate->admit(queued, r.head.since);
    }
    record_span(r, "queue_wait", r.began, gate->server());
    if (refusal) {
        owner.daemon_metrics().queue_refusals.Increment();
        co_await refuse(r, *refusal, "refused by the queue of " + r.head.server);
        co_return;
    }
    const auto started = now();
    const auto result = co_await run(r, *gate);
    gate->finish(queued, result, now() - started);
    record_span(r, "home", r.began, gate->server());
}

} // namespace

awaitable<void> serve_peer_link(traffic_thread& owner, net::link_ptr link) {
    while (link->is_open()) {
        auto f = co_await link->read(now() + idle_limit);
        if (!f) {
            break;
        }
        if (f->type == net::frame_type::ping) {
            net::frame pong{net::frame_type::pong, 0, ""};
            co_await link->write(std::move(pong), now() + write_time);
            continue;
        }
        auto head = net::unpack_message<net::request_head>(f->payload);
        if (f->type != net::frame_type::request_head || !head) {
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
