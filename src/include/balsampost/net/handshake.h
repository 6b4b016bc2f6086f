// Mutual authentication of instances. Each side proves that it holds a shared key, without sending it, by an
// HMAC-SHA256 over the nonces of both sides. Several keys can be valid at once, to allow key rotation.
#pragma once

#include "balsampost/core/error.h"
#include "balsampost/net/frame.h"

#include <string>
#include <vector>

namespace balsampost::net {

inline constexpr std::size_t nonce_bytes = 16;

/// A secret shared by the instances of a cluster, and the id that names it in handshakes.
struct shared_key {
    std::string id;
    std::string secret;
};

/// The valid keys of a cluster. Connecting uses the first key; accepting allows any of them.
struct key_ring {
    std::string cluster;
    std::vector<shared_key> keys;

    /// Returns the key with this id, or null if there is none.
    const shared_key* find(const std::string& id) const;
};

/// Returns random bytes for one handshake. Aborts the process if the system's random generator fails.
std::string fresh_nonce();

/// Creates the connecting side's reply to `challenge`.
hello_message make_hello(const key_ring& ring, const core::instance_id& self,
                         const challenge_message& challenge, const std::string& nonce);

/// Verifies `hello` against the nonce that the accepting side sent, and creates the accepting side's proof.
/// Errors are of code `refused`.
core::result<welcome_message> accept_hello(const key_ring& ring, const core::instance_id& self,
                                           const std::string& sent_nonce, const hello_message& hello);

/// Verifies the accepting side's proof and returns its instance id. Errors are of code `refused`.
core::result<core::instance_id> check_welcome(const key_ring& ring, const std::string& challenge_nonce,
                                              const hello_message& sent, const welcome_message& welcome);

} // namespace balsampost::net
