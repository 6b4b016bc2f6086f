// Tables of the limits in force and of the split of descriptors.
#include "balsampost/core/process_limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace balsampost::core {

class process_limits_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(process_limits_test);
    CPPUNIT_TEST(least_known_value_is_in_force);
    CPPUNIT_TEST(every_use_has_room_with_few_descriptors);
    CPPUNIT_TEST(reserves_are_kept_from_other_uses);
    CPPUNIT_TEST_SUITE_END();

    void least_known_value_is_in_force() {
        struct row {
            const char* name;
            process_limits stated;
            granted_limits granted;
            process_limits expected;
        };
        const row rows[] = {
            {"nothing could be read", {4'100, 900}, {}, {4'100, 900}},
            {"fewer granted", {4'100, 900}, {256, {}, {}, {}, {}}, {256, 900}},
            {"more granted", {4'100, 900}, {20'000, 1'000, 1'000, 1'000, 1'000}, {4'100, 900}},
            {"address space", {4'100, 900}, {{}, 600, 700, 800, 850}, {4'100, 600}},
            {"data segment", {4'100, 900}, {{}, {}, 700, 800, {}}, {4'100, 700}},
            {"group", {4'100, 900}, {{}, {}, {}, 800, 850}, {4'100, 800}},
            {"machine", {4'100, 900}, {{}, {}, {}, {}, 850}, {4'100, 850}},
            {"a setting without a limit", {1'073'741'816, 900}, {1'024, {}, {}, {}, {}}, {1'024, 900}},
        };
        for (const auto& r : rows) {
            const auto limits = limits_in_force(r.stated, r.granted);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(r.name, r.expected.descriptors, limits.descriptors);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(r.name, r.expected.memory_bytes, limits.memory_bytes);
        }
    }

    /// Guards against a fixed reserve that is greater than all descriptors: no caller was served then.
    void every_use_has_room_with_few_descriptors() {
        for (const std::uint64_t descriptors : {64, 128, 256, 1'024, 4'096, 1'073'741'816}) {
            const auto split = split_descriptors(descriptors);
            descriptor_counts all = split.reserved;
            CPPUNIT_ASSERT(split.sockets < descriptors);
            for (std::size_t i = 0; i < descriptor_uses; ++i) {
                const auto use = static_cast<descriptor_use>(i);
                CPPUNIT_ASSERT(split.reserved[i] > 0);
                CPPUNIT_ASSERT(max_sockets(split, use) >= split.reserved[i]);
                --all[i];
                CPPUNIT_ASSERT(has_room(split, all, use));
                ++all[i];
            }
        }
        // With the settings of the large deployment callers have the share that they had.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3'696},
                             max_sockets(split_descriptors(4'096), descriptor_use::callers));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{104},
                             max_sockets(split_descriptors(256), descriptor_use::callers));
    }

    void reserves_are_kept_from_other_uses() {
        const auto split = split_descriptors(256);
        for (std::size_t greedy = 0; greedy < descriptor_uses; ++greedy) {
            descriptor_counts open{};
            while (has_room(split, open, static_cast<descriptor_use>(greedy))) {
                ++open[greedy];
            }
            CPPUNIT_ASSERT_EQUAL(max_sockets(split, static_cast<descriptor_use>(greedy)), open[greedy]);
            for (std::size_t i = 0; i < descriptor_uses; ++i) {
                for (; i != greedy && open[i] < split.reserved[i]; ++open[i]) {
                    CPPUNIT_ASSERT(has_room(split, open, static_cast<descriptor_use>(i)));
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_limits_test);

} // namespace balsampost::core
