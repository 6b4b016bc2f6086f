// Tests the tenure of a coordinator, and what its successor may do and when.
#include "key_coordinator_environment.h"

namespace balsampost::core {

using namespace coordinator_environment;

class key_succession_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(key_succession_test);
    CPPUNIT_TEST(orders_end_with_the_tenure);
    CPPUNIT_TEST(successor_waits_for_the_tenure_to_expire);
    CPPUNIT_TEST(refused_tenure_writes_back_off);
    CPPUNIT_TEST(successor_renews_the_same_grants);
    CPPUNIT_TEST(successor_reaches_unlisted_servers);
    CPPUNIT_TEST(successor_counts_holds_from_the_last_possible_order);
    CPPUNIT_TEST(tenure_reads_back_off_while_the_store_fails);
    CPPUNIT_TEST(initial_tenure_read_is_delayed);
    CPPUNIT_TEST_SUITE_END();

    void orders_end_with_the_tenure() {
        auto w = with_servers(2);
        auto c = coordinator("a@1");
        c.update_servers(w.listed(), w.now);
        w.run(c, seconds{3});
        w.store_silent = true;
        w.run(c, milliseconds{2'100});
        CPPUNIT_ASSERT(!c.leads(w.now));
        w.grants.clear();
        w.run(c, seconds{5});
        CPPUNIT_ASSERT(w.grants.empty());
    }

    void successor_waits_for_the_tenure_to_expire() {
        auto w = with_servers(2);
        auto first = coordinator("a@1");
        first.update_servers(w.listed(), w.now);
        w.run(first, seconds{3});
        auto second = coordinator("b@1");
        second.update_servers(w.listed(), w.now);
        const auto silent_from = w.now;
        w.step_until_idle(second);
        while (!second.leads(w.now)) {
            w.step_until_idle(second);
            w.now += milliseconds{20};
        }
        const coordinator_settings defaults;
        CPPUNIT_ASSERT(w.now - silent_from >= defaults.tenure);
        CPPUNIT_ASSERT(w.now - silent_from < defaults.tenure + seconds{1});
        CPPUNIT_ASSERT(!first.leads(w.now));
    }

    /// Without backoff, 70 instances tried to take a free tenure every 10 ms: 13,000 store calls in 6 s.
    void refused_tenure_writes_back_off() {
        auto w = with_servers(2);
        w.store_refuses_writes = true;
        auto c = coordinator("a@1");
        c.update_servers(w.listed(), w.now);
        w.run(c, seconds{12});
        CPPUNIT_ASSERT(w.refused_writes >= 8);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(w.refused_writes), w.refused_writes <= 14);
        w.store_refuses_writes = false;
        const coordinator_settings defaults;
        w.run(c, defaults.max_store_backoff + milliseconds{50});
        CPPUNIT_ASSERT(c.leads(w.now));
    }

    void successor_renews_the_same_grants() {
        auto w = with_servers(2);
        auto first = coordinator("a@1");
        first.update_servers(w.listed(), w.now);
        w.run(first, seconds{3});
        const auto ranges = first.effective_table().ranges;
        auto second = coordinator("b@1");
        second.update_servers(w.listed(), w.now);
        w.grants.clear();
        w.run(second, seconds{4});
        CPPUNIT_ASSERT(second.leads(w.now));
        CPPUNIT_ASSERT(ranges == second.effective_table().ranges);
        CPPUNIT_ASSERT(w.releases.empty());
        CPPUNIT_ASSERT(!w.grants.empty());
    }

    /// A successor once sent orders for an owner that was no longer listed to an empty address.
    void successor_reaches_unlisted_servers() {
        auto w = with_servers(3);
        auto first = coordinator("a@1");
        first.update_servers(w.listed(), w.now);
        w.run(first, seconds{3});
        w.servers.pop_back();
        auto second = coordinator("b@1");
        second.update_servers(w.listed(), w.now);
        w.run(second, seconds{4});
        CPPUNIT_ASSERT(!w.releases.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("s2"), w.releases.front().to.id);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{8002}, w.releases.front().at.port);
    }

    /// After a long outage of the store, the grants of the earlier coordinator have already expired.
    void successor_counts_holds_from_the_last_possible_order() {
        auto w = with_servers(3);
        auto first = coordinator("a@1");
        first.update_servers(w.listed(), w.now);
        w.run(first, seconds{3});
        auto second = coordinator("b@1");
        second.update_servers(w.listed(), w.now);
        w.step_until_idle(second);
        w.store_silent = true;
        w.now += seconds{11};
        w.store_silent = false;
        const auto lost = w.servers[0].self;
        w.silent_servers.insert(lost.id);
        second.tenure_read_failed(w.now);
        const auto from = w.now;
        while (!second.leads(w.now)) {
            w.step_until_idle(second);
            w.now += milliseconds{20};
            CPPUNIT_ASSERT(w.now < from + seconds{5});
        }
        until_owned_elsewhere(w, second, lost);
        CPPUNIT_ASSERT(w.now - from <= seconds{4});
    }

    void tenure_reads_back_off_while_the_store_fails() {
        auto c = coordinator("a@1");
        auto now = start;
        std::size_t reads = 0;
        while (now < start + seconds{12}) {
            for (const auto& action : c.step(now)) {
                if (std::holds_alternative<read_tenure>(action)) {
                    ++reads;
                    c.tenure_read_failed(now);
                }
            }
            now += milliseconds{5};
        }
        CPPUNIT_ASSERT(reads >= 8 && reads <= 15);
    }

    void initial_tenure_read_is_delayed() {
        coordinator_settings settings;
        settings.initial_read_delay = milliseconds{500};
        key_coordinator c(settings, "beds", "a@1", {"10.0.0.9", 7000}, start);
        CPPUNIT_ASSERT(c.step(start + milliseconds{499}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, c.step(start + milliseconds{500}).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_succession_test);

} // namespace balsampost::core
