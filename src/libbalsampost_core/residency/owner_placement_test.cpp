// Guards against owners of keys outside the regions of a service's routes, against keys that are moved out of
// a lost region, and against moves without release and handover when a manifest narrows the regions.
#include "balsampost/core/key_coordinator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace balsampost::core::residency {

namespace {

using std::chrono::seconds;

constexpr time_point start{seconds{1000}};
const std::map<std::string, std::string> regions{{"n", "north"}, {"s", "south"}, {"e", "east"}};

/// A coordinator whose store and servers answer at once. Servers that are not running refuse connections.
struct fixture {
    explicit fixture(const std::vector<std::string>& ids) {
        for (const auto& id : ids) {
            add(id);
        }
        list();
    }

    /// The first letter of the id is the failure domain.
    void add(const std::string& id, std::int64_t started_ms = 100) {
        backend b;
        b.self = {id, started_ms};
        b.service = "beds";
        b.address = {"10.0.0.1", static_cast<std::uint16_t>(8000 + ++m_last_port)};
        b.failure_domain = id.substr(0, 1);
        b.slots = 6;
        servers[id] = b;
    }
    void list() {
        std::vector<const backend*> listed;
        for (const auto& [id, b] : servers) {
            listed.push_back(&b);
        }
        coordinator.update_servers(listed, now);
    }
    void limit(const std::vector<std::string>& list) {
        coordinator.limit_owner_regions(intersection_of({list}), regions);
    }
    /// All servers of a failure domain end; their entries expire a second later.
    void lose(char domain) {
        for (const auto& [id, b] : servers) {
            if (id[0] == domain) {
                ended.insert(id);
            }
        }
        run(seconds{1});
        std::erase_if(servers, [&](const auto& s) { return ended.contains(s.first); });
        list();
    }

    void handle(key_coordinator& c, const read_tenure&) { c.tenure_read(tenure_revision, tenure, now); }
    void handle(key_coordinator& c, const write_tenure& a) {
        tenure = a.record;
        c.tenure_written(write_outcome::done, ++tenure_revision, now, now);
    }
    void handle(key_coordinator& c, const read_table&) { c.table_read(table_revision, table, now); }
    void handle(key_coordinator& c, const write_table& a) {
        table = a.table;
        moves += a.moves;
        c.table_written(write_outcome::done, ++table_revision, now);
    }
    bool reached(key_coordinator& c, const incarnation& to) {
        const bool refused = ended.contains(to.id);
        if (refused) {
            c.server_refused(to, now);
        }
        return !refused;
    }
    void handle(key_coordinator& c, const probe_server& a) { c.probe_ended(a.to, reached(c, a.to), now); }
    void handle(key_coordinator& c, const send_grant& a) {
        const bool ok = reached(c, a.to);
        if (ok) {
            grants.push_back(a);
        }
        c.grant_ended(a.order, ok ? order_outcome::done : order_outcome::not_sent, now);
    }
    void handle(key_coordinator& c, const send_release& a) {
        const bool ok = reached(c, a.to);
        if (ok) {
            released.insert(a.to.id);
        }
        c.release_ended(a.order, ok ? order_outcome::done : order_outcome::not_sent, ok ? "state" : "", now);
    }
    void run(milliseconds length) {
        for (const auto end = now + length; now < end; now += milliseconds{20}) {
            for (const auto& action : coordinator.step(now)) {
                std::visit([this](const auto& a) { handle(coordinator, a); }, action);
            }
        }
    }

    /// Failure domains of the owners in the table, each once.
    std::string domains() const {
        std::set<char> out;
        for (const auto& r : coordinator.effective_table().ranges) {
            out.insert(r.owner.empty() ? '-' : r.owner.id[0]);
        }
        return {out.begin(), out.end()};
    }
    bool settled() const {
        const auto& ranges = coordinator.effective_table().ranges;
        return std::none_of(ranges.begin(), ranges.end(), [](const key_range& r) { return r.moving(); });
    }

    time_point now = start;
    std::map<std::string, backend> servers;
    std::set<std::string> ended;
    std::uint64_t tenure_revision = 0;
    std::optional<tenure_record> tenure;
    std::uint64_t table_revision = 0;
    std::optional<key_table> table;
    std::size_t moves = 0;
    std::vector<send_grant> grants;
    std::set<std::string> released;
    key_coordinator coordinator{{}, "beds", "a@1", {"10.0.0.9", 7000}, start};

private:
    int m_last_port = 0;
};

} // namespace

class owner_placement_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(owner_placement_test);
    CPPUNIT_TEST(first_owners_are_inside);
    CPPUNIT_TEST(narrowed_regions_move_keys_by_release_and_handover);
    CPPUNIT_TEST(lost_region_moves_keys_within_the_limit);
    CPPUNIT_TEST(keys_of_a_lost_region_wait_if_it_was_the_only_one);
    CPPUNIT_TEST(keys_of_a_lost_region_wait_under_a_successor);
    CPPUNIT_TEST(limit_without_servers_allows_owners_anywhere);
    CPPUNIT_TEST(leaving_server_hands_over_within_the_limit);
    CPPUNIT_TEST_SUITE_END();

    void first_owners_are_inside() {
        struct row {
            std::vector<std::string> list;
            const char* domains;
        };
        const row rows[] = {
            {{}, "ens"},           {{"north"}, "n"},     {{"north", "south"}, "ns"},
            {{"north", "x"}, "n"}, {{"unknown"}, "ens"}, {{""}, "ens"},
        };
        for (const auto& r : rows) {
            fixture f({"n1", "n2", "s1", "e1"});
            f.limit(r.list);
            f.run(seconds{5});
            CPPUNIT_ASSERT_EQUAL(std::string(r.domains), f.domains());
        }
    }

    void narrowed_regions_move_keys_by_release_and_handover() {
        fixture f({"n1", "n2", "s1", "e1"});
        f.run(seconds{4});
        CPPUNIT_ASSERT_EQUAL(std::string("ens"), f.domains());
        f.grants.clear();
        f.limit({"north", "east"});
        f.run(milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(std::string("en"), f.domains());
        CPPUNIT_ASSERT_MESSAGE("moved at once, by release", f.settled());
        CPPUNIT_ASSERT((f.released == std::set<std::string>{"s1"}));
        CPPUNIT_ASSERT_MESSAGE("the handover is passed on",
                               std::any_of(f.grants.begin(), f.grants.end(),
                                           [](const send_grant& g) { return g.handover == "state"; }));
        f.run(seconds{5});
        CPPUNIT_ASSERT_MESSAGE("no load moves keys back", f.domains() == "en");
        f.limit({});
        f.run(seconds{5});
        CPPUNIT_ASSERT_MESSAGE("a widened limit lets the others own keys again", f.domains() == "ens");
    }

    void lost_region_moves_keys_within_the_limit() {
        fixture f({"n1", "n2", "s1", "e1"});
        f.limit({"north", "south"});
        f.run(seconds{4});
        f.lose('n');
        f.run(seconds{6});
        CPPUNIT_ASSERT_EQUAL(std::string("s"), f.domains());
        CPPUNIT_ASSERT(f.settled());
    }

    void keys_of_a_lost_region_wait_if_it_was_the_only_one() {
        fixture f({"n1", "n2", "s1", "e1"});
        f.limit({"north"});
        f.run(seconds{4});
        f.grants.clear();
        f.lose('n');
        f.run(seconds{15});
        CPPUNIT_ASSERT_EQUAL(std::string("n"), f.domains());
        CPPUNIT_ASSERT_MESSAGE("nobody else is granted the keys",
                               std::all_of(f.grants.begin(), f.grants.end(),
                                           [](const send_grant& g) { return g.to.id[0] == 'n'; }));
        f.ended.clear();
        f.add("n1", 200);
        f.list();
        f.run(seconds{5});
        CPPUNIT_ASSERT(f.settled());
        for (const auto& r : f.coordinator.effective_table().ranges) {
            CPPUNIT_ASSERT((r.owner == incarnation{"n1", 200}));
        }
        f.limit({"north", "east"}); // A widened limit frees the keys of a lost region.
        f.lose('n');
        f.run(seconds{6});
        CPPUNIT_ASSERT_EQUAL(std::string("e"), f.domains());
    }

    /// The region was lost together with the coordinator, and the successor never saw the owners.
    void keys_of_a_lost_region_wait_under_a_successor() {
        fixture f({"n1", "s1", "e1"});
        f.limit({"north"});
        f.run(seconds{4});
        f.servers.erase("n1");
        f.ended.insert("n1");
        f.coordinator = key_coordinator({}, "beds", "b@1", {"10.0.0.9", 7001}, f.now);
        f.list();
        f.limit({"north"});
        f.run(seconds{15});
        CPPUNIT_ASSERT(f.coordinator.leads(f.now));
        CPPUNIT_ASSERT_EQUAL(std::string("n"), f.domains());
    }

    /// Also: while the limit cannot be kept, the keys of a lost owner still find another one.
    void limit_without_servers_allows_owners_anywhere() {
        fixture f({"s1", "s2", "e1"});
        f.run(seconds{4});
        f.limit({"north"});
        f.moves = 0;
        f.run(seconds{3});
        CPPUNIT_ASSERT_EQUAL(std::string("es"), f.domains());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.moves);
        CPPUNIT_ASSERT(f.coordinator.owner_regions_unserved());
        f.lose('e');
        f.run(seconds{6});
        CPPUNIT_ASSERT_EQUAL(std::string("s"), f.domains());
        CPPUNIT_ASSERT(f.settled());
        f.add("n1");
        f.list();
        f.run(seconds{3});
        CPPUNIT_ASSERT_MESSAGE("the first server inside gets all keys", f.domains() == "n" && f.settled());
        CPPUNIT_ASSERT(!f.coordinator.owner_regions_unserved());
    }

    void leaving_server_hands_over_within_the_limit() {
        fixture f({"n1", "n2", "s1"});
        f.limit({"north"});
        f.run(seconds{4});
        f.servers.at("n1").draining = true;
        f.list();
        f.run(seconds{2});
        CPPUNIT_ASSERT(f.settled() && f.domains() == "n" && f.released.contains("n1"));
        f.servers.at("n2").draining = true; // The last one: its keys wait with it.
        f.list();
        f.run(seconds{5});
        CPPUNIT_ASSERT_EQUAL(std::string("n"), f.domains());
        CPPUNIT_ASSERT(!f.released.contains("n2"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(owner_placement_test);

} // namespace balsampost::core::residency
