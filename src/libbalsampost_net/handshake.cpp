// Challenge-response authentication with HMAC-SHA256 from OpenSSL.
#include "balsampost/net/handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <cstdlib>

namespace balsampost::net {

namespace {

// The signed bytes include the role of the signer, so that a proof cannot be reflected to the side that
// created it.
constexpr const char* connecting_role = "connect";
constexpr const char* accepting_role = "accept";

std::string hmac(const std::string& secret, const char* role, const std::string& cluster,
                 const std::string& verifier_nonce, const std::string& signer_nonce,
                 const core::instance_id& signer) {
    msgpack::sbuffer signed_bytes;
    msgpack::packer<msgpack::sbuffer> packer(signed_bytes);
    packer.pack(std::string(role));
    packer.pack(cluster);
    packer.pack(verifier_nonce);
    packer.pack(signer_nonce);
    packer.pack(signer);
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(signed_bytes.data()), signed_bytes.size(), digest, &length);
    return {reinterpret_cast<const char*>(digest), length};
}

/// Compares in constant time, so that the duration does not reveal how many bytes of a proof match.
bool equal_constant_time(const std::string& a, const std::string& b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

const shared_key* key_ring::find(const std::string& id) const {
    const auto found = std::find_if(keys.begin(), keys.end(), [&](const auto& key) { return key.id == id; });
    return found == keys.end() ? nullptr : &*found;
}

std::string fresh_nonce() {
    std::string nonce(nonce_bytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), static_cast<int>(nonce.size())) != 1) {
        std::abort();
    }
    return nonce;
}

hello_message make_hello(const key_ring& ring, const core::instance_id& self,
                         const challenge_message& challenge, const std::string& nonce) {
    const auto& key = ring.keys.front();
    return {ring.cluster, self, key.id, nonce,
            hmac(key.secret, connecting_role, ring.cluster, challenge.nonce, nonce, self)};
}

core::result<welcome_message> accept_hello(const key_ring& ring, const core::instance_id& self,
                                           const std::string& sent_nonce, const hello_message& hello) {
    const auto* key = ring.find(hello.key_id);
    if (hello.cluster != ring.cluster) {
        return core::fail(core::error_code::refused, "peer belongs to cluster '" + hello.cluster + "'");
    }
    if (key == nullptr) {
        return core::fail(core::error_code::refused, "peer uses an unknown key '" + hello.key_id + "'");
    }
    if (hello.nonce.size() != nonce_bytes || hello.nonce == sent_nonce ||
        !equal_constant_time(hello.mac, hmac(key->secret, connecting_role, ring.cluster, sent_nonce,
                                             hello.nonce, hello.from))) {
        return core::fail(core::error_code::refused,
                          "peer did not prove that it holds key '" + hello.key_id + "'");
    }
    return welcome_message{self,
                           hmac(key->secret, accepting_role, ring.cluster, hello.nonce, sent_nonce, self)};
}

core::result<core::instance_id> check_welcome(const key_ring& ring, const std::string& challenge_nonce,
                                              const hello_message& sent, const welcome_message& welcome) {
    const auto* key = ring.find(sent.key_id);
    if (key == nullptr ||
        !equal_constant_time(welcome.mac, hmac(key->secret, accepting_role, ring.cluster, sent.nonce,
                                               challenge_nonce, welcome.from))) {
        return core::fail(core::error_code::refused,
                          "the accepting peer did not prove that it holds the shared key");
    }
    return welcome.from;
}

} // namespace balsampost::net
