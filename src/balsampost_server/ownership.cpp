// Lease orders and the audit lines:
//   L time server until            a lease was extended
//   S time server slice:epoch ...  the list of owned slices was replaced
//   X time server tag id slice|- idempotent|once   a request was executed
// Times are nanoseconds of the monotonic clock, which all processes of a machine share.
#include "ownership.h"

#include <fcntl.h>
#include <unistd.h>

#include <stdexcept>

namespace balsampost::stand_in {

namespace {

std::string stamp(core::time_point t) {
    return std::to_string(t.time_since_epoch().count());
}

} // namespace

audit_file::audit_file(const std::string& path) {
    m_descriptor = ::open(path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    if (m_descriptor < 0) {
        throw std::runtime_error("cannot open the audit file " + path);
    }
}

audit_file::~audit_file() {
    ::close(m_descriptor);
}

void audit_file::line(const std::string& text) {
    const std::string whole = text + "\n";
    if (::write(m_descriptor, whole.data(), whole.size()) != static_cast<ssize_t>(whole.size())) {
        throw std::runtime_error("cannot write the audit");
    }
}

ownership::ownership(std::string server, bool verifies, audit_file& audit)
    : m_server(std::move(server)), m_verifies(verifies), m_audit(audit) {}

bool ownership::apply(const lease_order_in& order, core::time_point now) {
    if (m_verifies && order.term < m_term) {
        return false;
    }
    m_term = std::max(m_term, order.term);
    const core::time_point until{core::duration(order.until_ns)};
    if (until <= now) {
        return true;
    }
    if (order.with_list) {
        m_slices = order.slices;
        m_giver = order.giver;
        m_list_version = order.list_version;
        std::string text = "S " + stamp(now) + " " + m_server;
        for (const auto& [slice, since] : m_slices) {
            text += " " + std::to_string(slice) + ":" + core::to_string(since);
        }
        m_audit.line(text);
    } else if (order.giver != m_giver || order.list_version != m_list_version) {
        return true; // The answer's list version tells the home to send the list.
    }
    m_until = until;
    m_audit.line("L " + stamp(now) + " " + m_server + " " + stamp(until));
    return true;
}

std::uint64_t ownership::list_version_of(const std::string& giver) const {
    return giver == m_giver ? m_list_version : 0;
}

bool ownership::owns(std::uint32_t slice, const core::epoch& since, core::time_point now) const {
    const auto at = m_slices.find(slice);
    return leased(now) && at != m_slices.end() && at->second == since;
}

void ownership::executed(const std::string& request_tag, const std::string& request_id, std::uint32_t slice,
                         bool keyed, bool idempotent, core::time_point now) {
    m_audit.line("X " + stamp(now) + " " + m_server + " " + request_tag + " " + request_id + " " +
                 (keyed ? std::to_string(slice) : "-") + " " + (idempotent ? "idempotent" : "once"));
}

} // namespace balsampost::stand_in
