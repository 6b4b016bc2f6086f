// The values that the relay distributes: named, each with a version that only increases. Two instances
// exchange the values that the other lacks until their digests agree; merging never lowers a version.
#pragma once

#include "balsampost/core/identity.h"

#include <msgpack.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsampost::core {

/// A named value and its version.
struct versioned_value {
    std::string name;
    epoch version;
    std::string value; ///< MessagePack encoding of the type that the name implies.

    bool operator==(const versioned_value&) const = default;
    MSGPACK_DEFINE(name, version, value);
};

/// The name and version of a value, without the value.
struct versioned_name {
    std::string name;
    epoch version;

    MSGPACK_DEFINE(name, version);
};

/// A set of named values that holds the newest version of each.
class versioned_set {
public:
    /// Stores `value` if it is newer than the value held under its name. Returns whether it was stored.
    bool merge(const versioned_value& value);

    const versioned_value* find(const std::string& name) const;
    void erase(const std::string& name);

    /// Digest of all names and versions, independent of their order. Equal digests are taken as equal sets.
    std::uint64_t digest() const { return m_digest; }
    std::vector<versioned_name> summary() const;
    /// Values that are newer here than in `summary`, or missing there.
    std::vector<versioned_value> newer_than(const std::vector<versioned_name>& summary) const;
    /// Names that are newer in `summary` than here, or missing here.
    std::vector<std::string> names_to_fetch(const std::vector<versioned_name>& summary) const;
    const std::map<std::string, versioned_value>& values() const { return m_values; }

private:
    std::map<std::string, versioned_value> m_values; // The version under a name never decreases.
    std::uint64_t m_digest = 0;                      // Sum of the hashes of all (name, version).
};

} // namespace balsampost::core
