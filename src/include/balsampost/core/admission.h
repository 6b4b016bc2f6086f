// Admission to the owners of overloaded keys: which part of the requests is sent, so that the owner answers
// those in time, and when the others, which are refused at once, may return. It answers a load in which one
// or a few keys get more requests than a server can run, so that no assignment of keys helps.
#pragma once

#include "balsampost/core/key_plan.h"

#include <map>

namespace balsampost::core {

/// Returns the fraction of the requests to admit for each server whose measured load exceeds its capacity by
/// far. Other servers are not listed.
std::map<incarnation, double>
admitted_fractions(const key_table& table, const std::vector<key_server>& servers, const key_rates& rates);

/// Returns when a caller that was not admitted may come back. A caller that can still be answered in target
/// returns soon. Otherwise, the smaller the admitted fraction, the longer the overload lasts and the more
/// callers return in vain, so they return later; but a caller gets two more chances until its deadline.
milliseconds overload_retry_after(double admitted_fraction, milliseconds time_to_target,
                                  milliseconds time_to_deadline);

} // namespace balsampost::core
