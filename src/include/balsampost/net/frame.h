// Frames exchanged between instances. On the wire, a frame is a four-byte big-endian length followed by the
// msgpack array [version, type, request, payload]. The payload is the msgpack encoding of the message that
// belongs to the type, or raw bytes for body chunks.
#pragma once

#include "balsampost/core/cell_table.h"
#include "balsampost/core/error.h"
#include "balsampost/core/identity.h"
#include "balsampost/core/outcome.h"
#include "balsampost/core/pair_lease.h"
#include "balsampost/core/versioned_set.h"
#include "balsampost/net/unpack.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsampost::net {

inline constexpr std::uint8_t frame_version = 1;
/// Maximum size of a frame, without its length field.
inline constexpr std::uint32_t max_frame_bytes = 8U << 20U;

enum class frame_type : std::uint8_t {
    challenge = 1,
    hello,
    welcome,
    ping,
    pong,
    promise_request,
    promise_answer,
    heartbeat,
    heartbeat_answer,
    sync,
    sync_answer,
    command,
    command_answer,
    request_head,
    go_ahead,
    body_chunk,
    body_end,
    answer_head,
    refusal,
};

inline constexpr std::uint8_t last_frame_type = static_cast<std::uint8_t>(frame_type::refusal);

/// A decoded frame.
struct frame {
    // The constructors keep this type from being an aggregate: GCC 12 destroys a braced aggregate temporary
    // twice when it is an argument of an awaited coroutine.
    frame() = default;
    frame(frame_type frame_kind, std::uint64_t request_number, std::string payload_bytes)
        : type(frame_kind), request(request_number), payload(std::move(payload_bytes)) {}

    frame_type type = frame_type::ping;
    std::uint64_t request = 0;
    std::string payload;
};

/// First message of a handshake, sent by the accepting side.
struct challenge_message {
    std::string nonce;
    MSGPACK_DEFINE(nonce);
};

/// Second message of a handshake: the connecting side proves that it holds the shared key `key_id`.
struct hello_message {
    std::string cluster;
    core::instance_id from;
    std::string key_id;
    std::string nonce;
    std::string mac;
    MSGPACK_DEFINE(cluster, from, key_id, nonce, mac);
};

/// Last message of a handshake: the accepting side proves that it holds the same key.
struct welcome_message {
    core::instance_id from;
    std::string mac;
    MSGPACK_DEFINE(from, mac);
};

/// Sent by the holder of a cell's lease to request a promise from the standby. Includes the holder's table if
/// the standby's copy is older.
struct promise_request {
    core::cell_id cell;
    core::lease_object lease; ///< The lease as the holder read it from the store.
    bool with_table = false;
    core::cell_table table;
    MSGPACK_DEFINE(cell, lease, with_table, table);
};

/// The standby's reply to a `promise_request`.
struct promise_answer {
    bool promised = false;
    core::epoch held; ///< Version of the standby's copy of the table.
    MSGPACK_DEFINE(promised, held);
};

/// One relay exchange. A request with a summary is answered with the values that are newer than the summary.
/// A request without one is a long poll: it is answered when the digests differ or `wait_ms` has passed.
struct sync_request {
    std::uint64_t digest = 0;
    std::int64_t wait_ms = 0;
    bool with_summary = false;
    std::vector<core::versioned_name> summary;
    std::vector<core::versioned_value> pushed;
    MSGPACK_DEFINE(digest, wait_ms, with_summary, summary, pushed);
};

/// The reply to a `sync_request`.
struct sync_answer {
    std::uint64_t digest = 0;
    std::vector<core::versioned_value> newer;
    std::vector<std::string> wanted; ///< Names of the values that the answering side requests in return.
    MSGPACK_DEFINE(digest, newer, wanted);
};

/// An operator's command, forwarded to the instance that can execute it.
struct command_message {
    std::string name;
    std::vector<std::string> arguments;
    MSGPACK_DEFINE(name, arguments);
};

struct command_answer {
    bool ok = false;
    std::string text;
    MSGPACK_DEFINE(ok, text);
};

/// An HTTP header of a forwarded request or answer.
struct header_field {
    std::string name;
    std::string value;
    MSGPACK_DEFINE(name, value);
};

/// The head of a caller's request, forwarded from the entry to the home of the server.
struct request_head {
    std::string request_id; ///< Unique per request; a hop refuses a request whose id it has already received.
    std::string trace_id;
    std::string parent_span;
    bool sampled = false;
    std::string service;
    std::string server;
    std::uint32_t slice = 0;
    /// Ownership epoch in the entry's table; zero for services that are not divided by key.
    core::epoch since;
    std::string caller;
    std::string method;
    std::string target;
    bool idempotent = false;
    std::int64_t deadline_ns = 0; ///< Time remaining until the deadline when the head was sent.
    std::vector<header_field> headers;
    std::int64_t body_length = 0; ///< Length of the whole body in bytes; -1 if not known in advance.
    /// True if `body` is complete. Otherwise `body` is the beginning, and body chunks follow after
    /// `go_ahead`.
    bool whole_body = true;
    std::string body;
    MSGPACK_DEFINE(request_id, trace_id, parent_span, sampled, service, server, slice, since, caller, method,
                   target, idempotent, deadline_ns, headers, body_length, whole_body, body);
};

/// The head of a server's answer, sent from the home back to the entry.
struct answer_head {
    std::uint32_t status = 0;
    std::vector<header_field> headers;
    std::int64_t content_length = -1; ///< Length of the body in bytes; -1 if not known in advance.
    std::uint32_t load_permille = 0;  ///< Load of the server as measured by its home.
    bool whole_body = false;          ///< True if `body` is complete.
    std::string body;
    MSGPACK_DEFINE(status, headers, content_length, load_permille, whole_body, body);
};

/// States why a request was refused.
struct refusal_message {
    core::refusal_reason reason = core::refusal_reason::not_home;
    std::string detail;
    MSGPACK_DEFINE(reason, detail);
};

/// Encodes `f`, including the length field. Does not check `max_frame_bytes`.
std::string encode(const frame& f);

/// Decodes a frame from the bytes after the length field. Unknown versions, unknown types, trailing bytes and
/// fields of the wrong msgpack type are errors of code `protocol`.
core::result<frame> decode(std::string_view bytes);

/// Decodes the length field. A length of zero or above `max_frame_bytes` is an error of code `protocol`.
core::result<std::uint32_t> decode_length(std::string_view four_bytes);

/// Encodes one message as msgpack.
template <class Message>
std::string pack_message(const Message& message) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

/// Decodes one message from msgpack. Malformed input and trailing bytes are errors of code `protocol`.
template <class Message>
core::result<Message> unpack_message(std::string_view bytes) {
    try {
        std::size_t offset = 0;
        const auto handle = unpack_value(bytes, offset);
        if (offset != bytes.size()) {
            return core::fail(core::error_code::protocol, "trailing bytes after a message");
        }
        return handle.get().as<Message>();
    } catch (const std::exception& e) {
        return core::fail(core::error_code::protocol, std::string("malformed message: ") + e.what());
    }
}

} // namespace balsampost::net

MSGPACK_ADD_ENUM(balsampost::core::refusal_reason);
