// What the stand-in server owns: its lease, its slices, and the audit of both.
#pragma once

#include "balsampost/core/cell_table.h"
#include "balsampost/core/time.h"

#include <cstdio>
#include <map>
#include <string>

namespace balsampost::stand_in {

/// Appends lines that are whole even if the process is killed: one write call a line.
class audit_file {
public:
    explicit audit_file(const std::string& path);
    ~audit_file();
    audit_file(const audit_file&) = delete;
    audit_file& operator=(const audit_file&) = delete;

    void line(const std::string& text);

private:
    int m_descriptor = -1;
};

/// One lease order, as it came over HTTP.
struct lease_order_in {
    std::string giver;
    std::uint64_t number = 0;
    core::epoch term;
    std::int64_t until_ns = 0;
    std::uint64_t list_version = 0;
    bool with_list = false;
    std::map<std::uint32_t, core::epoch> slices;
};

class ownership {
public:
    /// With `verifies` the server refuses orders of a lower term than it has seen.
    ownership(std::string server, bool verifies, audit_file& audit);

    /// True if the order was accepted. Orders whose end has passed change nothing.
    bool apply(const lease_order_in& order, core::time_point now);
    std::uint64_t list_version_of(const std::string& giver) const;

    bool leased(core::time_point now) const { return now < m_until; }
    /// Whether the server owns `slice` under exactly `since`.
    bool owns(std::uint32_t slice, const core::epoch& since, core::time_point now) const;

    void executed(const std::string& request_tag, const std::string& request_id, std::uint32_t slice,
                  bool keyed, bool idempotent, core::time_point now);

private:
    std::string m_server;
    bool m_verifies;
    audit_file& m_audit;
    std::string m_giver;
    core::epoch m_term;
    std::uint64_t m_list_version = 0;
    core::time_point m_until = core::never;
    std::map<std::uint32_t, core::epoch> m_slices;
};

} // namespace balsampost::stand_in
