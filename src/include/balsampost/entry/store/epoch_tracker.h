// Decides to which epoch of the store an answer belongs, and whether it is the answer of an epoch that has
// ended. No input or output.
#pragma once

#include "balsampost/core/store/revision.h"
#include "balsampost/core/time.h"

#include <functional>
#include <optional>
#include <utility>

namespace balsampost::entry::store {

using core::store::epoch;

class epoch_tracker {
public:
    /// The newest epoch that this instance has heard of.
    epoch current() const { return m_current; }
    /// Sets the action to call with the earlier and the new epoch when a newer one is heard of.
    void on_change(std::function<void(epoch, epoch)> action) { m_on_change = std::move(action); }

    /// Returns the epoch of an answer received at `now` to a call that was sent at `sent`, or nothing if the
    /// answer is a late one of an epoch that has ended. `announced`: the epoch that the answer states, if it
    /// states one.
    std::optional<epoch> answered(std::optional<epoch> announced, core::time_point sent,
                                  core::time_point now);
    /// Another instance has heard of `e`.
    void heard(epoch e, core::time_point now) { advance(e, now); }
    /// A linearizable list, called for at `sent`, was read at `number` in `e`. Returns the list's epoch: a
    /// new one if the revision has fallen, as only a restore can cause that.
    epoch listed(epoch e, std::uint64_t number, core::time_point sent, core::time_point now);

private:
    void advance(epoch e, core::time_point now);

    epoch m_current;
    /// Epochs that the store has not announced: restores seen by a falling revision.
    std::uint64_t m_unannounced = 0;
    /// Highest revision of a list in the current epoch, and when that list was read.
    std::uint64_t m_highest_listed = 0;
    core::time_point m_listed_at = core::never;
    core::time_point m_heard_at = core::never; // Of the current epoch.
    std::function<void(epoch, epoch)> m_on_change = [](epoch, epoch) {};
};

} // namespace balsampost::entry::store
