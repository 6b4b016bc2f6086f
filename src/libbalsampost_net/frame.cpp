// Encoding and decoding of frames.
#include "balsampost/net/frame.h"

#include <boost/endian/conversion.hpp>

#include <cstring>

namespace balsampost::net {

std::string encode(const frame& f) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(4);
    packer.pack(frame_version);
    packer.pack(static_cast<std::uint8_t>(f.type));
    packer.pack(f.request);
    packer.pack_bin(static_cast<std::uint32_t>(f.payload.size()));
    const auto length = static_cast<std::uint32_t>(buffer.size() + f.payload.size());
    const std::uint32_t wire_length = boost::endian::native_to_big(length);
    std::string bytes(sizeof wire_length, '\0');
    std::memcpy(bytes.data(), &wire_length, sizeof wire_length);
    bytes.reserve(bytes.size() + length);
    bytes.append(buffer.data(), buffer.size());
    bytes.append(f.payload);
    return bytes;
}

core::result<std::uint32_t> decode_length(std::string_view four_bytes) {
    std::uint32_t length = 0;
    if (four_bytes.size() != sizeof length) {
        return core::fail(core::error_code::protocol, "the length field of a frame is truncated");
    }
    std::memcpy(&length, four_bytes.data(), sizeof length);
    length = boost::endian::big_to_native(length);
    if (length == 0 || length > max_frame_bytes) {
        return core::fail(core::error_code::protocol,
                          "frame length " + std::to_string(length) + " is out of bounds");
    }
    return length;
}

core::result<frame> decode(std::string_view bytes) {
    // The limits (one array of four elements, no maps, strings or extensions) keep a malicious frame from
    // causing larger allocations than the bytes it sends.
    const msgpack::unpack_limit limits(4, 0, 0, max_frame_bytes, 0, 2);
    try {
        std::size_t offset = 0;
        const auto handle = msgpack::unpack(
            bytes.data(), bytes.size(), offset, [](auto, auto, auto) { return true; }, nullptr, limits);
        const auto& object = handle.get();
        if (offset != bytes.size() || object.type != msgpack::type::ARRAY || object.via.array.size != 4) {
            return core::fail(core::error_code::protocol, "a frame must be one array of four elements");
        }
        const auto* fields = object.via.array.ptr;
        const auto version = fields[0].as<std::uint8_t>();
        const auto type = fields[1].as<std::uint8_t>();
        if (version != frame_version) {
            return core::fail(core::error_code::protocol, "unknown frame version " + std::to_string(version));
        }
        if (type == 0 || type > last_frame_type) {
            return core::fail(core::error_code::protocol, "unknown frame type " + std::to_string(type));
        }
        if (fields[3].type != msgpack::type::BIN) {
            return core::fail(core::error_code::protocol, "the payload of a frame must be binary");
        }
        return frame{static_cast<frame_type>(type), fields[2].as<std::uint64_t>(),
                     std::string(fields[3].via.bin.ptr, fields[3].via.bin.size)};
    } catch (const std::exception& e) {
        return core::fail(core::error_code::protocol, std::string("malformed frame: ") + e.what());
    }
}

} // namespace balsampost::net
