// Client of the platform's object API: named objects with versions, conditional updates and watches, and the
// list of instances and backend servers.
#pragma once

#include "balsampost/core/error.h"
#include "balsampost/core/identity.h"
#include "balsampost/net/asio.h"
#include "balsampost/net/http.h"

#include <cstdint>
#include <string>
#include <vector>

namespace balsampost::platform {

using net::awaitable;

struct stored_object {
    std::uint64_t version = 0; ///< 0: the object does not exist.
    std::string value;
};

/// Calls made, for the metrics; a waiting watch counts as one.
struct store_calls {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t failures = 0;
};

/// Used from one thread. Every function may be called while others wait.
class object_store {
public:
    explicit object_store(std::vector<core::endpoint> addresses);

    /// The object as it is now; version 0 if there is none.
    awaitable<core::result<stored_object>> read(std::string name, core::milliseconds within);

    /// Waits up to `wait` for a version above `after`; the present one if none comes.
    awaitable<core::result<stored_object>> watch(std::string name, std::uint64_t after,
                                                 core::milliseconds wait);

    /// Writes if the version is still `if_version` (0: only if it does not exist) and returns the new
    /// version. Errors: `conflict`; `unavailable` if it was certainly not written; `unknown_outcome`.
    awaitable<core::result<std::uint64_t>> write(std::string name, std::string value,
                                                 std::uint64_t if_version, core::milliseconds within);

    /// The list at a version above `after`, waiting up to `wait`.
    awaitable<core::result<core::member_list>> members(std::uint64_t after, core::milliseconds wait);

    const store_calls& calls() const { return m_calls; }
    /// True once a call has failed, until one succeeds.
    bool out() const { return m_out; }

private:
    awaitable<core::result<net::http_answer>> call(net::http_request request, core::milliseconds within);

    std::vector<core::endpoint> m_addresses;
    std::size_t m_next = 0; // The address to use; moves on when one cannot be reached.
    std::vector<net::http_client> m_idle;
    store_calls m_calls;
    bool m_out = false;
};

/// The list as the API writes it in JSON, and back.
std::string to_json(const core::member_list& list);
core::result<core::member_list> members_from_json(const std::string& text);

} // namespace balsampost::platform
