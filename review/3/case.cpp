// LOST: a server that leaves hands out wrong bytes in the handover of its keys. The process that receives
// them must go on; callers' requests at other, sound servers must be answered. VARIANT=endless: two servers
// answer a grant with bytes without end instead.
#include "../common/stand_ins.h"

#include <cstdio>
#include <cstdlib>

using namespace review;

namespace {

constexpr int keyed_servers = 4;
constexpr int endless_servers = 2;
constexpr int other_servers = 4;
constexpr int machine_count = 3;
constexpr int connections_per_machine = 8;
constexpr int allowed_cuts = 3; // Of LOST, for a machine in touch.
constexpr milliseconds settle{5'000};
constexpr int warm_up_requests = 300; // One wrong answer is then under 2 in 100 of the server's.
constexpr milliseconds observed{12'000};
const std::string host = "desk.example";

} // namespace

int main(int argc, char** argv) {
    record log(argc > 1 ? argv[1] : "record.txt");
    const temporary_folder folder;
    object_store store;
    const auto store_at = free_address(100);
    store.start(store_at);
    put_manifest(store, 7, host,
                 {{"r-desk", "/desk/", "unsafe", "desk"}, {"r-home", "/home/", "safe", "home"}}, {"desk"});

    std::vector<std::unique_ptr<backend>> servers;
    std::vector<backend*> sound;
    for (int i = 0; i < keyed_servers + other_servers; ++i) {
        const auto at = free_address(50 + i);
        const bool keyed = i < keyed_servers;
        const std::string service = keyed ? "desk" : "home";
        servers.push_back(std::make_unique<backend>(
            log, store, backend_options{"i-" + service + std::to_string(i), service, "aarhus-a", keyed, 12},
            at));
        servers.back()->start(at);
        servers.back()->report_ready();
        if (!keyed) {
            sound.push_back(servers.back().get());
        }
    }
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
    std::this_thread::sleep_for(settle);
    log.line(std::to_string(warm_up(*machines[0], host, "/desk/", warm_up_requests)) + " requests served");
    kept_callers callers(log, host, "/home/300", sound);
    for (const auto& m : machines) {
        callers.start(*m, connections_per_machine);
    }
    std::this_thread::sleep_for(milliseconds{2'000});
    const char* variant = std::getenv("VARIANT");
    const bool endless = variant != nullptr && std::string(variant) == "endless";
    if (endless) {
        for (std::size_t i = 0; i < endless_servers; ++i) {
            servers[i]->endless_grant_answers = !without_trouble();
        }
    } else {
        servers[0]->garbled_handovers = without_trouble() ? 0 : 1;
        servers[0]->report_draining();
    }
    std::this_thread::sleep_for(observed);
    callers.stop();
    if (!endless && servers[0]->garbled_handovers > 0) {
        log.line("no release was answered with wrong bytes");
        return exit_cannot_run;
    }

    bool broken = false;
    for (const auto& m : machines) {
        log.line("machine " + m->name() + ": its process ended by itself " + std::to_string(m->own_ends()) +
                 " times; " + std::to_string(callers.answered(m->name())) + " requests answered, " +
                 std::to_string(callers.cut(m->name())) + " passed on and cut without an answer");
        broken = broken || callers.cut(m->name()) > allowed_cuts;
    }
    log.line(broken ? "LOST broken" : "LOST held");
    for (auto& m : machines) {
        m->stop();
    }
    for (auto& s : servers) {
        s->stop();
    }
    store.stop();
    return broken ? exit_broken : exit_held;
}
