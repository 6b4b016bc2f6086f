// Complete tables and the differences between them.
#include "balsampost/entry/table_history.h"

#include <algorithm>

namespace balsampost::entry {

namespace {

constexpr std::size_t max_earlier =
    12; // More versions per second arise only while single keys are overloaded.

} // namespace

bool table_history::put(const table_version& version, core::key_table table, bool keep_earlier) {
    if (version <= m_version) {
        return false;
    }
    if (m_table && keep_earlier) {
        m_earlier.emplace_back(m_version, m_table);
    }
    while (m_earlier.size() > (keep_earlier ? max_earlier : 0)) {
        m_earlier.pop_front();
    }
    m_version = version;
    m_table = std::make_shared<const core::key_table>(std::move(table));
    return true;
}

void table_history::fill(peer_update& out, const table_version& known) const {
    out.version = m_version;
    if (known >= m_version || !m_table || m_table->ranges.empty()) {
        return;
    }
    const auto base = std::find_if(m_earlier.begin(), m_earlier.end(),
                                   [&](const auto& entry) { return entry.first == known; });
    if (base == m_earlier.end()) {
        out.table = pack(*m_table);
        return;
    }
    out.base = known;
    auto difference = *m_table;
    difference.ranges = core::changed_ranges(*base->second, *m_table);
    out.table = pack(difference);
}

std::string table_history::apply(const peer_update& update, bool keep_earlier) {
    if (update.table.empty() || update.version <= m_version) {
        return {};
    }
    const bool whole = update.base == table_version{};
    if (!whole && (!m_table || m_version < update.base)) {
        return {}; // The base is missing. The next report states the version of this instance, and the reply
                   // fits it.
    }
    auto table = unpack_table(update.table);
    if (!table) {
        return table.error().message;
    }
    if (!whole) {
        auto merged = *m_table;
        core::replace_ranges(merged, table->ranges);
        table->ranges = std::move(merged.ranges);
    }
    if (!core::is_valid(*table)) {
        return "its key ranges do not cover each key exactly once";
    }
    put(update.version, std::move(*table), keep_earlier);
    return {};
}

} // namespace balsampost::entry
