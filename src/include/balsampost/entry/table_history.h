// Recent versions of a keyed service's table, so that an update needs to hold only the difference from the
// receiver's version.
#pragma once

#include "balsampost/entry/peer_exchange.h"

#include <deque>
#include <memory>

namespace balsampost::entry {

class table_history {
public:
    using table_ptr = std::shared_ptr<const core::key_table>;

    const table_version& version() const { return m_version; }
    /// The newest table; null if there is none.
    const table_ptr& table() const { return m_table; }
    /// Stores a table as the newest, keeping the previous ones if `keep_earlier` is set. Returns false if
    /// `version` is not newer than the current version.
    bool put(const table_version& version, core::key_table table, bool keep_earlier);
    /// Adds the table, or its difference from version `known`, to an update for a receiver that has `known`.
    void fill(peer_update& out, const table_version& known) const;
    /// Applies the table of an update. Returns an empty string if it was applied or there was nothing to
    /// apply, otherwise the reason why the table is unusable.
    std::string apply(const peer_update& update, bool keep_earlier);

private:
    table_version m_version;
    table_ptr m_table;
    /// Previous versions, oldest first.
    std::deque<std::pair<table_version, table_ptr>> m_earlier;
};

} // namespace balsampost::entry
