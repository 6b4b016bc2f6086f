// Objects in memory.
#include "object_table.h"

namespace balsampost::stand_in {

object_entry object_table::read(const std::string& name) const {
    const auto at = m_objects.find(name);
    return at == m_objects.end() ? object_entry{} : at->second;
}

std::optional<std::uint64_t> object_table::write(const std::string& name, const std::string& value,
                                                 std::uint64_t if_version) {
    const auto at = m_objects.find(name);
    const std::uint64_t present = at == m_objects.end() ? 0 : at->second.version;
    if (present != if_version) {
        return std::nullopt;
    }
    m_objects[name] = {present + 1, value};
    return present + 1;
}

std::vector<std::string> object_table::names(const std::string& prefix) const {
    std::vector<std::string> found;
    for (auto at = m_objects.lower_bound(prefix);
         at != m_objects.end() && at->first.compare(0, prefix.size(), prefix) == 0; ++at) {
        found.push_back(at->first);
    }
    return found;
}

} // namespace balsampost::stand_in
