// The set of evacuated failure domains, and the selection of servers that follows it. Guards against requests
// that reach an evacuated domain, owners that are used too long, a set that grows with what the store holds,
// and instances that all return at the same time.
#include "balsampost/core/evacuation/evacuated_domains.h"
#include "balsampost/core/server_selection.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace balsampost::core::evacuation {

namespace {

constexpr time_point start{std::chrono::seconds{1'000}};

backend server_in(const std::string& domain, const std::string& id) {
    backend b;
    b.self = {id, 1};
    b.service = "documents";
    b.address = {"10.0.0.1", 8'000};
    b.failure_domain = domain;
    b.slots = 4;
    return b;
}

/// A pool with two servers in each of the domains a, b and c of one region, seen from an instance in a.
struct pool_fixture {
    explicit pool_fixture(std::shared_ptr<evacuated_domains> d = std::make_shared<evacuated_domains>())
        : domains(std::move(d)), pool({}, "a", {{"a", "r"}, {"b", "r"}, {"c", "r"}}) {
        for (const char* domain : {"a", "b", "c"}) {
            for (const char* number : {"1", "2"}) {
                servers.push_back(server_in(domain, std::string(domain) + number));
            }
        }
        pool.set_evacuations(domains);
        update();
    }
    void update() {
        std::vector<const backend*> listed;
        for (const auto& b : servers) {
            listed.push_back(&b);
        }
        pool.update(listed, 100, 1);
    }
    selection choose(time_point now) { return pool.choose({}, now, random); }
    /// Domains of the servers that 200 requests go to.
    std::set<std::string> chosen_domains(time_point now) {
        std::set<std::string> out;
        for (int i = 0; i < 200; ++i) {
            const auto server = choose(now).server;
            if (!server.empty()) {
                out.insert(server.substr(0, 1));
                pool.attempt_started(server, now);
            }
        }
        return out;
    }

    std::shared_ptr<evacuated_domains> domains;
    std::vector<backend> servers;
    server_pool pool;
    std::mt19937_64 random{7};
};

} // namespace

class evacuated_domains_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(evacuated_domains_test);
    CPPUNIT_TEST(owners_are_used_for_a_part_of_the_bound);
    CPPUNIT_TEST(a_repeated_request_extends_nothing);
    CPPUNIT_TEST(names_of_any_kind_do_no_harm);
    CPPUNIT_TEST(nothing_is_sent_before_the_first_list);
    CPPUNIT_TEST(lists_and_changes_lead_to_the_same_set);
    CPPUNIT_TEST(instances_return_at_different_times);
    CPPUNIT_TEST(servers_in_evacuated_domains_are_not_chosen);
    CPPUNIT_TEST(requests_without_another_server_are_refused_as_evacuated);
    CPPUNIT_TEST(no_server_gets_a_request_that_the_rules_forbid);
    CPPUNIT_TEST_SUITE_END();

    void owners_are_used_for_a_part_of_the_bound() {
        struct row {
            const char* name;
            time_point not_before;
            milliseconds at;
            bool owner;
            bool expected;
        };
        const row rows[] = {
            {"a server without keys, at once", start, milliseconds{0}, false, false},
            {"an owner, at once", start, milliseconds{0}, true, true},
            {"an owner, just before 75%", start, milliseconds{3'749}, true, true},
            {"an owner, at 75%", start, milliseconds{3'750}, true, false},
            {"counted from the earliest time", start - milliseconds{2'000}, milliseconds{1'749}, true, true},
            {"nothing is left of an old request", start - milliseconds{2'000}, milliseconds{1'750}, true,
             false},
            {"the time of the request is unknown", never, milliseconds{0}, true, false},
            {"long after", start, milliseconds{3'600'000}, true, false},
        };
        for (const auto& r : rows) {
            evacuated_domains domains;
            CPPUNIT_ASSERT(domains.request("a", r.not_before) == request_result::began);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(r.name, r.expected, domains.may_receive("a", r.owner, start + r.at));
            CPPUNIT_ASSERT_MESSAGE("another domain", domains.may_receive("b", r.owner, start + r.at));
        }
        CPPUNIT_ASSERT(owner_period_of(milliseconds{1'000}) == milliseconds{750});
    }

    void a_repeated_request_extends_nothing() {
        evacuated_domains domains;
        domains.request("a", start);
        CPPUNIT_ASSERT(domains.request("a", start + milliseconds{3'000}) == request_result::in_force_already);
        CPPUNIT_ASSERT(!domains.may_receive("a", true, start + milliseconds{3'750}));
        domains.request("a", start - milliseconds{1'000});
        CPPUNIT_ASSERT(!domains.may_receive("a", true, start + milliseconds{2'750}));
        // A new evacuation after a withdrawal has a time of its own.
        domains.withdraw("a", start + milliseconds{4'000}, 0.5);
        CPPUNIT_ASSERT(domains.request("a", start + milliseconds{4'100}) == request_result::began);
        CPPUNIT_ASSERT(domains.may_receive("a", true, start + milliseconds{4'200}));
        CPPUNIT_ASSERT(!domains.may_receive("a", false, start + milliseconds{9'999}));
    }

    void names_of_any_kind_do_no_harm() {
        const std::string bad[] = {
            "", " ", "a b", std::string("a\0b", 3), "\n", "\xff\xfe", std::string(254, 'x')};
        evacuated_domains domains({}, {"known"});
        for (const auto& name : bad) {
            CPPUNIT_ASSERT(domains.request(name, start) == request_result::ignored);
            CPPUNIT_ASSERT(!domains.withdraw(name, start, 0));
        }
        CPPUNIT_ASSERT(domains.unrestricted());
        std::size_t kept = 0;
        for (int i = 0; i < 100'000; ++i) {
            kept += domains.request("n" + std::to_string(i), start) == request_result::began ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(evacuation_settings{}.max_unknown_domains, kept);
        CPPUNIT_ASSERT_MESSAGE("a domain of the settings has room",
                               domains.request("known", start) == request_result::began);
        domains.withdraw("n0", start, 0);
        CPPUNIT_ASSERT_MESSAGE("room is free again", domains.request("z", start) == request_result::began);
    }

    void nothing_is_sent_before_the_first_list() {
        pool_fixture f;
        f.domains->await_list();
        CPPUNIT_ASSERT(f.choose(start).server.empty() && f.choose(start).evacuated);
        CPPUNIT_ASSERT(f.pool.check("a1", {}, start).server.empty());
        const auto changed = f.domains->replace({"b", ""}, never, start, 0);
        CPPUNIT_ASSERT(changed.began == std::vector<std::string>{"b"});
        CPPUNIT_ASSERT(changed.ignored == std::vector<std::string>{""});
        CPPUNIT_ASSERT((f.chosen_domains(start) == std::set<std::string>{"a", "c"}));
        CPPUNIT_ASSERT(f.pool.check("b1", {}, start).server.empty());
    }

    void lists_and_changes_lead_to_the_same_set() {
        CPPUNIT_ASSERT(rc::check("a list read after any changes leads to what the changes lead to",
                                 [](const std::vector<std::pair<std::uint8_t, bool>>& steps) {
                                     evacuated_domains by_changes;
                                     evacuated_domains by_list;
                                     std::set<std::string> current;
                                     auto now = start;
                                     for (const auto& [number, evacuate] : steps) {
                                         const auto name = "d" + std::to_string(number % 6);
                                         now += milliseconds{100};
                                         if (evacuate) {
                                             current.insert(name);
                                             by_changes.request(name, now);
                                         } else {
                                             current.erase(name);
                                             by_changes.withdraw(name, now, 0.5);
                                         }
                                         if (number % 3 == 0) {
                                             by_list.replace({current.begin(), current.end()}, now, now, 0.5);
                                         }
                                     }
                                     by_list.replace({current.begin(), current.end()}, now, now, 0.5);
                                     std::set<std::string> result;
                                     for (const auto& [domain, since] : by_changes.evacuated()) {
                                         RC_ASSERT(by_list.contains(domain));
                                         result.insert(domain);
                                     }
                                     RC_ASSERT(result == current);
                                     RC_ASSERT(by_list.evacuated().size() == current.size());
                                 }));
    }

    void instances_return_at_different_times() {
        constexpr int instances = 100;
        std::map<std::int64_t, int> returned; // By tenth of a second.
        for (int i = 0; i < instances; ++i) {
            pool_fixture f;
            f.servers = {server_in("b", "b1")};
            f.update();
            f.domains->request("b", start);
            f.domains->withdraw("b", start, static_cast<double>(i) / instances);
            auto now = start;
            while (f.choose(now).server.empty()) {
                CPPUNIT_ASSERT_MESSAGE("the end of the wait is known",
                                       f.choose(now).retry_after <= milliseconds{1'000});
                now += milliseconds{1};
            }
            ++returned[milliseconds_between(start, now) / 100];
            CPPUNIT_ASSERT_MESSAGE("an owner is used at once", f.pool.check("b1", {}, start).server == "b1");
            // The first request is alone; a second one follows as the limit rises.
            f.pool.attempt_started("b1", now);
            CPPUNIT_ASSERT(f.choose(now).server.empty());
            CPPUNIT_ASSERT(!f.choose(now + milliseconds{500}).server.empty());
        }
        for (const auto& [tenth, count] : returned) {
            CPPUNIT_ASSERT_MESSAGE("at most a fifth of the instances in a tenth of a second",
                                   count <= instances / 5);
        }
    }

    void servers_in_evacuated_domains_are_not_chosen() {
        pool_fixture f;
        f.domains->request("a", start);
        CPPUNIT_ASSERT((f.chosen_domains(start) == std::set<std::string>{"b", "c"}));
        f.domains->request("c", start);
        CPPUNIT_ASSERT((pool_fixture(f.domains).chosen_domains(start) == std::set<std::string>{"b"}));
        CPPUNIT_ASSERT(f.pool.check("a1", {}, start + milliseconds{3'749}).server == "a1");
        const auto late = f.pool.check("a1", {}, start + milliseconds{3'750});
        CPPUNIT_ASSERT(late.server.empty() && late.evacuated && late.retry_after > milliseconds{0});
    }

    void requests_without_another_server_are_refused_as_evacuated() {
        pool_fixture f;
        f.domains->request("a", start);
        f.domains->request("b", start);
        CPPUNIT_ASSERT(!f.choose(start).evacuated && !f.pool.all_evacuated(start + milliseconds{9'000}));
        f.domains->request("c", start);
        const auto refused = f.choose(start);
        CPPUNIT_ASSERT(refused.server.empty() && refused.evacuated && refused.retry_after > milliseconds{0});
        CPPUNIT_ASSERT_MESSAGE("owners still serve", !f.pool.all_evacuated(start + milliseconds{3'749}));
        CPPUNIT_ASSERT(f.pool.all_evacuated(start + milliseconds{3'750}));
        // A server that leaves is no other server; one without capacity is.
        f.domains->withdraw("c", start, 0);
        for (auto& b : f.servers) {
            b.draining = b.failure_domain == "c";
        }
        f.update();
        CPPUNIT_ASSERT(f.choose(start + milliseconds{5'000}).evacuated);
        pool_fixture none;
        none.servers.clear();
        none.update();
        CPPUNIT_ASSERT(!none.choose(start).evacuated && !none.pool.all_evacuated(start));
    }

    void no_server_gets_a_request_that_the_rules_forbid() {
        CPPUNIT_ASSERT(
            rc::check("random evacuations, withdrawals and lists",
                      [](const std::vector<std::pair<std::uint8_t, std::uint16_t>>& steps) {
                          pool_fixture f;
                          std::map<std::string, time_point> model; // Evacuated domains by the rules.
                          auto now = start;
                          for (const auto& [what, wait] : steps) {
                              now += milliseconds{wait % 2'000};
                              const std::string domain(1, static_cast<char>('a' + what % 3));
                              const auto not_before = now - milliseconds{wait % 700};
                              if (what % 7 < 4) {
                                  f.domains->request(domain, not_before);
                                  const auto known = model.emplace(domain, not_before).first;
                                  known->second = std::min(known->second, not_before);
                              } else {
                                  f.domains->withdraw(domain, now, 0.3);
                                  model.erase(domain);
                              }
                              const auto chosen = f.choose(now).server;
                              RC_ASSERT(chosen.empty() || !model.contains(chosen.substr(0, 1)));
                              RC_ASSERT(!chosen.empty() || model.size() == 3 || !f.domains->unrestricted());
                              for (const auto& [name, since] : model) {
                                  const bool served = !f.pool.check(name + "1", {}, now).server.empty();
                                  RC_ASSERT(served == (now - since < milliseconds{3'750}));
                                  RC_ASSERT(f.pool.may_send(name + "1", true, now) == served);
                                  RC_ASSERT(!f.pool.may_send(name + "1", false, now));
                              }
                          }
                      }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuated_domains_test);

} // namespace balsampost::core::evacuation
