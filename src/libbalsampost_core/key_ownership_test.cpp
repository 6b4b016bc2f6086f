// Randomized simulation of coordinators, a store and servers (key_ownership_simulation.h): no second owner,
// and two owners as soon as a safety rule is switched off.
#include "key_ownership_simulation.h"

#include <iostream>

namespace balsampost::core {

using namespace ownership_walk;

class key_ownership_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(key_ownership_test);
    CPPUNIT_TEST(simulations_find_no_second_owner);
    CPPUNIT_TEST(seeds_that_once_failed_find_no_second_owner);
    CPPUNIT_TEST(each_disabled_rule_leads_to_a_second_owner);
    CPPUNIT_TEST(all_keys_are_held_again_after_the_last_fault);
    CPPUNIT_TEST_SUITE_END();

    void simulations_find_no_second_owner() {
        constexpr std::uint64_t seeds = 80;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            check_seed(seed, false);
            check_seed(seed, true);
            check_seed(seed, seed % 2 == 0, true);
        }
    }

    void seeds_that_once_failed_find_no_second_owner() {
        constexpr std::uint64_t seeds[] = {
            1481, // An unanswered grant, whose hold a release had ended, hid the hold of a later grant.
        };
        for (const auto seed : seeds) {
            check_seed(seed, false);
        }
    }

    static void check_seed(std::uint64_t seed, bool replaces_servers, bool evacuates = false) {
        simulation w(seed, {{}, replaces_servers, false, evacuates});
        const auto key = w.run(simulation_length);
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " key " + std::to_string(key.value_or(0)),
                               !key);
        CPPUNIT_ASSERT(w.ever_held());
    }

    /// Guards against changes that are planned once and lost with the write of their table: a coordinator
    /// that keeps its tenure and grants nothing, or not all keys.
    void all_keys_are_held_again_after_the_last_fault() {
        constexpr std::uint64_t seeds = 120;
        // The longest hold, late orders and requests that may still run, and a plan after them.
        constexpr seconds max_recovery{30};
        std::string unrecovered;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            simulation w(seed, {{}, seed % 3 == 1, false, seed % 3 == 2, true});
            CPPUNIT_ASSERT(!w.run(seconds{30}));
            if (const auto key = w.settle(max_recovery)) {
                unrecovered += " seed " + std::to_string(seed) + " key " + std::to_string(*key);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), unrecovered);
    }

    void each_disabled_rule_leads_to_a_second_owner() {
        struct row {
            const char* name;
            bool key_coordinator_rules::*rule;
            bool replaces_servers = false;
            bool evacuates = false;
        };
        constexpr row rows[] = {
            {"wait_for_tenure_end", &key_coordinator_rules::wait_for_tenure_end},
            {"stop_at_tenure_end", &key_coordinator_rules::stop_at_tenure_end},
            {"wait_out_inherited_grants", &key_coordinator_rules::wait_out_inherited_grants},
            {"assume_unanswered_granted", &key_coordinator_rules::assume_unanswered_granted},
            {"clear_previous_owners", &key_coordinator_rules::clear_previous_owners},
            {"only_later_start_ends_a_server", &key_coordinator_rules::only_later_start_ends_a_server, true},
            {"clear_previous_owners, evacuated", &key_coordinator_rules::clear_previous_owners, false, true},
            {"assume_unanswered_granted, evacuated", &key_coordinator_rules::assume_unanswered_granted, false,
             true},
        };
        constexpr std::uint64_t max_seed = 150;
        std::string undetected;
        for (const auto& r : rows) {
            key_coordinator_rules rules;
            rules.*r.rule = false;
            const auto seed = first_violation({rules, r.replaces_servers, false, r.evacuates}, max_seed);
            std::cout << " [" << r.name << ": seed " << seed << "] ";
            undetected += seed == 0 ? std::string(r.name) + " " : "";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), undetected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_ownership_test);

} // namespace balsampost::core
