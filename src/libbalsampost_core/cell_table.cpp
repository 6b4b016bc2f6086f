// Lookups in a cell's table.
#include "balsampost/core/cell_table.h"

#include <algorithm>

namespace balsampost::core {

namespace {

template <class Rows>
auto find_row(Rows& rows, server_number number) -> decltype(rows.data()) {
    const auto at = std::lower_bound(rows.begin(), rows.end(), number,
                                     [](const server_row& row, server_number n) { return row.number < n; });
    return at == rows.end() || at->number != number ? nullptr : &*at;
}

} // namespace

const server_row* cell_table::find(server_number number) const {
    return find_row(servers, number);
}

server_row* cell_table::find(server_number number) {
    return find_row(servers, number);
}

const server_row* cell_table::find(const std::string& name) const {
    const auto at =
        std::find_if(servers.begin(), servers.end(), [&](const auto& row) { return row.name == name; });
    return at == servers.end() ? nullptr : &*at;
}

cell_table empty_table(std::uint32_t index, std::uint32_t slices, std::uint32_t cells) {
    cell_table table;
    std::uint32_t count = 0;
    bool found = false;
    for (std::uint32_t slice = 0; slice < slices; ++slice) {
        if (cell_of_slice(slice, slices, cells) == index) {
            table.first_slice = found ? table.first_slice : slice;
            found = true;
            ++count;
        }
    }
    table.slices.resize(count);
    return table;
}

} // namespace balsampost::core
