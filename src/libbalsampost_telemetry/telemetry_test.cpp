// Tests of the event table, log lines and spans.
#include "balsampost/telemetry/log.h"
#include "balsampost/telemetry/spans.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <regex>
#include <set>

namespace balsampost::telemetry {

class telemetry_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(telemetry_test);
    CPPUNIT_TEST(catalogue_and_code_agree);
    CPPUNIT_TEST(field_values_cannot_break_lines);
    CPPUNIT_TEST(only_valid_traceparents_are_parsed);
    CPPUNIT_TEST(span_store_is_bounded);
    CPPUNIT_TEST_SUITE_END();

    void catalogue_and_code_agree() {
        std::set<std::string> in_code;
        for (const auto& info : all_events()) {
            in_code.insert(std::to_string(static_cast<unsigned>(info.code)) + " " + std::string(info.name));
        }
        CPPUNIT_ASSERT_EQUAL(all_events().size(), in_code.size());
        std::set<std::string> in_page;
        std::ifstream page(EVENTS_PAGE);
        const std::regex row(R"(^\| (\d+) \| `(\w+)` \|.*)");
        for (std::string line; std::getline(page, line);) {
            std::smatch match;
            if (std::regex_match(line, match, row)) {
                in_page.insert(match[1].str() + " " + match[2].str());
            }
        }
        CPPUNIT_ASSERT(in_code == in_page);
    }

    void field_values_cannot_break_lines() {
        const std::string hostile = "a\nE100 started \"x\" \xff";
        for (const auto format : {log_format::text, log_format::json}) {
            const auto line =
                format_line({severity::info, format, "i"}, "t", event::started, {{"key", hostile}});
            CPPUNIT_ASSERT_EQUAL(std::string::npos, line.find('\n'));
            CPPUNIT_ASSERT(line.find("100") != std::string::npos);
        }
        const auto json = nlohmann::json::parse(
            format_line({severity::info, log_format::json, "i"}, "t", event::stopping, {{"k", "v"}}));
        CPPUNIT_ASSERT(json["event"] == 101 && json["name"] == "stopping" && json["k"] == "v");
    }

    void only_valid_traceparents_are_parsed() {
        const std::string trace(32, 'a');
        const std::string span(16, 'b');
        const auto valid = parse_traceparent("00-" + trace + "-" + span + "-01");
        CPPUNIT_ASSERT(valid && valid->sampled && valid->trace_id == trace && valid->span_id == span);
        CPPUNIT_ASSERT_EQUAL("00-" + trace + "-" + span + "-01", to_string(*valid));
        for (const auto& invalid :
             {std::string(), "01-" + trace + "-" + span + "-01", "00-" + trace + "-" + span,
              "00-" + std::string(32, '0') + "-" + span + "-01",
              "00-" + trace + "-" + std::string(16, '0') + "-01",
              "00-" + std::string(32, 'G') + "-" + span + "-01", "00_" + trace + "-" + span + "-01",
              "00-" + trace + "-" + span + "-0x", "00-" + trace + "-" + span + "-01x"}) {
            CPPUNIT_ASSERT_MESSAGE(invalid, !parse_traceparent(invalid));
        }
    }

    void span_store_is_bounded() {
        span_store store(2);
        for (const char* id : {"1", "2", "3"}) {
            span s;
            s.trace_id = "t";
            s.span_id = id;
            store.add(s);
        }
        const auto found = store.find_by_trace("t");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found.size());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), found.front().span_id);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(telemetry_test);

} // namespace balsampost::telemetry
