// Stand-ins of the platform for the review's scripts: object store, backend servers, callers and the machines
// that run entries. They follow PROTOCOL.md and DEPLOY.md; faults are switched on by the scripts.
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

using milliseconds = std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

/// Writes what was sent, answered and run, each line with the milliseconds since the start.
class record {
public:
    explicit record(const std::string& path);
    ~record();
    void line(const std::string& text);
    long long now_ms() const;

private:
    std::mutex m_mutex;
    std::FILE* m_file;
    clock::time_point m_start = clock::now();
};

struct address {
    std::string ip;
    std::uint16_t port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

/// Returns a loopback address with a free port. `host` is the last number of the address; the two in the
/// middle differ from run to run.
address free_address(int host);

/// One HTTP message, request or response.
struct message {
    std::string start_line;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    std::string method() const;
    std::string target() const;
    int status() const;
    std::string header(const std::string& lower_name) const;
};

/// A connected socket with blocking reads.
class stream {
public:
    explicit stream(int fd) : m_fd(fd) {}
    ~stream();
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;
    /// Connects; the descriptor is -1 if that fails.
    static std::unique_ptr<stream> open(const address& to);
    bool ok() const { return m_fd >= 0; }
    int fd() const { return m_fd; }
    /// Reads one message with a length or in chunks. Returns false at the end of the connection, after
    /// `timeout` and for what is no message.
    bool read(message& out, milliseconds timeout = milliseconds{600'000});
    bool send(const std::string& bytes);
    /// Whether the peer has closed the connection.
    bool closed_by_peer() const;
    void shut_down();

private:
    bool fill(clock::time_point until);
    int m_fd;
    std::string m_buffer;
};

/// Accepts connections and serves each on a thread of its own.
class listener {
public:
    listener() = default;
    virtual ~listener() = default;
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    void start(const address& at);
    /// Closes the listening socket and all connections, and waits for their threads.
    void stop();

protected:
    /// Serves one connection until it ends.
    virtual void serve(stream& connection) = 0;
    std::atomic<bool> m_stopping{false};

private:
    void accept_loop();
    int m_listening = -1;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::list<std::thread> m_threads;
    std::set<stream*> m_connections;
};

/// The platform's metadata store, as in PROTOCOL.md.
class object_store : public listener {
public:
    ~object_store() override { stop(); }
    /// Writes an object as another party of the platform does. `spec` is JSON text, stored as it is.
    std::uint64_t put(const std::string& kind, const std::string& name, const std::string& spec);
    void remove(const std::string& kind, const std::string& name);

protected:
    void serve(stream& connection) override;

private:
    struct object {
        std::string spec;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };
    std::string object_text(const std::string& name, const object& o) const;
    void note(const std::string& kind, const std::string& name, const object& o, bool removed);
    std::string answer(const message& request);
    std::string answer_get(const std::string& kind, const std::string& name, const std::string& query);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::deque<change> m_changes;
    std::uint64_t m_revision = 100;
};

struct backend_options {
    std::string id;
    std::string service;
    std::string zone;
    bool keyed = false;
    int slots = 6;
};

/// What servers of a keyed service hold and work on, for the check of OWNER.
struct key_work {
    std::string server;
    std::string request;
    std::uint32_t key = 0;
    clock::time_point hold_until; ///< Of the grant under which the work began or was renewed.
};

/// A backend server. A request's path ends in /MS, the milliseconds of work.
class backend : public listener {
public:
    backend(record& log, object_store& store, backend_options options, const address& at);
    ~backend() override { stop(); }
    void report_ready();
    /// Planned leaving: the entry says `draining`; the server serves on.
    void report_draining();
    void remove_entry();
    const std::string& id() const { return m_options.id; }
    bool holds(std::uint32_t key);
    bool has_run(const std::string& request);
    std::size_t runs_of(const std::string& request);
    /// Answers that it has given.
    int answers() const { return m_answers; }
    /// Work in progress on keys of the range whose hold has not run out.
    std::vector<key_work> work_on(std::uint32_t from, std::uint32_t to);

    /// Called before a grant takes effect: from, to, fence.
    std::function<void(std::uint32_t, std::uint32_t, std::uint64_t)> on_grant;
    /// Called when a request begins: id.
    std::function<void(const std::string&)> on_request;
    /// Fault: so many times, a second copy of the last answer is sent late, where the answer to a release is
    /// expected.
    std::atomic<int> extra_answers{0};
    /// Fault: so many handovers, the answers to releases, have wrong bytes.
    std::atomic<int> garbled_handovers{0};
    /// Fault: bytes without end, until the caller closes, in place of the answer to a grant.
    std::atomic<bool> endless_grant_answers{false};

protected:
    void serve(stream& connection) override;

private:
    void report(const char* state);
    std::string grant(const message& request);
    std::string release(const message& request);
    std::string run(const message& request);
    void send_endless(stream& connection);

    record& m_log;
    object_store& m_store;
    backend_options m_options;
    address m_at;
    std::int64_t m_born;
    std::mutex m_mutex;
    std::condition_variable m_work_ended;
    std::vector<std::uint64_t> m_fence;
    std::vector<clock::time_point> m_held_until;
    /// End of the hold had there been no release.
    std::vector<clock::time_point> m_would_hold_until;
    std::map<std::string, std::uint32_t> m_running; // Key of each running request, by id.
    std::map<std::string, std::size_t> m_runs;
    std::atomic<int> m_answers{0};
    int m_sequence = 0;
};

struct machine_options {
    std::string name;
    std::string zone;
    int memory_mb = 260;
    /// Bounds by name, as the platform's settings have them.
    std::vector<std::pair<std::string, std::string>> bounds;
};

/// A machine that runs one entry with the command of deploy/system.toml and restarts it when it ends.
class machine {
public:
    machine(record& log, machine_options options, int host, const address& store,
            const std::vector<std::pair<std::string, std::string>>& zones, const std::string& folder);
    ~machine() { stop(); }
    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;
    void start();
    /// Ends the process for good.
    void stop();
    /// Sends SIGTERM; the process is not started again.
    void terminate();
    /// Whether the readiness page answers 200.
    bool ready() const;
    bool wait_ready(milliseconds within) const;
    const address& front() const { return m_front; }
    const std::string& name() const { return m_options.name; }
    /// How often the process ended by itself, or was killed because of its memory.
    int own_ends() const { return m_own_ends; }
    int peak_memory_mb() const { return m_peak_mb; }

private:
    void render_settings() const;
    void launch();
    void watch();

    record& m_log;
    machine_options m_options;
    address m_front;
    address m_ready;
    address m_peers;
    address m_store;
    std::vector<std::pair<std::string, std::string>> m_zones;
    std::string m_folder;
    std::atomic<pid_t> m_pid{-1};
    std::atomic<int> m_own_ends{0};
    std::atomic<int> m_peak_mb{0};
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_terminated{false};
    std::thread m_watcher;
};

struct caller_request {
    std::string method = "GET";
    std::string path;
    std::string host;
    std::string id;
    int deadline_ms = 3'000;
    int key = -1; ///< -1: none.
    std::string body;
};

std::string to_bytes(const caller_request& request);

/// Sends the request on a connection of its own. Returns false if there was no complete answer.
bool ask(const address& front, const caller_request& request, message& answer,
         milliseconds within = milliseconds{10'000});

/// Sends one upload with its body in chunks, at `bytes_per_s`. Returns false if there was no complete answer.
bool upload_in_chunks(const address& front, const caller_request& request, std::size_t body_bytes,
                      std::size_t bytes_per_s, message& answer);

/// Callers that keep their connections and send safe requests one after the other. Counts the requests that
/// a sound server began to run and whose connection ended without an answer, by machine.
class kept_callers {
public:
    kept_callers(record& log, std::string host, std::string path, std::vector<backend*> servers);
    ~kept_callers() { stop(); }
    void start(const machine& m, int connections);
    void stop();
    /// Requests passed on and cut.
    int cut(const std::string& machine_name);
    int answered(const std::string& machine_name);

private:
    void run(const machine& m, int number);
    record& m_log;
    std::string m_host;
    std::string m_path;
    std::vector<backend*> m_servers;
    std::atomic<bool> m_stopping{false};
    std::list<std::thread> m_threads;
    std::mutex m_mutex;
    std::map<std::string, int> m_cut;
    std::map<std::string, int> m_answered;
};

struct route_options {
    std::string name;
    std::string path_prefix;
    std::string kind;
    std::string service;
    int timeout_ms = 1'500;
};

/// Writes a manifest with these routes; all are routes of `host`.
void put_manifest(object_store& store, int version, const std::string& host,
                  const std::vector<route_options>& routes, const std::set<std::string>& keyed_services);

/// Sends requests of 5 ms one after the other, on keys spread over all servers. Returns how many got a 200.
int warm_up(const machine& m, const std::string& host, const std::string& prefix, int requests);

/// Whether the environment asks for a run without the disruption.
bool without_trouble();
/// A new temporary folder, removed when the object goes.
class temporary_folder {
public:
    temporary_folder();
    ~temporary_folder();
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_cannot_run = 2;

} // namespace review
