// Guards against requests that reach a cold server without a share, and against messages of shares that
// instances of an earlier version cannot read or write.
#include "balsampost/entry/entry_metrics.h"
#include "balsampost/entry/forwarding.h"
#include "balsampost/entry/peer_exchange.h"
#include "balsampost/net/unpack.h"
#include "fakes.h"

#include <cppunit/extensions/HelperMacros.h>

namespace balsampost::entry {

namespace {

using namespace std::chrono_literals;

const std::string ok = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nIntegrity: x\r\nContent-Length: 2\r\n\r\nok";

/// One instance in front of the server `one`, which owns all keys and is cold for a minute.
struct warmup_fixture {
    explicit warmup_fixture(double per_s) : one(context, std::deque<std::string>(20, ok)), state(config) {
        core::manifest m;
        m.version = 1;
        m.services["s"] = {"s", 100, true, 60s, per_s};
        core::route r;
        r.name = "r";
        r.host = "h";
        r.path_prefix = "/";
        r.timeout = 60s;
        r.target_latency = 60s;
        r.destinations = {{"s", 1}};
        m.routes = {r};
        state.set_manifest(m);
        core::backend b;
        b.self = server;
        b.service = "s";
        b.address = one.at();
        b.failure_domain = "d";
        b.slots = 4;
        b.warmup_left = 60s;
        state.directory().put(b, now());
        state.directory_changed();
        auto table = std::make_shared<core::key_table>();
        table->ranges = {{0, core::key_count - 1, server, 1, {}}};
        state.set_table("s", table);
    }
    caller_answer request() {
        caller_request r;
        r.method = "GET";
        r.target = "/";
        r.headers.set("Host", "h");
        r.headers.set("Request-Id", "req-1");
        r.headers.set("Shard-Key", "7");
        r.body = std::make_shared<std::string>();
        r.arrived = now();
        std::optional<caller_answer> out;
        std::make_shared<forwarding>(forwarding_context{state, client, timer_queue, adapter, metrics},
                                     std::move(r), [&](caller_answer a) { out = std::move(a); })
            ->start();
        while (!out) {
            context.restart();
            context.run_one_for(10s);
        }
        return std::move(*out);
    }

    const core::incarnation server{"one", 1};
    net::asio::io_context context;
    scripted_backend one;
    settings config;
    timers timer_queue{context};
    http_client client{context, timer_queue, {}};
    fake_platform adapter;
    entry_metrics metrics;
    traffic_state state;
};

/// The update as instances without shares know it.
struct earlier_update {
    std::string service;
    std::uint64_t tenure_revision = 0;
    bool resigned = false;
    std::uint32_t instances = 0;
    std::string relay;
    std::string coordinator_at;
    std::uint32_t coordinator_age_ms = 0;
    table_version version;
    table_version base;
    std::string table;
    std::vector<std::pair<std::string, std::uint32_t>> admit_permille;
    std::vector<feed_segment> feed;

    MSGPACK_DEFINE(service, tenure_revision, resigned, instances, relay, coordinator_at, coordinator_age_ms,
                   version, base, table, admit_permille, feed);
};

template <class To, class From>
To converted(const From& from) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, from);
    std::size_t offset = 0;
    return net::unpack_value({buffer.data(), buffer.size()}, offset).get().as<To>();
}

} // namespace

class warmup_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(warmup_test);
    CPPUNIT_TEST(a_cold_owner_gets_requests_by_share_only);
    CPPUNIT_TEST(without_a_rate_the_owner_is_served);
    CPPUNIT_TEST(updates_of_both_versions_are_read);
    CPPUNIT_TEST_SUITE_END();

    void a_cold_owner_gets_requests_by_share_only() {
        warmup_fixture f(4.9);
        const auto begun = now();
        const auto refused = f.request();
        CPPUNIT_ASSERT_EQUAL(503U, refused.status);
        CPPUNIT_ASSERT(refused.retry_after >= 61s && now() - begun < 5s);
        CPPUNIT_ASSERT_EQUAL(0, f.one.requests());
        const auto at = now();
        f.state.cold().receive({f.server, 1, 30s, 50s}, at, at);
        CPPUNIT_ASSERT_EQUAL(200U, f.request().status);
        const auto refilling = f.request();
        CPPUNIT_ASSERT(refilling.status == 503U && refilling.retry_after > 10s &&
                       refilling.retry_after <= 30s * 1.4);
        CPPUNIT_ASSERT_EQUAL(1, f.one.requests());
        CPPUNIT_ASSERT(f.metrics.serialize().find("balsampost_refused_for_share_total 2") !=
                       std::string::npos);
    }

    void without_a_rate_the_owner_is_served() {
        warmup_fixture f(0);
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT_EQUAL(200U, f.request().status);
        }
    }

    void updates_of_both_versions_are_read() {
        peer_update sent;
        sent.service = "s";
        sent.admit_permille = {{"a", 500}};
        sent.shares = {"i", 12, {{"x", 34, 2, 1'100, 2'000}}};
        const auto now_read = converted<peer_update>(sent);
        CPPUNIT_ASSERT(now_read.shares.instance == "i" && now_read.shares.sent_ns == 12 &&
                       now_read.shares.shares == sent.shares.shares);
        const auto earlier = converted<earlier_update>(sent);
        CPPUNIT_ASSERT(earlier.service == "s" && earlier.admit_permille == sent.admit_permille);
        const auto without = converted<peer_update>(earlier);
        CPPUNIT_ASSERT(without.service == "s" && without.admit_permille == sent.admit_permille &&
                       without.shares.shares.empty() && without.shares.sent_ns == 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(warmup_test);

} // namespace balsampost::entry
