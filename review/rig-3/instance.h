// A process of balsampost-entry with the settings of the deploy file's template.
#pragma once

#include "http.h"

#include <sys/types.h>

namespace balsampost::review::rig_3 {

struct instance_settings {
    std::string name;
    std::string region;
    std::string zone;
    std::string address;
    endpoint store;
    std::map<std::string, std::string> zones; ///< Region by zone.
    std::string program;
    std::string folder; ///< For the settings file and the log.
    int memory_mb = 260;
};

class instance {
public:
    instance(record& out, instance_settings settings);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    const std::string& name() const { return m_settings.name; }
    endpoint front() const { return {m_settings.address, 8641}; }
    endpoint readiness() const { return {m_settings.address, 8640}; }
    bool ready() const;
    /// Whether the process still runs.
    bool running();
    /// Memory in use by the process, in MiB, as the system states it; 0 if it has ended.
    int memory_mb() const;
    void send_signal(int number);
    /// Kills the process and starts another one after `delay`, as the platform does.
    void kill_and_restart(milliseconds delay);
    /// Whether the process's log holds `text`.
    bool logged(const std::string& text) const;

private:
    void launch();
    void end();

    record& m_record;
    instance_settings m_settings;
    pid_t m_process = -1;
};

} // namespace balsampost::review::rig_3
