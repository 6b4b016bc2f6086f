// The notices that a server adds to its answers.
#pragma once

#include "balsampost/core/server_notices.h"
#include "balsampost/entry/http_client.h"
#include "balsampost/entry/platform.h"

namespace balsampost::entry {

/// Returns the notices in an answer that is the server's own, to our request. A pause counts only with 503.
/// With 421 another server may have answered at the address, so such an answer says nothing.
core::server_notice notices_in(const http_reply& reply, const platform& adapter);

} // namespace balsampost::entry
