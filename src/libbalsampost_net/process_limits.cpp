// Resource limits by getrlimit(2), memory of the machine by sysconf(3), and of the group by cgroup v2 files.
#include "balsampost/net/process_limits.h"

#include <algorithm>
#include <fstream>
#include <string>

#include <sys/resource.h>
#include <unistd.h>

namespace balsampost::net {

namespace {

using amount = std::optional<std::uint64_t>;

amount limit_of(int which) {
    rlimit limit{};
    if (::getrlimit(static_cast<__rlimit_resource>(which), &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::nullopt;
    }
    return limit.rlim_cur;
}

void raise_descriptors() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != limit.rlim_max) {
        limit.rlim_cur = limit.rlim_max;
        static_cast<void>(::setrlimit(RLIMIT_NOFILE, &limit)); // Otherwise the lower limit holds.
    }
}

amount machine_memory() {
    const auto pages = ::sysconf(_SC_PHYS_PAGES);
    const auto page_size = ::sysconf(_SC_PAGESIZE);
    if (pages <= 0 || page_size <= 0) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(pages) * static_cast<std::uint64_t>(page_size);
}

/// Returns the least memory.max of this process's group and those above it.
amount group_memory() {
    std::ifstream groups("/proc/self/cgroup");
    std::string path;
    for (std::string line; std::getline(groups, line);) {
        if (line.starts_with("0::")) {
            path = line.substr(3);
        }
    }
    amount least;
    while (!path.empty() && path.front() == '/') {
        std::ifstream file("/sys/fs/cgroup" + path + "/memory.max");
        std::uint64_t bytes = 0;
        if (file >> bytes) { // The text `max` has no number.
            least = std::min(least.value_or(bytes), bytes);
        }
        path.resize(path.find_last_of('/'));
    }
    return least;
}

} // namespace

core::granted_limits raise_and_read_limits() {
    raise_descriptors();
    core::granted_limits out;
    out.descriptors = limit_of(RLIMIT_NOFILE);
    out.address_space = limit_of(RLIMIT_AS);
    out.data_segment = limit_of(RLIMIT_DATA);
    out.group_memory = group_memory();
    out.machine_memory = machine_memory();
    return out;
}

} // namespace balsampost::net
