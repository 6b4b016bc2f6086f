// Implementation of the versioned set.
#include "balsampost/core/versioned_set.h"

namespace balsampost::core {

namespace {

std::uint64_t entry_hash(const versioned_value& v) {
    return hash_of(v.name + "@" + to_string(v.version));
}

} // namespace

bool versioned_set::merge(const versioned_value& value) {
    const auto at = m_values.find(value.name);
    if (at == m_values.end()) {
        m_values.emplace(value.name, value);
    } else {
        if (value.version <= at->second.version) {
            return false;
        }
        m_digest -= entry_hash(at->second);
        at->second = value;
    }
    m_digest += entry_hash(value);
    return true;
}

const versioned_value* versioned_set::find(const std::string& name) const {
    const auto at = m_values.find(name);
    return at == m_values.end() ? nullptr : &at->second;
}

void versioned_set::erase(const std::string& name) {
    const auto at = m_values.find(name);
    if (at != m_values.end()) {
        m_digest -= entry_hash(at->second);
        m_values.erase(at);
    }
}

std::vector<versioned_name> versioned_set::summary() const {
    std::vector<versioned_name> names;
    names.reserve(m_values.size());
    for (const auto& [name, value] : m_values) {
        names.push_back({name, value.version});
    }
    return names;
}

std::vector<versioned_value> versioned_set::newer_than(const std::vector<versioned_name>& summary) const {
    std::map<std::string, epoch> remote_versions;
    for (const auto& entry : summary) {
        remote_versions[entry.name] = entry.version;
    }
    std::vector<versioned_value> newer;
    for (const auto& [name, value] : m_values) {
        const auto at = remote_versions.find(name);
        if (at == remote_versions.end() || at->second < value.version) {
            newer.push_back(value);
        }
    }
    return newer;
}

std::vector<std::string> versioned_set::names_to_fetch(const std::vector<versioned_name>& summary) const {
    std::vector<std::string> names;
    for (const auto& entry : summary) {
        const auto* local = find(entry.name);
        if (local == nullptr || local->version < entry.version) {
            names.push_back(entry.name);
        }
    }
    return names;
}

} // namespace balsampost::core
