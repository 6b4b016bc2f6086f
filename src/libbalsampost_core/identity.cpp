// String forms, lookups and hashing of identities.
#include "balsampost/core/identity.h"

#include <xxhash.h>

#include <algorithm>

namespace balsampost::core {

std::string to_string(const instance_id& id) {
    return id.name + "#" + std::to_string(id.incarnation);
}

std::string to_string(const epoch& e) {
    return std::to_string(e.term) + "." + std::to_string(e.sequence);
}

std::string to_string(const cell_id& id) {
    return id.service + "/" + std::to_string(id.index);
}

const instance_record* member_list::find_instance(const std::string& name) const {
    const auto at =
        std::find_if(instances.begin(), instances.end(), [&](const auto& i) { return i.name == name; });
    return at == instances.end() ? nullptr : &*at;
}

const server_record* member_list::find_server(const std::string& name) const {
    const auto at =
        std::find_if(servers.begin(), servers.end(), [&](const auto& s) { return s.name == name; });
    return at == servers.end() ? nullptr : &*at;
}

std::uint64_t hash_of(std::string_view text) {
    return XXH3_64bits(text.data(), text.size());
}

std::uint32_t slice_of(std::string_view key, std::uint32_t slices) {
    return static_cast<std::uint32_t>(hash_of(key) & (slices - 1));
}

std::uint32_t cell_of_slice(std::uint32_t slice, std::uint32_t slices, std::uint32_t cells) {
    return static_cast<std::uint32_t>(static_cast<std::uint64_t>(slice) * cells / slices);
}

std::uint64_t rendezvous_rank(std::string_view subject, std::string_view name) {
    return XXH3_64bits_withSeed(name.data(), name.size(), hash_of(subject));
}

} // namespace balsampost::core
