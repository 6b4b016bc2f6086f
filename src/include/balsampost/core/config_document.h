// The operators' objects as published: stored in the platform's store and distributed by the relay.
#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace balsampost::core {

/// Name of the platform object that holds the current document.
inline constexpr const char* config_object = "config/current";
/// Name prefix of the objects that keep earlier versions, followed by the version. Read by operators only.
inline constexpr const char* config_history_prefix = "config/history/";

/// One published set of configuration files.
struct config_document {
    /// Unique to each publication, so that the writer recognises its own write after a lost answer.
    std::uint64_t write_id = 0;
    std::string author;
    /// Name and text of each file.
    std::vector<std::pair<std::string, std::string>> files;

    MSGPACK_DEFINE(write_id, author, files);
};

} // namespace balsampost::core
