// The stand-in's objects: versions and conditional updates.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsampost::stand_in {

struct object_entry {
    std::uint64_t version = 0;
    std::string value;
};

class object_table {
public:
    /// Version 0 if there is no such object.
    object_entry read(const std::string& name) const;
    /// The new version, or nothing if the object is not at `if_version`.
    std::optional<std::uint64_t> write(const std::string& name, const std::string& value,
                                       std::uint64_t if_version);
    std::vector<std::string> names(const std::string& prefix) const;

private:
    std::map<std::string, object_entry> m_objects;
};

} // namespace balsampost::stand_in
