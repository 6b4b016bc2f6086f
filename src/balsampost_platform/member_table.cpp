// Changes of the list, each a new version.
#include "member_table.h"

#include <algorithm>

namespace balsampost::stand_in {

namespace {

template <class Record>
void put(std::vector<Record>& records, const Record& record) {
    const auto at =
        std::find_if(records.begin(), records.end(), [&](const auto& r) { return r.name == record.name; });
    if (at == records.end()) {
        records.push_back(record);
    } else {
        *at = record;
    }
}

template <class Record>
bool set_state_of(std::vector<Record>& records, const std::string& name, core::member_state state) {
    const auto at =
        std::find_if(records.begin(), records.end(), [&](const auto& r) { return r.name == name; });
    if (at != records.end()) {
        at->state = state;
    }
    return at != records.end();
}

} // namespace

core::member_list& member_table::change(core::time_point now) {
    m_history.push_back({now, m_history.back().list});
    ++m_history.back().list.version;
    return m_history.back().list;
}

void member_table::put_instance(const core::instance_record& record, core::time_point now) {
    put(change(now).instances, record);
}

void member_table::put_server(const core::server_record& record, core::time_point now) {
    put(change(now).servers, record);
}

bool member_table::remove(const std::string& name, core::time_point now) {
    auto& list = change(now);
    const auto named = [&](const auto& r) { return r.name == name; };
    return std::erase_if(list.instances, named) + std::erase_if(list.servers, named) > 0;
}

bool member_table::set_state(const std::string& name, core::member_state state, core::time_point now) {
    auto& list = change(now);
    const bool instance = set_state_of(list.instances, name, state);
    return set_state_of(list.servers, name, state) || instance;
}

const core::member_list& member_table::listed(core::time_point now) {
    while (m_history.size() > 1 && m_history[1].since + m_lag <= now) {
        m_history.pop_front();
    }
    return m_history.front().list;
}

} // namespace balsampost::stand_in
