// Guards against requests that reach a server outside the regions of their route, and against lists that
// widen one another: the intersection of lists, the owner regions of a service, unknown regions, and the
// selection of servers.
#include "balsampost/core/residency/manifest_regions.h"
#include "balsampost/core/server_selection.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace balsampost::core::residency {

namespace {

using region_list = std::vector<std::string>;

constexpr time_point begin{std::chrono::seconds{100}};
const std::map<std::string, std::string> regions{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"c1", "c"}};

backend make_backend(const std::string& id, const std::string& domain) {
    backend b;
    b.self = {id, 1};
    b.service = "s";
    b.failure_domain = domain;
    b.slots = 4;
    return b;
}

route make_route(const std::string& name, const region_list& allowed,
                 std::vector<route_destination> destinations) {
    route r;
    r.name = name;
    r.destinations = std::move(destinations);
    r.allowed_regions = allowed;
    return r;
}

selection_request request_in(const region_list& allowed, std::vector<std::string> tried = {}) {
    return {milliseconds{400}, milliseconds{1'000}, 0, std::move(tried), intersection_of({allowed})};
}

} // namespace

class region_limit_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(region_limit_test);
    CPPUNIT_TEST(lists_are_intersected);
    CPPUNIT_TEST(owner_regions_come_from_all_routes_of_the_service);
    CPPUNIT_TEST(unknown_regions_are_named_once_per_route);
    CPPUNIT_TEST(selection_stays_in_the_regions);
    CPPUNIT_TEST(any_selection_is_allowed_by_every_list);
    CPPUNIT_TEST_SUITE_END();

    void lists_are_intersected() {
        struct row {
            std::vector<region_list> lists;
            const char* expected;
        };
        const row rows[] = {
            {{}, "any"},
            {{{}, {}}, "any"},
            {{{"a"}, {}}, "a"},
            {{{}, {"b", "a", "b"}}, "a,b"},
            {{{"a", "b"}, {"c", "b"}}, "b"},
            {{{"a"}, {"b"}}, "none"},
            {{{"a"}, {"b"}, {}}, "none"},
            {{{""}}, "none"},
        };
        for (const auto& r : rows) {
            CPPUNIT_ASSERT_EQUAL(std::string(r.expected), to_string(intersection_of(r.lists)));
        }
        CPPUNIT_ASSERT_MESSAGE("a server in an unknown region", !intersection_of({{"a"}}).allows(""));
    }

    void owner_regions_come_from_all_routes_of_the_service() {
        manifest m;
        m.routes = {make_route("one", {"a", "b"}, {{"s", 1}, {"t", 1}}), make_route("two", {}, {{"s", 1}}),
                    make_route("three", {"b", "c"}, {{"s", 0}}), make_route("four", {"c"}, {{"t", 1}})};
        CPPUNIT_ASSERT_EQUAL(std::string("b"), to_string(owner_regions(m, "s")));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), to_string(owner_regions(m, "t")));
        CPPUNIT_ASSERT_EQUAL(std::string("any"), to_string(owner_regions(m, "u")));
    }

    void unknown_regions_are_named_once_per_route() {
        manifest m;
        m.routes = {make_route("one", {"a", "x", "x"}, {{"s", 1}}), make_route("two", {"x"}, {{"s", 1}}),
                    make_route("three", {}, {{"s", 1}})};
        const std::vector<unknown_region> expected{{"one", "allowed_regions", "x"},
                                                   {"two", "allowed_regions", "x"}};
        CPPUNIT_ASSERT(unknown_regions(m, regions) == expected);
    }

    /// Also guards against a refusal that promises an end when none is known.
    void selection_stays_in_the_regions() {
        const auto near = make_backend("near", "a1");
        const auto far = make_backend("far", "b1");
        const auto lost = make_backend("lost", "z9"); // In a failure domain without a region.
        auto leaving = make_backend("leaving", "c1");
        leaving.draining = true;
        leaving.draining_since = begin;
        server_pool pool({}, "a1", regions);
        pool.update({&near, &far, &lost, &leaving}, 1000, 1);
        std::mt19937_64 random(1);
        struct row {
            region_list allowed;
            region_list tried;
            const char* server;
            bool outside_regions;
        };
        const row rows[] = {
            {{}, {}, "near", false},
            {{"b"}, {}, "far", false},
            {{"a", "b"}, {"near"}, "far", false},
            {{"b"}, {"far"}, "", true},
            {{"c"}, {}, "", true},
            {{"x"}, {}, "", true},
            {{""}, {}, "", true},
            {{}, {"near", "far", "lost"}, "", false},
        };
        for (const auto& r : rows) {
            const auto got = pool.choose(request_in(r.allowed, r.tried), begin, random);
            CPPUNIT_ASSERT_EQUAL(std::string(r.server), got.server);
            CPPUNIT_ASSERT_EQUAL(r.outside_regions, got.outside_regions);
            CPPUNIT_ASSERT(!got.outside_regions || got.retry_after == milliseconds{0});
        }
        CPPUNIT_ASSERT_EQUAL(std::string("far"), pool.check("far", request_in({"b"}), begin).server);
        CPPUNIT_ASSERT(pool.check("far", request_in({"a"}), begin).outside_regions);
        CPPUNIT_ASSERT(pool.check("lost", request_in({"a"}), begin).outside_regions);
        CPPUNIT_ASSERT_EQUAL(std::string("lost"), pool.check("lost", request_in({}), begin).server);
        CPPUNIT_ASSERT(!pool.check("gone", request_in({"a"}), begin).outside_regions);
        CPPUNIT_ASSERT(pool.has_server_in(intersection_of({{"b"}})));
        CPPUNIT_ASSERT_MESSAGE("leaving", !pool.has_server_in(intersection_of({{"c"}})));
        // A server inside that is backed off from is known to be tried again.
        pool.attempt_started("far", begin);
        pool.attempt_ended("far", attempt_result::unreachable, milliseconds{1}, std::nullopt, begin);
        const auto later = pool.choose(request_in({"b"}), begin, random);
        CPPUNIT_ASSERT(later.server.empty() && !later.outside_regions && later.retry_after > milliseconds{0});
    }

    void any_selection_is_allowed_by_every_list() {
        CPPUNIT_ASSERT(rc::check("a chosen server is in every non-empty list", [] {
            const auto name = rc::gen::element<std::string>("a", "b", "c", "x");
            const auto list = rc::gen::container<region_list>(name);
            const auto lists = *rc::gen::container<std::vector<region_list>>(list);
            const auto domains = *rc::gen::container<std::vector<std::string>>(
                rc::gen::element<std::string>("a1", "a2", "b1", "c1", "z9"));
            std::vector<backend> servers;
            for (std::size_t i = 0; i < domains.size(); ++i) {
                servers.push_back(make_backend(std::to_string(i), domains[i]));
            }
            std::vector<const backend*> listed;
            for (const auto& b : servers) {
                listed.push_back(&b);
            }
            server_pool pool({}, "a1", regions);
            pool.update(listed, 1000, 1);
            const auto allowed = [&](const backend& b) {
                return std::all_of(lists.begin(), lists.end(), [&](const region_list& l) {
                    return l.empty() ||
                           std::find(l.begin(), l.end(), region_of(regions, b.failure_domain)) != l.end();
                });
            };
            selection_request request{milliseconds{400}, milliseconds{1'000}, 0, {}, intersection_of(lists)};
            std::mt19937_64 random(1);
            // Each server is tried in turn, as in retries, until none is left.
            std::set<std::string> tried;
            for (;;) {
                const auto got = pool.choose(request, begin, random);
                if (got.server.empty()) {
                    break;
                }
                RC_ASSERT(tried.insert(got.server).second);
                RC_ASSERT(allowed(servers[std::stoul(got.server)]));
                RC_ASSERT(!pool.check(got.server, request, begin).server.empty());
                request.excluded_servers.push_back(got.server);
            }
            for (const auto& b : servers) {
                RC_ASSERT(tried.contains(b.self.id) == allowed(b));
                RC_ASSERT(pool.check(b.self.id, request, begin).outside_regions == !allowed(b));
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(region_limit_test);

} // namespace balsampost::core::residency
