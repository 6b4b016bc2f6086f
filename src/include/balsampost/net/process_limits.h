// Reads the limits that the system grants to this process.
#pragma once

#include "balsampost/core/process_limits.h"

namespace balsampost::net {

/// Raises the limit of descriptors as far as the system allows and returns all limits. What the system
/// refuses to tell is absent.
core::granted_limits raise_and_read_limits();

} // namespace balsampost::net
