// Follows all objects of one kind in the store: a list, then changes, and a new list when the changes were
// lost.
#pragma once

#include "balsampost/entry/platform.h"
#include "balsampost/entry/timers.h"

#include <memory>

namespace balsampost::entry {

/// What a watch tells. Called on the watching thread.
struct watch_handlers {
    std::function<void(const std::vector<stored_object>&)> listed;
    std::function<void(const object_change&)> changed;
    /// After `listed` and after each run of `changed`.
    std::function<void()> settled;
    /// The store answers again after it did not for `out`.
    std::function<void(core::milliseconds out)> returned;
    std::function<void(store_fault)> lost;
};

class kind_watch : public std::enable_shared_from_this<kind_watch> {
public:
    kind_watch(object_store& store, timers& clock, std::string kind, watch_handlers handlers)
        : m_store(store), m_timers(clock), m_kind(std::move(kind)), m_handlers(std::move(handlers)) {}

    void start() { list(); }
    void stop() { m_stopped = true; }
    bool listed() const { return m_listed; }
    bool out() const { return m_out_since != core::never; }

private:
    void list();
    void watch();
    void failed(store_fault fault, bool again_from_list);
    void succeeded();

    object_store& m_store;
    timers& m_timers;
    std::string m_kind;
    watch_handlers m_handlers;
    std::uint64_t m_revision = 0;
    bool m_listed = false;
    bool m_stopped = false;
    core::time_point m_out_since = core::never;
    std::uint32_t m_failures = 0; // In a row.
    core::time_point m_careful_until = core::never;
};

} // namespace balsampost::entry
