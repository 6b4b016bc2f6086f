// Guards against input of other parties that ends the process, or spoils the valid parts of a document:
// deep nesting, cut or invalid characters, numbers out of range, and truncated texts.
#include "balsampost/core/json_text.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace balsampost::core {

namespace {

constexpr std::size_t deep = 300'000;

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

class json_text_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(json_text_test);
    CPPUNIT_TEST(limits_are_checked_before_parsing);
    CPPUNIT_TEST(invalid_texts_are_errors);
    CPPUNIT_TEST(writing_never_fails);
    CPPUNIT_TEST(raw_parts_of_a_document);
    CPPUNIT_TEST(truncated_containers_are_errors);
    CPPUNIT_TEST(raw_parts_equal_the_parsed_ones);
    CPPUNIT_TEST(utf8);
    CPPUNIT_TEST_SUITE_END();

    void limits_are_checked_before_parsing() {
        CPPUNIT_ASSERT(parse_json(nested(32)));
        CPPUNIT_ASSERT(!parse_json(nested(33)));
        CPPUNIT_ASSERT(!parse_json(nested(deep)));
        CPPUNIT_ASSERT(!parse_json(std::string(deep, '[')));
        CPPUNIT_ASSERT_MESSAGE("brackets in a string are not nesting",
                               parse_json("\"" + std::string(deep, '[') + "\\\"[\""));
        CPPUNIT_ASSERT(parse_json("[1,2]", {5, 1}) && !parse_json("[1,2 ]", {5, 1}));
        CPPUNIT_ASSERT(!parse_json("[[]]", {100, 1}));
    }

    void invalid_texts_are_errors() {
        for (const std::string bad : {"", " ", "{", "[1", "[1e999]", "\"\\ud83d\"", "\"a\xff\"", "\"\n\"",
                                      "nul", "{\"a\":1}x", "\"abc", "{\"a\" 1}"}) {
            const auto parsed = parse_json(bad);
            CPPUNIT_ASSERT_MESSAGE(bad, !parsed);
            CPPUNIT_ASSERT(!parsed.error().message.empty());
        }
        const auto parsed = parse_json("\"" + std::string(deep, 'a') + "\xff\"");
        CPPUNIT_ASSERT_MESSAGE("the reason does not quote long input", parsed.error().message.size() <= 200);
    }

    void writing_never_fails() {
        CPPUNIT_ASSERT_EQUAL(std::string("{\"a\":\"x\xef\xbf\xbd\"}"), json_to_string({{"a", "x\xff"}}));
    }

    void raw_parts_of_a_document() {
        const auto members = json_members(R"( { "a" : [1, "]"] , "b":{"c":"}"},"d":1e999, "a":"\"," } )");
        CPPUNIT_ASSERT(members && members->size() == 4);
        CPPUNIT_ASSERT(find_member(*members, "a") == "\"\\\",\"" &&
                       find_member(*members, "b") == R"({"c":"}"})");
        CPPUNIT_ASSERT(find_member(*members, "d") == "1e999" && find_member(*members, "e").empty());
        const auto elements = json_elements("[1 ,\"\\ud83d\",[2,3], {} ,tru]");
        CPPUNIT_ASSERT(elements && elements->size() == 5);
        CPPUNIT_ASSERT((*elements)[1] == "\"\\ud83d\"" && (*elements)[2] == "[2,3]" &&
                       (*elements)[4] == "tru");
        CPPUNIT_ASSERT(json_elements("[]") && json_elements("[]")->empty() && json_members(" {} ")->empty());
        const auto with_deep_element = "[1," + nested(deep) + ",2]";
        const auto around = json_elements(with_deep_element);
        CPPUNIT_ASSERT_MESSAGE("a deep element leaves the others readable",
                               around && around->size() == 3 && (*around)[2] == "2");
    }

    void truncated_containers_are_errors() {
        const std::string object = R"({"a":[1,{"b":"c\""}],"d":"e"})";
        for (std::size_t n = 0; n < object.size(); ++n) {
            CPPUNIT_ASSERT_MESSAGE(object.substr(0, n), !json_members(object.substr(0, n)));
            CPPUNIT_ASSERT(!json_elements("[" + object.substr(0, n)));
        }
        for (const auto* bad : {"[,]", "[1,]", "[1 2]", "[1]2", "{", "]", "[1}"}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !json_elements(bad));
        }
        for (const auto* bad : {"{1:2}", "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{a:1}"}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !json_members(bad));
        }
    }

    void raw_parts_equal_the_parsed_ones() {
        const bool held =
            rc::check("the elements of an array are those that the parser finds",
                      [](const std::vector<std::map<std::string, std::vector<int>>>& values) {
                          const nlohmann::json array(values);
                          const auto text = json_to_string(array);
                          const auto elements = json_elements(text);
                          RC_ASSERT(elements && elements->size() == values.size());
                          for (std::size_t i = 0; i < values.size(); ++i) {
                              const auto parsed = parse_json((*elements)[i]);
                              RC_ASSERT(parsed && *parsed == *parse_json(json_to_string(values[i])));
                          }
                      });
        CPPUNIT_ASSERT(held);
        const bool no_crash = rc::check("any bytes are read without a fault", [](const std::string& bytes) {
            for (const auto& text : {bytes, "[" + bytes, "{\"a\":" + bytes + "}", "[" + bytes + "]"}) {
                static_cast<void>(parse_json(text));
                static_cast<void>(json_members(text));
                static_cast<void>(json_elements(text));
                static_cast<void>(is_utf8(text));
            }
        });
        CPPUNIT_ASSERT(no_crash);
    }

    void utf8() {
        for (const auto* good : {"", "a", "\xc3\xa6", "\xe2\x82\xac", "\xf0\x9f\x98\x80"}) {
            CPPUNIT_ASSERT(is_utf8(good));
        }
        for (const auto* bad : {"\xff", "\xc3", "a\xc3z", "\xe2\x82", "\xed\xa0\xbd", "\xc0\xaf"}) {
            CPPUNIT_ASSERT(!is_utf8(bad));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(json_text_test);

} // namespace balsampost::core
