// Backend servers, and the audit of who held which keys.
#pragma once

#include "object_store.h"

#include <array>
#include <memory>
#include <vector>

namespace balsampost::review::rig_3 {

constexpr std::size_t key_count = 65'536;

class backend;

/// Judges the rule OWNER over all servers of one keyed service.
class ownership_audit {
public:
    explicit ownership_audit(record& out) : m_record(out) {}
    ~ownership_audit() { stop(); }
    ownership_audit(const ownership_audit&) = delete;
    ownership_audit& operator=(const ownership_audit&) = delete;

    void add(backend& server);
    /// A server has taken a grant for keys that it did not hold under this token.
    void taken(const backend& server, std::size_t from, std::size_t to, std::uint64_t fence);
    /// Looks for keys that two servers hold, until `stop`.
    void start();
    void stop();

private:
    void look();

    record& m_record;
    std::mutex m_mutex;
    std::vector<backend*> m_servers;
    std::array<std::uint64_t, key_count> m_highest{}; // Highest token with which any server took the key.
    std::array<std::string, key_count> m_highest_by{};
    std::map<std::size_t, clock::time_point> m_shared_since;
    std::map<std::size_t, bool> m_told;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

struct run_record {
    std::string server;
    std::string method;
    std::string path;
};

/// What the servers ran, by request id.
class run_log {
public:
    void add(const std::string& id, run_record r) {
        const std::lock_guard lock(m_mutex);
        m_runs[id].push_back(std::move(r));
    }
    std::vector<run_record> of(const std::string& id) const {
        const std::lock_guard lock(m_mutex);
        const auto found = m_runs.find(id);
        return found == m_runs.end() ? std::vector<run_record>() : found->second;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<run_record>> m_runs;
};

struct backend_settings {
    std::string id;
    std::string service;
    std::string zone;
    bool keyed = false;
    milliseconds work{20};
    int slots = 8;
};

class backend {
public:
    backend(record& out, run_log& runs, backend_settings settings, endpoint at, ownership_audit* audit);

    bool listening() const { return m_server->listening(); }
    const std::string& id() const { return m_settings.id; }
    const backend_settings& settings() const { return m_settings; }
    nlohmann::json entry(bool draining = false) const;
    bool holds(std::size_t key) const;
    std::uint64_t fence_of(std::size_t key) const;

private:
    http_response answer(const http_request& request);
    http_response grant(const http_request& request);
    http_response release(const http_request& request);
    http_response run(const http_request& request);

    record& m_record;
    run_log& m_runs;
    backend_settings m_settings;
    ownership_audit* m_audit;
    std::int64_t m_born;
    mutable std::mutex m_mutex;
    std::array<std::uint64_t, key_count> m_seen{};  // Highest token seen.
    std::array<std::uint64_t, key_count> m_fence{}; // Token of the hold.
    std::array<clock::time_point, key_count> m_until{};
    std::map<std::size_t, int> m_running; // Requests at work, by key.
    endpoint m_at;
    std::unique_ptr<http_server> m_server;
};

} // namespace balsampost::review::rig_3
