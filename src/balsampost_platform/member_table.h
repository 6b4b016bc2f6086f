// The stand-in's list of instances and servers, which may lag behind what it was told.
#pragma once

#include "balsampost/core/identity.h"
#include "balsampost/core/time.h"

#include <deque>
#include <string>

namespace balsampost::stand_in {

class member_table {
public:
    void put_instance(const core::instance_record& record, core::time_point now);
    void put_server(const core::server_record& record, core::time_point now);
    /// False if there is no member of that name.
    bool remove(const std::string& name, core::time_point now);
    bool set_state(const std::string& name, core::member_state state, core::time_point now);
    void set_lag(core::milliseconds lag) { m_lag = lag; }

    /// The list as it was `lag` ago.
    const core::member_list& listed(core::time_point now);

private:
    struct dated {
        core::time_point since;
        core::member_list list;
    };
    core::member_list& change(core::time_point now);

    core::milliseconds m_lag{0};
    std::deque<dated> m_history{{core::never, {}}}; // Never empty; the newest is last.
};

} // namespace balsampost::stand_in
