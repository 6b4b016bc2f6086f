// Grants, releases, requests, and the audit.
#include "backend.h"

#include <algorithm>

namespace balsampost::review::rig_3 {

using nlohmann::json;

namespace {

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_misdirected = 421;
constexpr milliseconds look_interval{20};
constexpr milliseconds tolerated_overlap{500};
constexpr std::size_t look_step = 64; // One key of each so many is looked at.
constexpr milliseconds release_poll{5};
constexpr milliseconds max_release_wait{3'000};

http_response not_run(int status) {
    return {status, {{"x-balsampost-not-executed", "1"}}, ""};
}

std::int64_t now_ms() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

void ownership_audit::add(backend& server) {
    const std::lock_guard lock(m_mutex);
    m_servers.push_back(&server);
}

void ownership_audit::taken(const backend& server, std::size_t from, std::size_t to, std::uint64_t fence) {
    const std::lock_guard lock(m_mutex);
    bool told = false;
    for (auto key = from; key <= to; ++key) {
        if (!m_highest_by[key].empty() && m_highest_by[key] != server.id() && fence <= m_highest[key] &&
            !told) {
            told = true;
            m_record.breach("server " + server.id() + " takes key " + std::to_string(key) + " with fence " +
                            std::to_string(fence) + "; server " + m_highest_by[key] + " had it with fence " +
                            std::to_string(m_highest[key]));
        }
        if (fence >= m_highest[key]) {
            m_highest[key] = fence;
            m_highest_by[key] = server.id();
        }
    }
}

void ownership_audit::start() {
    m_thread = std::thread([this] {
        while (!m_stopping) {
            look();
            std::this_thread::sleep_for(look_interval);
        }
    });
}

void ownership_audit::stop() {
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void ownership_audit::look() {
    std::vector<backend*> servers;
    {
        const std::lock_guard lock(m_mutex);
        servers = m_servers;
    }
    std::string told_range;
    for (std::size_t key = 0; key < key_count; key += look_step) {
        std::vector<const backend*> holders;
        for (const auto* s : servers) {
            if (s->holds(key)) {
                holders.push_back(s);
            }
        }
        if (holders.size() < 2) {
            m_shared_since.erase(key);
            m_told.erase(key);
            continue;
        }
        const auto [since, first] = m_shared_since.try_emplace(key, clock::now());
        if (clock::now() - since->second > tolerated_overlap && !std::exchange(m_told[key], true) &&
            told_range != holders[0]->id() + holders[1]->id()) {
            told_range = holders[0]->id() + holders[1]->id();
            m_record.breach("key " + std::to_string(key) + " is held for over 500 ms by server " +
                            holders[0]->id() + " with fence " + std::to_string(holders[0]->fence_of(key)) +
                            " and by server " + holders[1]->id() + " with fence " +
                            std::to_string(holders[1]->fence_of(key)));
        }
    }
}

backend::backend(record& out, run_log& runs, backend_settings settings, endpoint at, ownership_audit* audit)
    : m_record(out), m_runs(runs), m_settings(std::move(settings)), m_audit(audit), m_born(now_ms()),
      m_at(std::move(at)) {
    m_server = std::make_unique<http_server>(m_at, [this](const http_request& r) { return answer(r); });
}

json backend::entry(bool draining) const {
    return {{"service", m_settings.service},
            {"address", m_at.text()},
            {"zone", m_settings.zone},
            {"version", "v1"},
            {"slots", m_settings.slots},
            {"state", draining ? "draining" : "ready"},
            {"warmup_left", "0ms"},
            {"sequence", 4},
            {"born", m_born}};
}

bool backend::holds(std::size_t key) const {
    const std::lock_guard lock(m_mutex);
    return clock::now() < m_until[key];
}

std::uint64_t backend::fence_of(std::size_t key) const {
    const std::lock_guard lock(m_mutex);
    return m_fence[key];
}

http_response backend::grant(const http_request& request) {
    const auto order = json::parse(request.body);
    const auto from = order.at("from").get<std::size_t>();
    const auto to = order.at("to").get<std::size_t>();
    const auto fence = order.at("fence").get<std::uint64_t>();
    const milliseconds hold(std::stoi(order.at("hold_time").get<std::string>()));
    const std::lock_guard lock(m_mutex);
    const auto at = clock::now();
    for (auto key = from; key <= to; ++key) {
        if (m_seen[key] > fence) {
            m_record.line("server " + m_settings.id + ": 409 to a grant of " + std::to_string(from) + ".." +
                          std::to_string(to) + " with fence " + std::to_string(fence));
            return {status_conflict, {}, ""};
        }
    }
    bool is_new = false;
    for (auto key = from; key <= to; ++key) {
        is_new = is_new || m_until[key] <= at || m_fence[key] != fence;
        m_seen[key] = fence;
        m_fence[key] = fence;
        m_until[key] = at + hold;
    }
    if (is_new) {
        m_record.line("server " + m_settings.id + ": takes " + std::to_string(from) + ".." +
                      std::to_string(to) + " with fence " + std::to_string(fence) + " for " +
                      std::to_string(hold.count()) + " ms");
        if (m_audit != nullptr) {
            m_audit->taken(*this, from, to, fence);
        }
    }
    return {status_ok, {}, ""};
}

http_response backend::release(const http_request& request) {
    const auto order = json::parse(request.body);
    const auto from = order.at("from").get<std::size_t>();
    const auto to = order.at("to").get<std::size_t>();
    const auto fence = order.at("fence").get<std::uint64_t>();
    std::unique_lock lock(m_mutex);
    for (auto key = from; key <= to; ++key) {
        m_seen[key] = std::max(m_seen[key], fence);
        if (m_fence[key] <= fence) {
            m_until[key] = {};
        }
    }
    m_record.line("server " + m_settings.id + ": releases " + std::to_string(from) + ".." +
                  std::to_string(to) + " under fence " + std::to_string(fence));
    const auto until = clock::now() + max_release_wait;
    const auto busy = [&] {
        const auto at = m_running.lower_bound(from);
        return at != m_running.end() && at->first <= to;
    };
    while (busy() && clock::now() < until) {
        lock.unlock();
        std::this_thread::sleep_for(release_poll);
        lock.lock();
    }
    return {status_ok, {{"x-balsampost-handover", "5c0e7a21d94b36f8"}}, ""};
}

http_response backend::run(const http_request& request) {
    std::size_t key = 0;
    if (m_settings.keyed) {
        const std::lock_guard lock(m_mutex);
        const auto text = request.header("x-balsampost-shard-key");
        key = text.empty() ? 0 : std::stoul(text);
        if (text.empty() || key >= key_count || clock::now() >= m_until[key]) {
            return not_run(status_misdirected);
        }
        ++m_running[key];
    }
    const auto id = request.header("x-balsampost-request-id");
    m_runs.add(id, {m_settings.id, request.method, request.target});
    std::this_thread::sleep_for(m_settings.work);
    if (m_settings.keyed) {
        const std::lock_guard lock(m_mutex);
        if (--m_running[key] == 0) {
            m_running.erase(key);
        }
    }
    return {status_ok,
            {{"x-balsampost-response-signature", m_settings.id}, {"x-balsampost-server-load", "1,0,8"}},
            m_settings.service + " ran " + id};
}

http_response backend::answer(const http_request& request) {
    http_response out;
    const auto expected = request.header("x-balsampost-expect-instance");
    if (!expected.empty() && expected != m_settings.id) {
        out = not_run(status_misdirected);
    } else if (request.target == "/v1/grant") {
        out = grant(request);
    } else if (request.target == "/v1/release") {
        out = release(request);
    } else {
        out = run(request);
    }
    const auto id = request.header("x-balsampost-request-id");
    if (!id.empty()) {
        out.headers["x-balsampost-request-id"] = id;
    }
    return out;
}

} // namespace balsampost::review::rig_3
