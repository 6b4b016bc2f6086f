// LOST and DRAIN: another writer's entry among the servers has a field of another type, or bytes that can't
// be read. It names no server to use; the others hold, callers are answered, and a server that leaves gets no
// requests later than `drain`.
#include "../common/stand_ins.h"

#include <cstdio>
#include <cstdlib>

using namespace review;

namespace {

constexpr int server_count = 4;
constexpr int machine_count = 2;
constexpr int connections_per_machine = 8;
constexpr int allowed_cuts = 3; // Of LOST, for a machine in touch.
constexpr milliseconds drain{2'000};
constexpr milliseconds observed{7'000}; // A leaving server serves for `drain` and a little longer.
const std::string host = "home.example";
// A string that was cut within a character: half of a surrogate pair. The store's answer is JSON all the
// same.
const std::string unreadable_entry =
    R"({"service":"home","address":"127.0.0.1:9","zone":"aarhus-a \ud83d","version":"v1","slots":3,)"
    R"("state":"ready","warmup_left":"0ms","sequence":1,"born":1764889200000})";
constexpr int nesting = 200'000;

/// VARIANT=nested: a field of another type, deeply nested lists of 400 KB. VARIANT=number: a number that no
/// machine type holds. VARIANT=surrogate, and without one: a string that was cut within a character.
std::string foreign_entry() {
    const char* variant = std::getenv("VARIANT");
    if (variant != nullptr && std::string(variant) == "nested") {
        return R"({"service":)" + std::string(nesting, '[') + std::string(nesting, ']') + "}";
    }
    if (variant != nullptr && std::string(variant) == "number") {
        return R"({"service":"home","slots":1e999})";
    }
    return unreadable_entry;
}

} // namespace

int main(int argc, char** argv) {
    record log(argc > 1 ? argv[1] : "record.txt");
    const temporary_folder folder;
    object_store store;
    const auto store_at = free_address(100);
    store.start(store_at);
    put_manifest(store, 7, host, {{"r-home", "/home/", "safe", "home"}}, {});

    std::atomic<long long> draining_since{-1};
    std::atomic<int> late{0};
    std::vector<std::unique_ptr<backend>> servers;
    std::vector<backend*> sound;
    for (int i = 0; i < server_count; ++i) {
        const auto at = free_address(50 + i);
        servers.push_back(std::make_unique<backend>(
            log, store, backend_options{"i-home" + std::to_string(i), "home", "aarhus-a", false, 6}, at));
        sound.push_back(servers.back().get());
        servers.back()->start(at);
        servers.back()->report_ready();
    }
    servers[0]->on_request = [&](const std::string& request) {
        const auto since = draining_since.load();
        const auto at = log.now_ms();
        if (since >= 0 && at - since > drain.count()) {
            ++late;
            log.line("DRAIN: request " + request + " reaches server i-home0 " + std::to_string(at - since) +
                     " ms after the store confirmed that it is draining");
        }
    };
    const std::vector<std::pair<std::string, std::string>> zones{{"aarhus-a", "jylland"}};
    std::vector<std::unique_ptr<machine>> machines;
    for (int i = 0; i < machine_count; ++i) {
        machines.push_back(std::make_unique<machine>(
            log,
            machine_options{"edge-aarhus-a-" + std::to_string(i + 1), "aarhus-a", 260, {{"grace", "6s"}}},
            1 + i, store_at, zones, folder.path()));
        machines.back()->start();
    }
    for (const auto& m : machines) {
        if (!m->wait_ready(milliseconds{15'000})) {
            log.line("no readiness");
            return exit_cannot_run;
        }
    }
    kept_callers callers(log, host, "/home/50", sound);
    for (const auto& m : machines) {
        callers.start(*m, connections_per_machine);
    }
    std::this_thread::sleep_for(milliseconds{4'000});
    if (!without_trouble()) {
        log.line("another writer puts an entry that can't be read");
        store.put("servers", "i-foreign", foreign_entry());
    }
    std::this_thread::sleep_for(milliseconds{1'000});
    servers[0]->report_draining();
    draining_since = log.now_ms();
    std::this_thread::sleep_for(observed);
    callers.stop();

    bool lost = false;
    for (const auto& m : machines) {
        log.line("machine " + m->name() + ": its process ended by itself " + std::to_string(m->own_ends()) +
                 " times; " + std::to_string(callers.answered(m->name())) + " requests answered, " +
                 std::to_string(callers.cut(m->name())) + " passed on and cut without an answer; " +
                 (m->ready() ? "ready" : "not ready"));
        lost = lost || callers.cut(m->name()) > allowed_cuts;
    }
    log.line(std::string("LOST ") + (lost ? "broken" : "held"));
    log.line(std::to_string(late) + " requests reached the leaving server late: DRAIN " +
             (late > 0 ? "broken" : "held"));
    for (auto& m : machines) {
        m->stop();
    }
    for (auto& s : servers) {
        s->stop();
    }
    store.stop();
    return late > 0 || lost ? exit_broken : exit_held;
}
