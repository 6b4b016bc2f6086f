// Start and end of the deployment, and its callers.
#include "site.h"

#include <stdlib.h>
#include <unistd.h>

#include <random>

namespace balsampost::review::rig_3 {

using nlohmann::json;

namespace {

constexpr std::uint16_t store_port = 8642;
constexpr std::uint16_t server_port = 8080;
constexpr int first_network = 64;
constexpr int networks = 100;
constexpr milliseconds start_timeout{15'000};
constexpr milliseconds start_poll{50};
const std::map<std::string, std::string> regions_by_zone{{"z-a", "r1"}, {"z-b", "r2"}};

json route(const char* name, const char* prefix, const char* kind, const char* service) {
    return {{"name", name},  {"host", "h.example"}, {"path_prefix", prefix},
            {"kind", kind},  {"timeout", "3000ms"}, {"target_latency", "500ms"},
            {"priority", 1}, {"service", service},  {"max_attempts", 2}};
}

json service(const char* name, bool keyed) {
    return {{"name", name}, {"health_check_path", "/health"}, {"max_connections", 130}, {"sharded", keyed}};
}

} // namespace

site::site(record& out, const site_settings& settings) : m_record(out), m_settings(settings), m_audit(out) {
    auto folder = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    m_folder = ::mkdtemp(folder.data()) == nullptr ? "" : folder;
}

site::~site() {
    stop_callers();
    m_audit.stop();
    m_instances.clear();
    m_servers.clear();
    m_store.reset();
    if (::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    } else {
        std::printf("logs: %s\n", m_folder.c_str());
    }
}

std::string site::address(int group, int number) const {
    return m_network + "." + std::to_string(group) + "." + std::to_string(number);
}

void site::wait_until(milliseconds since_start) const {
    std::this_thread::sleep_for(std::max(since_start - m_record.elapsed(), milliseconds{0}));
}

backend& site::add_server(bool keyed) {
    const auto number = static_cast<int>(m_servers.size()) + 1;
    backend_settings s;
    s.id = (keyed ? "keyed-" : "plain-") + std::to_string(number);
    s.service = keyed ? "keyed" : "plain";
    s.zone = number % 2 == 0 ? "z-a" : "z-b";
    s.keyed = keyed;
    s.work = m_settings.work;
    s.slots = m_settings.slots;
    m_servers.push_back(std::make_unique<backend>(
        m_record, m_runs, s, endpoint{address(2, number), server_port}, keyed ? &m_audit : nullptr));
    auto& added = *m_servers.back();
    if (keyed) {
        m_audit.add(added);
    }
    m_store->put("servers", s.id, added.entry());
    m_record.line("server " + s.id + ": listed in the store");
    return added;
}

std::uint64_t site::write_manifest(int version, bool extra_route) {
    char text[16];
    std::snprintf(text, sizeof text, "%08x", static_cast<unsigned>(version));
    auto routes = json::array({route("r-read", "/read/", "safe", "plain"),
                               route("r-order", "/order/", "unsafe", "plain"),
                               route("r-keyed", "/keyed/", "safe", "keyed")});
    if (extra_route) {
        routes.push_back(route("r-added", "/added/", "safe", "plain"));
    }
    const json manifest{{"version", text},
                        {"routes", routes},
                        {"services", json::array({service("plain", false), service("keyed", true)})},
                        {"limits",
                         {{"max_header_bytes", 16384},
                          {"max_body_bytes", 67108864},
                          {"header_timeout", "3000ms"},
                          {"idle_timeout", "15000ms"}}}};
    const auto revision = m_store->put("config", "main", manifest);
    m_record.line("operator: manifest " + std::string(text) + " is confirmed at revision " +
                  std::to_string(revision));
    return revision;
}

bool site::take_network() {
    const auto first = static_cast<int>(::getpid());
    for (int i = 0; i < networks; ++i) {
        m_network = "127." + std::to_string(first_network + (first + i) % networks);
        m_store = std::make_unique<object_store>(m_record, endpoint{address(1, 1), store_port});
        if (m_store->listening()) {
            return true;
        }
    }
    return false;
}

bool site::start() {
    if (m_folder.empty() || !take_network()) {
        return false;
    }
    write_manifest(1, false);
    for (int i = 0; i < m_settings.plain_servers; ++i) {
        add_server(false);
    }
    for (int i = 0; i < m_settings.keyed_servers; ++i) {
        add_server(true);
    }
    for (const auto& s : m_servers) {
        if (!s->listening()) {
            return false;
        }
    }
    for (int i = 0; i < m_settings.instances; ++i) {
        const std::string zone = i % 2 == 0 ? "z-a" : "z-b";
        m_instances.push_back(std::make_unique<instance>(
            m_record, instance_settings{"edge-" + std::to_string(i + 1), regions_by_zone.at(zone), zone,
                                        address(3, i + 1), m_store->at(), regions_by_zone, m_settings.program,
                                        m_folder, m_settings.memory_mb}));
    }
    const auto until = clock::now() + start_timeout;
    for (const auto& i : m_instances) {
        while (!i->ready()) {
            if (clock::now() >= until) {
                return false;
            }
            std::this_thread::sleep_for(start_poll);
        }
    }
    if (m_settings.keyed_servers > 0) {
        m_audit.start();
    }
    m_record.line("all instances are ready");
    return true;
}

call_result site::request(const instance& to, const std::string& method, const std::string& path,
                          const std::string& key, const std::string& id, milliseconds timeout) {
    auto text = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Balsampost-Request-Id: " + id +
                "\r\nX-Balsampost-Deadline-Ms: " + std::to_string(timeout.count()) + "\r\n";
    if (!key.empty()) {
        text += "X-Balsampost-Shard-Key: " + key + "\r\n";
    }
    text += method == "POST" ? "Content-Length: 4\r\n\r\nbody" : "\r\n";
    const auto answer = call(to.front(), text, timeout);
    return answer ? call_result{answer->status, answer->body,
                                answer->headers.contains("x-balsampost-response-signature")}
                  : call_result{};
}

void site::log_request(const std::string& to, const std::string& id, const std::string& key, int status) {
    std::string servers;
    for (const auto& run : m_runs.of(id)) {
        servers += " " + run.server;
    }
    m_record.line("request " + id + " to " + to + (key.empty() ? "" : ", key " + key) + ": status " +
                  std::to_string(status) + ", ran at" + (servers.empty() ? " no server" : servers));
}

void site::start_callers(milliseconds interval) {
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        m_callers.emplace_back([this, i, interval] {
            std::mt19937 random(static_cast<unsigned>(i));
            for (int n = 0; !m_callers_stop; ++n) {
                const bool keyed = m_settings.keyed_servers > 0 && n % 2 == 0;
                const auto key = keyed ? std::to_string(random() % key_count) : "";
                const auto id = "c" + std::to_string(i) + "-" + std::to_string(n);
                const auto r = request(*m_instances[i], "GET", keyed ? "/keyed/x" : "/read/x", key, id,
                                       milliseconds{1'500});
                ++(r.status == 200 ? m_served : m_unserved);
                log_request(m_instances[i]->name(), id, key, r.status);
                std::this_thread::sleep_for(interval);
            }
        });
    }
}

void site::stop_callers() {
    m_callers_stop = true;
    for (auto& t : m_callers) {
        t.join();
    }
    if (!m_callers.empty()) {
        m_record.line("callers: " + std::to_string(m_served) + " served, " + std::to_string(m_unserved) +
                      " not served");
    }
    m_callers.clear();
}

} // namespace balsampost::review::rig_3
