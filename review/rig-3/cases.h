// The cases.
#pragma once

#include "record.h"

#include <optional>
#include <string>

namespace balsampost::review::rig_3 {

/// Plays a case with or without its disruption. Returns the exit code; empty if it could not run.
using case_function = std::optional<int> (*)(record& out, bool trouble, const std::string& program);

std::optional<int> play_keys_after_restore(record& out, bool trouble, const std::string& program);
std::optional<int> play_manifest_after_restore(record& out, bool trouble, const std::string& program);
std::optional<int> play_short_fields(record& out, bool trouble, const std::string& program);
std::optional<int> play_bodies_left_behind(record& out, bool trouble, const std::string& program);
std::optional<int> play_evicted_uploads(record& out, bool trouble, const std::string& program);

struct named_case {
    const char* name;
    case_function play;
};

inline constexpr named_case all_cases[] = {
    {"keys-after-restore", play_keys_after_restore},
    {"manifest-after-restore", play_manifest_after_restore},
    {"short-fields", play_short_fields},
    {"bodies-left-behind", play_bodies_left_behind},
    {"evicted-uploads", play_evicted_uploads},
};

} // namespace balsampost::review::rig_3
