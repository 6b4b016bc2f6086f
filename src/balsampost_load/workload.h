// The users' workloads: which requests their callers make, in which mix, on which keys.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace balsampost::load {

struct request_kind {
    const char* name;
    const char* method;
    const char* path; ///< `{key}` is replaced by the key.
    bool keyed;       ///< Goes to a service divided by key.
    bool idempotent;
    std::uint32_t weight;
    std::uint32_t answer_bytes; ///< 0: the server's short receipt.
    std::uint32_t body_bytes;
};

struct workload {
    const char* user;
    std::vector<request_kind> kinds;
};

/// Null if there is no such user.
const workload* find_workload(const std::string& user);

/// Keys by a Zipf law; exponent 0 is uniform.
class key_source {
public:
    key_source(std::uint32_t keys, double exponent);
    std::string next(std::mt19937_64& random) const;

private:
    std::vector<double> m_cumulative;
};

const request_kind& draw_kind(const workload& w, std::mt19937_64& random);

} // namespace balsampost::load
