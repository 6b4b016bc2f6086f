// Decoding of msgpack from other parties within limits.
#pragma once

#include <msgpack.hpp>

#include <cstddef>
#include <string_view>

namespace balsampost::net {

/// Nested arrays of a message, the outermost one included.
inline constexpr std::size_t max_message_depth = 16;

/// Decodes the value at `offset` and moves `offset` past it. A length that exceeds the number of bytes is
/// rejected before memory is reserved for it. Throws `msgpack::unpack_error` for malformed input.
inline msgpack::object_handle unpack_value(std::string_view bytes, std::size_t& offset) {
    const auto size = bytes.size(); // Each element takes a byte at least.
    const msgpack::unpack_limit limits(size, size, size, size, size, max_message_depth);
    return msgpack::unpack(
        bytes.data(), size, offset, [](auto, auto, auto) { return false; }, nullptr, limits);
}

} // namespace balsampost::net
