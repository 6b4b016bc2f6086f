// A small deployment: one store, servers of a plain and of a keyed service, two instances, and callers.
#pragma once

#include "backend.h"
#include "instance.h"

#include <filesystem>

namespace balsampost::review::rig_3 {

struct site_settings {
    std::string program;
    int instances = 2;
    int plain_servers = 2;
    int keyed_servers = 2;
    int memory_mb = 260;
    milliseconds work{20};
    int slots = 8;
};

/// An answer to a caller's request.
struct call_result {
    int status = 0; ///< 0: no whole answer.
    std::string body;
    bool is_signed = false; ///< With the server's signature.
};

class site {
public:
    site(record& out, const site_settings& settings);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /// Starts all and waits until the instances are ready. Returns false if they don't become so.
    bool start();
    /// Starts one more server and lists it in the store.
    backend& add_server(bool keyed);
    /// Writes the manifest; with `extra_route`, one with the route /added/ besides. Returns the revision.
    std::uint64_t write_manifest(int version, bool extra_route);

    /// Sends a request on a new connection. An empty key stands for none.
    call_result request(const instance& to, const std::string& method, const std::string& path,
                        const std::string& key, const std::string& id, milliseconds timeout);
    /// Writes what became of a request to the record; status 0 stands for no answer.
    void log_request(const std::string& to, const std::string& id, const std::string& key, int status);
    /// Sends keyed and plain requests to all instances, each `interval`, until `stop_callers`.
    void start_callers(milliseconds interval);
    void stop_callers();

    object_store& store() { return *m_store; }
    run_log& runs() { return m_runs; }
    ownership_audit& audit() { return m_audit; }
    std::vector<std::unique_ptr<instance>>& instances() { return m_instances; }
    std::vector<std::unique_ptr<backend>>& servers() { return m_servers; }
    void wait_until(milliseconds since_start) const;

private:
    std::string address(int group, int number) const;
    /// Takes a network in which the store's address is free. Returns false if there is none.
    bool take_network();

    record& m_record;
    site_settings m_settings;
    std::string m_network; // First two bytes of all addresses.
    std::string m_folder;
    run_log m_runs;
    ownership_audit m_audit;
    std::unique_ptr<object_store> m_store;
    std::vector<std::unique_ptr<backend>> m_servers;
    std::vector<std::unique_ptr<instance>> m_instances;
    std::vector<std::thread> m_callers;
    std::atomic<bool> m_callers_stop{false};
    std::atomic<int> m_served{0};
    std::atomic<int> m_unserved{0};
};

} // namespace balsampost::review::rig_3
