// Tests of frames, messages, the handshake and URL queries, including malformed and malicious input.
#include "balsampost/net/frame.h"
#include "balsampost/net/handshake.h"
#include "balsampost/net/http.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace balsampost::net {

namespace {

template <class... Parts>
std::string packed(std::uint32_t size, const Parts&... parts) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(size);
    (packer.pack(parts), ...);
    return {buffer.data(), buffer.size()};
}

std::string packed_frame(std::uint8_t version, std::uint8_t type) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(4);
    packer.pack(version);
    packer.pack(type);
    packer.pack(7U);
    packer.pack_bin(1);
    packer.pack_bin_body("x", 1);
    return {buffer.data(), buffer.size()};
}

const key_ring first_key{"c", {{"k1", "secret-number-one"}}};
const key_ring both_keys{"c", {{"k2", "secret-number-two"}, {"k1", "secret-number-one"}}};
const key_ring other_secret{"c", {{"k1", "another-secret-01"}}};
const key_ring other_cluster{"d", {{"k1", "secret-number-one"}}};
const key_ring unknown_key{"c", {{"k9", "secret-number-one"}}};
const core::instance_id client{"client", 1};
const core::instance_id server{"server", 2};

} // namespace

class frame_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(frame_test);
    CPPUNIT_TEST(frames_round_trip);
    CPPUNIT_TEST(malformed_frames_are_refused);
    CPPUNIT_TEST(lengths_are_bounded);
    CPPUNIT_TEST(arbitrary_bytes_decode_or_fail);
    CPPUNIT_TEST(malformed_messages_are_refused);
    CPPUNIT_TEST(handshakes_require_a_common_key);
    CPPUNIT_TEST(replays_and_reflections_are_refused);
    CPPUNIT_TEST(queries_are_decoded);
    CPPUNIT_TEST_SUITE_END();

    void frames_round_trip() {
        const frame sent(frame_type::body_chunk, 9, std::string("a\0b", 3));
        const auto bytes = encode(sent);
        const auto length = decode_length(std::string_view(bytes).substr(0, 4));
        CPPUNIT_ASSERT(length && *length == bytes.size() - 4);
        const auto decoded = decode(std::string_view(bytes).substr(4));
        CPPUNIT_ASSERT(decoded && decoded->type == sent.type && decoded->request == 9 &&
                       decoded->payload == sent.payload);
    }

    void malformed_frames_are_refused() {
        struct row {
            const char* description;
            std::string bytes;
        };
        const std::string valid = packed_frame(frame_version, 1);
        CPPUNIT_ASSERT(decode(valid));
        const std::vector<row> rows{
            {"empty", ""},
            {"truncated", valid.substr(0, valid.size() - 1)},
            {"trailing byte", valid + "x"},
            {"not an array", std::string("\x01", 1)},
            {"array of three", packed(3, 1, 1, 7)},
            {"array of five", packed(5, 1, 1, 7, 8, 9)},
            {"unknown version", packed_frame(9, 1)},
            {"type zero", packed_frame(frame_version, 0)},
            {"unknown type", packed_frame(frame_version, last_frame_type + 1)},
            {"payload is text", packed(4, 1, 1, 7, std::string("x"))},
            {"payload is a number", packed(4, 1, 1, 7, 5)},
            {"version is text", packed(4, std::string("1"), 1, 7, 5)},
            {"negative request", packed(4, 1, 1, -7, 5)},
            {"claims 4 GB of payload", std::string("\x94\x01\x01\x07\xc6\xff\xff\xff\xff", 9)},
            {"claims a huge array", std::string("\xdd\xff\xff\xff\xff", 5)},
            {"nested arrays", std::string(64, '\x91')},
        };
        for (const auto& r : rows) {
            const auto decoded = decode(r.bytes);
            CPPUNIT_ASSERT_MESSAGE(r.description,
                                   !decoded && decoded.error().code == core::error_code::protocol);
        }
    }

    void lengths_are_bounded() {
        CPPUNIT_ASSERT(!decode_length(std::string(4, '\0')));
        CPPUNIT_ASSERT(!decode_length(std::string(4, '\xff')));
        CPPUNIT_ASSERT(!decode_length("abc"));
        CPPUNIT_ASSERT(decode_length(std::string("\0\x80\0\0", 4)));
        CPPUNIT_ASSERT(!decode_length(std::string("\0\x80\0\x01", 4)));
    }

    void arbitrary_bytes_decode_or_fail() {
        const bool ok =
            rc::check("decoding anything returns a frame or an error", [](const std::string& bytes) {
                const auto decoded = decode(bytes);
                RC_ASSERT(decoded || !decoded.error().message.empty());
                unpack_message<request_head>(bytes);
                unpack_message<core::cell_table>(bytes);
            });
        CPPUNIT_ASSERT(ok);
    }

    void malformed_messages_are_refused() {
        const auto valid = pack_message(refusal_message{core::refusal_reason::budget, "x"});
        CPPUNIT_ASSERT(unpack_message<refusal_message>(valid));
        for (const auto& bytes : {std::string(), valid.substr(0, 2), valid + "z", pack_message(sync_answer{}),
                                  std::string("\xc0", 1)}) {
            CPPUNIT_ASSERT(!unpack_message<refusal_message>(bytes));
        }
    }

    /// Runs a complete handshake. Returns whether both sides accept it and the client learns the server's id.
    static bool handshake_succeeds(const key_ring& connecting, const key_ring& accepting) {
        const challenge_message challenge{fresh_nonce()};
        const auto hello = make_hello(connecting, client, challenge, fresh_nonce());
        const auto welcome = accept_hello(accepting, server, challenge.nonce, hello);
        return welcome && check_welcome(connecting, challenge.nonce, hello, *welcome) == server;
    }

    void handshakes_require_a_common_key() {
        struct row {
            const char* description;
            const key_ring& connecting;
            const key_ring& accepting;
            bool succeeds;
        };
        for (const auto& r : {row{"same key", first_key, first_key, true},
                              row{"old key accepted during a rotation", first_key, both_keys, true},
                              row{"new key before the other side has it", both_keys, first_key, false},
                              row{"wrong secret", other_secret, first_key, false},
                              row{"another cluster", other_cluster, first_key, false},
                              row{"unknown key", unknown_key, first_key, false}}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(r.description, r.succeeds,
                                         handshake_succeeds(r.connecting, r.accepting));
        }
    }

    void replays_and_reflections_are_refused() {
        const challenge_message challenge{fresh_nonce()};
        const auto hello = make_hello(first_key, client, challenge, fresh_nonce());
        const auto accepts = [](const std::string& nonce, const hello_message& h) {
            return accept_hello(first_key, server, nonce, h).has_value();
        };
        CPPUNIT_ASSERT(accepts(challenge.nonce, hello));
        CPPUNIT_ASSERT_MESSAGE("replayed to a later challenge", !accepts(fresh_nonce(), hello));
        auto other = hello;
        other.from = {"client", 2};
        CPPUNIT_ASSERT_MESSAGE("identity changed", !accepts(challenge.nonce, other));
        other = hello;
        other.mac.back() ^= 1;
        CPPUNIT_ASSERT_MESSAGE("proof changed", !accepts(challenge.nonce, other));
        other = hello;
        other.mac.clear();
        CPPUNIT_ASSERT_MESSAGE("no proof", !accepts(challenge.nonce, other));
        other = hello;
        other.nonce = challenge.nonce;
        CPPUNIT_ASSERT_MESSAGE("nonce reflected", !accepts(challenge.nonce, other));
        const welcome_message reflected{client, hello.mac};
        CPPUNIT_ASSERT_MESSAGE("own proof sent back",
                               !check_welcome(first_key, challenge.nonce, hello, reflected));
    }

    void queries_are_decoded() {
        const http_request r{"GET", "/a/b?x=1&y=a%20b&z", "", {}};
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b"), r.path());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), r.query("x"));
        CPPUNIT_ASSERT_EQUAL(std::string("a b"), r.query("y"));
        CPPUNIT_ASSERT_EQUAL(std::string(""), r.query("z"));
        CPPUNIT_ASSERT_EQUAL(std::string("%4"), percent_decode("%4"));
        const bool ok = rc::check("decoding undoes encoding", [](const std::string& text) {
            RC_ASSERT(percent_decode(percent_encode(text)) == text);
        });
        CPPUNIT_ASSERT(ok);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(frame_test);

} // namespace balsampost::net
