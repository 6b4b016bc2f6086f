// Tests when the keys of servers that leave, end, fall silent or cannot be reached move to others.
#include "key_coordinator_environment.h"

namespace balsampost::core {

using namespace coordinator_environment;

class key_owner_loss_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(key_owner_loss_test);
    CPPUNIT_TEST(draining_server_is_released_with_handover);
    CPPUNIT_TEST(keys_of_a_silent_server_move_after_its_hold);
    CPPUNIT_TEST(keys_of_an_ended_server_move_at_once);
    CPPUNIT_TEST(server_of_another_service_at_the_address_ends_a_server);
    CPPUNIT_TEST(refused_connection_does_not_end_holds);
    CPPUNIT_TEST(keys_move_only_to_reachable_servers);
    CPPUNIT_TEST(recovered_server_gets_keys_again);
    CPPUNIT_TEST_SUITE_END();

    void draining_server_is_released_with_handover() {
        auto w = with_servers(3);
        auto c = coordinator("a@1");
        c.update_servers(w.listed(), w.now);
        w.run(c, seconds{3});
        w.servers[0].draining = true;
        c.update_servers(w.listed(), w.now);
        w.grants.clear();
        w.run(c, milliseconds{100});
        CPPUNIT_ASSERT(!w.releases.empty());
        const auto moved =
            std::find_if(w.grants.begin(), w.grants.end(), [](const auto& g) { return !g.handover.empty(); });
        CPPUNIT_ASSERT(moved != w.grants.end());
        CPPUNIT_ASSERT_EQUAL(w.handover, moved->handover);
        CPPUNIT_ASSERT(std::none_of(c.effective_table().ranges.begin(), c.effective_table().ranges.end(),
                                    [](const auto& r) { return r.owner.id == "s0" || r.moving(); }));
    }

    void keys_of_a_silent_server_move_after_its_hold() {
        auto w = with_servers(3);
        auto c = coordinator("a@1");
        c.update_servers(w.listed(), w.now);
        w.run(c, seconds{3});
        const auto lost = w.servers.back().self;
        w.silent_servers.insert(lost.id);
        const auto silent_from = w.now;
        const auto last_grant =
            std::count_if(w.grants.begin(), w.grants.end(), [&](const auto& g) { return g.to == lost; });
        CPPUNIT_ASSERT(last_grant > 0);
        w.servers.pop_back(); // The entry is removed, which does not show that the server has ended.
        c.update_servers(w.listed(), w.now);
        bool owned_elsewhere = false;
        while (!owned_elsewhere) {
            w.step_until_idle(c);
            const auto& ranges = c.effective_table().ranges;
            owned_elsewhere =
                std::none_of(ranges.begin(), ranges.end(), [](const auto& r) { return r.moving(); }) &&
                std::none_of(ranges.begin(), ranges.end(), [&](const auto& r) { return r.owner == lost; });
            w.now += milliseconds{20};
        }
        const coordinator_settings defaults;
        CPPUNIT_ASSERT(w.now - silent_from >= defaults.hold - defaults.min_grant_renew_interval);
        CPPUNIT_ASSERT(w.now - silent_from <= defaults.hold + seconds{1});
    }

    void keys_of_an_ended_server_move_at_once() {
        auto w = with_servers(3);
        auto c = coordinator("a@1");
        c.update_servers(w.listed(), w.now);
        w.run(c, seconds{3});
        const auto lost = w.servers[1].self;
        w.silent_servers.insert(lost.id);
        // A later server listens at its address.
        w.servers[1].self = {"s9", lost.started_ms + 5};
        c.update_servers(w.listed(), w.now);
        w.run(c, milliseconds{100});
        const auto& ranges = c.effective_table().ranges;
        CPPUNIT_ASSERT(std::none_of(ranges.begin(), ranges.end(),
                                    [&](const auto& r) { return r.owner == lost || r.moving(); }));
    }

    /// The address of a server that ended went to a server of another service, which answered each release
    /// with 400. The coordinator knew the servers of its own service only, so the moves never ended.
    void server_of_another_service_at_the_address_ends_a_server() {
        struct row {
            const char* name;
            std::int64_t started_after_ms; // Start of the other service's server, after the owner's.
            bool same_address;
            bool ends;
        };
        constexpr row rows[] = {
            {"later, same address", 5'000, true, true},
            {"earlier, same address", -5'000, true, false},
            {"same start, same address", 0, true, false},
            {"later, another address", 5'000, false, false},
        };
        for (const auto& r : rows) {
            auto w = with_servers(3);
            auto c = coordinator("a@1");
            c.update_servers(w.listed(), w.now);
            w.run(c, seconds{3});
            const auto owner = w.servers[1];
            w.refusing_servers.insert(owner.self.id);
            w.servers.erase(w.servers.begin() + 1);
            auto other = owner;
            other.service = "documents";
            other.self = {"d1", owner.self.started_ms + r.started_after_ms};
            other.address.port = r.same_address ? owner.address.port : std::uint16_t{9000};
            w.servers.push_back(other);
            c.update_servers(w.listed(), w.now);
            w.run(c, milliseconds{100});
            const auto& ranges = c.effective_table().ranges;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                r.name, r.ends,
                std::none_of(ranges.begin(), ranges.end(), [](const auto& range) { return range.moving(); }));
            CPPUNIT_ASSERT_MESSAGE(r.name, std::none_of(ranges.begin(), ranges.end(), [&](const auto& range) {
                                       return range.owner == other.self;
                                   }));
        }
    }

    /// A network partition may refuse connections, and so does a server that has closed its listener while
    /// its last requests run. A refusal was once taken as proof that the server holds no keys.
    void refused_connection_does_not_end_holds() {
        auto w = with_servers(3);
        auto c = coordinator("a@1");
        c.update_servers(w.listed(), w.now);
        w.run(c, seconds{3});
        const auto lost = w.servers[1].self;
        const auto last_grant = w.now;
        w.refusing_servers.insert(lost.id);
        c.server_refused(lost, w.now);
        w.grants.clear();
        const coordinator_settings defaults;
        // The last grant is at most one renewal interval old.
        w.run(c, defaults.hold - defaults.min_grant_renew_interval - milliseconds{50});
        for (const auto& g : w.grants) {
            CPPUNIT_ASSERT(g.fence <= 1);
        }
        CPPUNIT_ASSERT(w.now < last_grant + defaults.hold);
        until_owned_elsewhere(w, c, lost);
        CPPUNIT_ASSERT(w.now - last_grant <= defaults.hold + milliseconds{350});
    }

    /// Keys of lost servers once moved to listed servers that did not answer orders either, so the keys had
    /// to wait a second time.
    void keys_move_only_to_reachable_servers() {
        auto w = with_servers(6);
        auto c = coordinator("a@1");
        c.update_servers(w.listed(), w.now);
        w.run(c, seconds{3});
        const auto lost = w.servers[0].self;
        w.silent_servers = {"s0", "s1", "s2"};
        const coordinator_settings defaults;
        const auto took = until_owned_elsewhere(w, c, lost);
        CPPUNIT_ASSERT(took <= defaults.hold + seconds{1});
        w.run(c, seconds{1});
        for (const auto& r : c.effective_table().ranges) {
            CPPUNIT_ASSERT(!w.silent_servers.contains(r.owner.id));
        }
    }

    void recovered_server_gets_keys_again() {
        auto w = with_servers(4);
        auto c = coordinator("a@1");
        c.update_servers(w.listed(), w.now);
        w.run(c, seconds{3});
        const auto lost = w.servers[0].self;
        w.refusing_servers.insert(lost.id);
        until_owned_elsewhere(w, c, lost);
        w.run(c, seconds{2});
        CPPUNIT_ASSERT(w.probes >= 2);
        w.refusing_servers.clear();
        w.run(c, seconds{3});
        CPPUNIT_ASSERT(std::any_of(c.effective_table().ranges.begin(), c.effective_table().ranges.end(),
                                   [&](const auto& r) { return r.owner == lost; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_owner_loss_test);

} // namespace balsampost::core
