// A planned stop whose signal meets a frozen entry: the entry counts the grace from its waking, the platform
// from the signal.
#include "rig.h"

using namespace rig;

namespace {

constexpr int connections_count = 20;
constexpr long freeze_from_ms = 9'000;
constexpr long freeze_ms = 4'000;
constexpr long signal_before_waking_ms = 1'500;
constexpr long grace_ms = 6'000;
constexpr long stable_window_ms = 3'000;
constexpr long first_request_ms = 30; // After `stable_window`.
constexpr long request_gap_ms = 5;
constexpr long work_ms = 1'600;
constexpr long time_limit_ms = 2'500;

int connect_to(const entry_process& e) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto at = address_of(e.ip, e.callers);
    return ::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 ? fd : -1;
}

} // namespace

int main(int, char** argv) {
    const std::string folder = argv[1];
    journal.open(argv[2]);
    const char* setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";

    static store s;
    if (!s.start("127.33.1.1")) {
        return 2;
    }
    static std::vector<std::unique_ptr<backend>> servers;
    for (int i = 0; i < 4; ++i) {
        auto b = std::make_unique<backend>();
        b->id = "i-desk-" + std::to_string(i + 1);
        b->service = "desk";
        b->slots = 6;
        b->work_ms = 20;
        if (!b->start("127.33.2." + std::to_string(i + 1))) {
            return 2;
        }
        s.put("servers", b->id, b->entry());
        servers.push_back(std::move(b));
    }
    s.put("config", "main",
          {{"version", "00000001"},
           {"services",
            json::array({{{"name", "desk"}, {"max_connections", 130}, {"health_check_path", "/health"}}})},
           {"routes", json::array({{{"name", "hold"},
                                    {"host", "desk.example"},
                                    {"path_prefix", "/"},
                                    {"kind", "unsafe"},
                                    {"timeout", "2500ms"},
                                    {"target_latency", "2000ms"},
                                    {"priority", 1},
                                    {"max_attempts", 2},
                                    {"service", "desk"}}})},
           {"limits",
            {{"max_header_bytes", 16384},
             {"max_body_bytes", 1048576},
             {"header_timeout", "5s"},
             {"idle_timeout", "30s"}}}});
    std::vector<entry_process> entries;
    bool ready = true;
    for (int i = 0; i < 2; ++i) {
        entries.push_back(start_entry("edge-" + std::to_string(i + 1), "127.33.3." + std::to_string(i + 1),
                                      "a", s, folder, usual_bounds));
    }
    for (const auto& e : entries) {
        ready = wait_ready(e, 8'000) && ready;
    }
    auto& stopped = entries.front();

    // Kept connections: one request each before the freeze, one after it.
    std::vector<int> connections;
    std::vector<std::string> pending(connections_count);
    int served_before = 0;
    for (int i = 0; ready && i < connections_count; ++i) {
        connections.push_back(connect_to(stopped));
        const auto id = "before-" + std::to_string(i);
        message reply;
        const auto index = static_cast<std::size_t>(i);
        if (connections.back() >= 0 &&
            write_all(connections.back(),
                      request_text("POST", "/hold", "desk.example", id, time_limit_ms, -1, "bed")) &&
            read_message(connections.back(), pending[index], reply, now_ms() + time_limit_ms) &&
            reply.status() == 200) {
            ++served_before;
        }
        journal.line("%s -> %d", id.c_str(), reply.status());
    }
    for (auto& b : servers) {
        b->work_ms = work_ms;
    }
    if (!ready || served_before < connections_count || now_ms() > freeze_from_ms) {
        std::puts("the entries did not become ready in time");
        for (auto& e : entries) {
            end_process(e);
        }
        end_rig(2);
    }

    sleep_until_ms(freeze_from_ms);
    journal.line("%s freezes%s", stopped.name.c_str(), trouble ? "" : " (left out)");
    if (trouble) {
        ::kill(stopped.pid, SIGSTOP);
    }
    const long waking = freeze_from_ms + freeze_ms;
    const long signal = trouble ? waking - signal_before_waking_ms : waking;
    sleep_until_ms(signal);
    journal.line("SIGTERM to %s", stopped.name.c_str());
    const auto signalled = now_ms();
    ::kill(stopped.pid, SIGTERM);
    std::thread platform([&] {
        while (now_ms() < signalled + grace_ms && ::waitpid(stopped.pid, nullptr, WNOHANG) == 0) {
            sleep_ms(5);
        }
        const bool killed = now_ms() >= signalled + grace_ms;
        if (killed) {
            ::kill(stopped.pid, SIGKILL);
            ::waitpid(stopped.pid, nullptr, 0);
        }
        stopped.pid = 0;
        journal.line("edge-1 %s %ld ms after SIGTERM", killed ? "is killed" : "has ended",
                     now_ms() - signalled);
    });
    sleep_until_ms(waking);
    if (trouble) {
        ::kill(stopped.pid, SIGCONT);
        journal.line("%s is awake", stopped.name.c_str());
    }
    const auto awake = now_ms();

    std::atomic<int> lost{0};
    std::atomic<int> passed_on{0};
    static std::mutex mutex;
    static std::set<std::string> run;
    for (auto& b : servers) {
        b->on_run = [](const message& m) {
            const std::lock_guard lock(mutex);
            run.insert(m.header("x-balsampost-request-id"));
        };
    }
    std::vector<std::thread> threads;
    for (int i = 0; i < connections_count; ++i) {
        threads.emplace_back([&, i] {
            const auto index = static_cast<std::size_t>(i);
            sleep_until_ms(awake + stable_window_ms + first_request_ms + i * request_gap_ms);
            const auto id = "after-" + std::to_string(i);
            const auto sent = now_ms();
            message reply;
            const bool written = write_all(connections[index], request_text("POST", "/hold", "desk.example",
                                                                            id, time_limit_ms, -1, "bed"));
            const bool answered =
                written && read_message(connections[index], pending[index], reply, sent + time_limit_ms);
            bool ran;
            {
                const std::lock_guard lock(mutex);
                ran = run.count(id) > 0;
            }
            journal.line("%s sent %ld ms after SIGTERM, %s -> %d after %ld ms", id.c_str(), sent - signalled,
                         ran ? "passed on" : "not passed on", answered ? reply.status() : 0, now_ms() - sent);
            passed_on += ran ? 1 : 0;
            // Not counted: a time limit that was reached.
            lost += ran && !answered && now_ms() - sent < time_limit_ms ? 1 : 0;
        });
    }
    for (auto& t : threads) {
        t.join();
    }
    platform.join();
    for (auto& e : entries) {
        end_process(e);
    }
    std::printf("%d requests were passed on, %d of them ended without an answer\n", passed_on.load(),
                lost.load());
    if (passed_on == 0) {
        end_rig(2);
    }
    end_rig(lost > 0 ? 1 : 0);
}
