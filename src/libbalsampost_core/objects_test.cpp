// Tests of parsing and checking the operators' objects, of route matching, versioned sets and the planner.
#include "balsampost/core/objects.h"
#include "balsampost/core/placement.h"
#include "balsampost/core/versioned_set.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace balsampost::core {

namespace {

const std::string valid_set =
    "[region r1]\nfailure_domains = a b\nstore = yes\n[region r2]\nfailure_domains = c\n"
    "[profile p]\nw_unavailable = 1\nw_churn = 1\nw_imbalance = 1\n"
    "[placement all]\nregions = r1 r2\n"
    "[service s]\ndivided_by_key = yes\nslices = 8\nslots = 2\nconnections = 4\nplacement = all\n"
    "profile = p\n"
    "[route get]\npath = /x/{key}\nmethods = GET\nservice = s\nidempotent = yes\n";

tl::expected<object_set, std::vector<ini_error>> parse(const std::string& text) {
    const std::vector<object_file> files{{"f.ini", text}};
    return parse_objects(files);
}

} // namespace

class objects_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(objects_test);
    CPPUNIT_TEST(valid_set_is_accepted);
    CPPUNIT_TEST(errors_name_file_section_and_key);
    CPPUNIT_TEST(all_errors_are_reported_together);
    CPPUNIT_TEST(most_specific_route_wins);
    CPPUNIT_TEST(endpoints_are_parsed);
    CPPUNIT_TEST(merge_converges_and_never_lowers_a_version);
    CPPUNIT_TEST(planner_respects_limits);
    CPPUNIT_TEST_SUITE_END();

    void valid_set_is_accepted() {
        const auto set = parse(valid_set);
        CPPUNIT_ASSERT(set);
        CPPUNIT_ASSERT_EQUAL(8U, set->services.at("s").slices);
        CPPUNIT_ASSERT(set->profile_of(set->services.at("s")).lease_length == milliseconds(500));
    }

    void errors_name_file_section_and_key() {
        struct row {
            const char* added;
            const char* section;
            const char* key;
        };
        const std::vector<row> rows{
            {"[planet x]\na = 1\n", "planet x", ""},
            {"[region]\nfailure_domains = z\n", "region", ""},
            {"[region r3]\nfailure_domains = a\n", "region r3", "failure_domains"},
            {"[region r3]\nfailure_domains = z\nstore = yes\n", "region r1", "store"},
            {"[region r3]\nfailure_domains = z\ncolour = red\n", "region r3", "colour"},
            {"[placement x]\nregions = nowhere\n", "placement x", "regions"},
            {"[placement x]\nregions = r1\nmax_share_percent = 0\n", "placement x", "max_share_percent"},
            {"[profile q]\nw_unavailable = 1\nw_churn = 1\n", "profile q", "w_imbalance"},
            {"[profile q]\nw_unavailable = 1\nw_churn = 1\nw_imbalance = 1\nsuspect_ms = 150\n", "profile q",
             "suspect_ms"},
            {"[profile q]\nw_unavailable = 1\nw_churn = 1\nw_imbalance = 1\nright_ms = 300\n", "profile q",
             "right_ms"},
            {"[profile q]\nw_unavailable = 1\nw_churn = 1\nw_imbalance = 1\nmargin_ms = 900\n", "profile q",
             "margin_ms"},
            {"[profile q]\nw_unavailable = 1\nw_churn = 1\nw_imbalance = 1\nsolo_ms = 500\n", "profile q",
             "solo_ms"},
            {"[service t]\ndivided_by_key = maybe\nslots = 1\nconnections = 2\nplacement = all\nprofile = "
             "p\n",
             "service t", "divided_by_key"},
            {"[service t]\ndivided_by_key = no\nslots = 1\nconnections = 2\nplacement = gone\nprofile = p\n",
             "service t", "placement"},
            {"[service t]\ndivided_by_key = no\nslots = 1\nconnections = 2\nplacement = all\nprofile = "
             "gone\n",
             "service t", "profile"},
            {"[service t]\ndivided_by_key = yes\nslices = 12\nslots = 1\nconnections = 2\nplacement = "
             "all\nprofile = p\n",
             "service t", "slices"},
            {"[service t]\ndivided_by_key = no\nslots = 5\nconnections = 2\nplacement = all\nprofile = p\n",
             "service t", "connections"},
            {"[service t]\ndivided_by_key = no\nslots = x\nconnections = 2\nplacement = all\nprofile = p\n",
             "service t", "slots"},
            {"[route y]\npath = y\nmethods = GET\nservice = s\nidempotent = yes\n", "route y", "path"},
            {"[route y]\npath = /y\nmethods = GET\nservice = s\nidempotent = yes\n", "route y", "path"},
            {"[route y]\npath = /y/{key}/{key}\nmethods = GET\nservice = s\nidempotent = yes\n", "route y",
             "path"},
            {"[route y]\npath = /y/{*}/{key}\nmethods = GET\nservice = s\nidempotent = yes\n", "route y",
             "path"},
            {"[route y]\npath = /x/{key}\nmethods = GET POST\nservice = s\nidempotent = yes\n", "route get",
             "path"},
            {"[route y]\npath = /y/{key}\nmethods = GET\nservice = gone\nidempotent = yes\n", "route y",
             "service"},
            {"[route y]\npath = /y/{key}\nmethods = GET\nservice = s\nidempotent = yes\nclass = fast\n",
             "route y", "class"},
            {"[budget b]\nbetween = r1 r1\nmegabits_per_second = 1\n", "budget b", "between"},
            {"[budget b]\nbetween = r1 r9\nmegabits_per_second = 1\n", "budget b", "between"},
            {"[budget b]\nbetween = r1 r2\nmegabits_per_second = 1\nreads_percent = 99\n", "budget b",
             "control_percent"},
        };
        for (const auto& r : rows) {
            const auto set = parse(valid_set + r.added);
            CPPUNIT_ASSERT_MESSAGE(r.added, !set);
            const auto& errors = set.error();
            const bool reported = std::any_of(errors.begin(), errors.end(), [&](const auto& f) {
                return f.file == "f.ini" && f.section == r.section && f.key == r.key && !f.reason.empty();
            });
            CPPUNIT_ASSERT_MESSAGE(std::string(r.added) + to_string(errors.front()), reported);
        }
        CPPUNIT_ASSERT_MESSAGE("key outside a section", !parse("a = 1\n" + valid_set));
        CPPUNIT_ASSERT_MESSAGE("same section twice",
                               !parse(valid_set + "[region r1]\nfailure_domains = q\n"));
    }

    void all_errors_are_reported_together() {
        const auto set = parse(valid_set + "[placement x]\nregions = nowhere\n[planet y]\na = 1\n");
        CPPUNIT_ASSERT(!set);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, set.error().size());
    }

    void most_specific_route_wins() {
        const auto set = parse(
            valid_set +
            "[route rest]\npath = /x/{*}\nmethods = GET\nservice = s\nkey_header = K\nidempotent = yes\n"
            "[route fixed]\npath = /x/y\nmethods = GET\nservice = s\nkey_header = K\nidempotent = yes\n");
        CPPUNIT_ASSERT(set);
        struct row {
            const char* method;
            const char* path;
            const char* route;
            const char* key;
        };
        for (const auto& r : {row{"GET", "/x/k", "get", "k"}, row{"GET", "/x/y", "fixed", ""},
                              row{"GET", "/x/k/z", "rest", ""}, row{"GET", "/x/", "rest", ""},
                              row{"PUT", "/x/k", "", ""}, row{"GET", "/", "", ""}}) {
            const auto match = match_route(*set, r.method, r.path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(r.path, std::string(r.route),
                                         match ? *match->route_name : std::string());
            CPPUNIT_ASSERT_EQUAL(std::string(r.key), match ? std::string(match->key) : std::string());
        }
    }

    void endpoints_are_parsed() {
        CPPUNIT_ASSERT(parse_endpoint("127.0.0.1:80") && parse_endpoint("[::1]:80"));
        for (const char* invalid :
             {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:x", "127.0.0.1:70000", ":80", ""}) {
            CPPUNIT_ASSERT_MESSAGE(invalid, !parse_endpoint(invalid));
        }
    }

    void merge_converges_and_never_lowers_a_version() {
        const bool ok =
            rc::check("two sets agree after one exchange in each direction, in any order of changes", [] {
                versioned_set a;
                versioned_set b;
                const auto changes =
                    *rc::gen::container<std::vector<std::tuple<bool, int, int>>>(rc::gen::tuple(
                        rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 5), rc::gen::inRange(1, 9)));
                for (const auto& [first, name, version] : changes) {
                    const versioned_value value{
                        "n" + std::to_string(name), {0, static_cast<std::uint64_t>(version)}, "v"};
                    auto& set = first ? a : b;
                    const auto* held = set.find(value.name);
                    const auto before = held == nullptr ? epoch{} : held->version;
                    set.merge(value);
                    RC_ASSERT(set.find(value.name)->version >= before);
                }
                for (const auto& value : b.newer_than(a.summary())) {
                    a.merge(value);
                }
                for (const auto& value : a.newer_than(b.summary())) {
                    b.merge(value);
                }
                RC_ASSERT(a.digest() == b.digest());
                RC_ASSERT(a.values() == b.values());
            });
        CPPUNIT_ASSERT(ok);
    }

    void planner_respects_limits() {
        const bool ok =
            rc::check("every slice without owner is placed on an accepting server; moves stay within the "
                      "limit and lower the imbalance",
                      [] {
                          const auto count = *rc::gen::inRange<std::size_t>(1, 12);
                          std::vector<placement_server> servers;
                          servers.reserve(count);
                          for (std::size_t i = 0; i < count; ++i) {
                              servers.push_back({static_cast<server_number>(i), 1,
                                                 i == 0 || *rc::gen::arbitrary<bool>(), false});
                          }
                          std::vector<placement_slice> slices;
                          for (int i = 0; i < 64; ++i) {
                              slices.push_back({no_server, static_cast<double>(*rc::gen::inRange(0, 100))});
                          }
                          const auto placed = assign_free(slices, servers, {100, 8});
                          RC_ASSERT(placed.size() == slices.size());
                          for (const auto& move : placed) {
                              RC_ASSERT(servers[move.to].accepts);
                              slices[move.index].owner = move.to;
                          }
                          const auto moves = rebalance(slices, servers, {100, 8}, {});
                          RC_ASSERT(moves.size() <= 8U);
                          const auto before = imbalance_of(slices, servers);
                          for (const auto& move : moves) {
                              slices[move.index].owner = move.to;
                          }
                          RC_ASSERT(imbalance_of(slices, servers) <= before + 1e-9);
                      });
        CPPUNIT_ASSERT(ok);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(objects_test);

} // namespace balsampost::core
