// The last tables of a keyed service, so that an update holds only what changed since the one that its
// receiver has.
#pragma once

#include "balsampost/entry/peer_exchange.h"

#include <deque>
#include <memory>

namespace balsampost::entry {

class table_history {
public:
    using table_ptr = std::shared_ptr<const core::key_table>;

    const table_version& version() const { return m_version; }
    /// The newest; null if there is none.
    const table_ptr& table() const { return m_table; }
    /// False if `version` is not newer.
    bool put(const table_version& version, core::key_table table, bool keep_earlier);
    /// Adds the table to an update for a receiver that has `known`.
    void describe(peer_update& out, const table_version& known) const;
    /// Takes the table of an update. An empty text: nothing to take, or taken; else why it cannot be used.
    std::string take(const peer_update& update, bool keep_earlier);

private:
    table_version m_version;
    table_ptr m_table;
    std::deque<std::pair<table_version, table_ptr>> m_earlier; // The newest last.
};

} // namespace balsampost::entry
