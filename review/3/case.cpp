// LOST: several callers upload at once, in chunks and within the limits of the manifest. The process must not
// outgrow its machine's memory: the platform would kill it, and all requests in flight there with it.
#include "../common/stand_ins.h"

#include <cstdio>

using namespace review;

namespace {

constexpr int server_count = 4;
constexpr int machine_count = 2;
constexpr int memory_mb = 260;
constexpr int kept_connections = 8;
constexpr int allowed_cuts = 3; // Of LOST, for a machine in touch.
constexpr int usual_uploads = 6;
constexpr int burst_uploads = 10;                // x 1.67; the largest `burst` of fjederpris is x 1.7.
constexpr std::size_t upload_bytes = 32U << 20U; // Half of the manifest's max_body_bytes.
constexpr std::size_t bytes_per_s = 12U << 20U;  // Together under the machine's 1,000 Mbit/s.
constexpr int upload_deadline_ms = 8'000;
const std::string host = "media.example";

} // namespace

int main(int argc, char** argv) {
    record log(argc > 1 ? argv[1] : "record.txt");
    const temporary_folder folder;
    object_store store;
    const auto store_at = free_address(100);
    store.start(store_at);
    put_manifest(
        store, 7, host,
        {{"r-media", "/media/", "upload", "media", upload_deadline_ms}, {"r-home", "/home/", "safe", "home"}},
        {});
    std::vector<std::unique_ptr<backend>> servers;
    std::vector<backend*> homes;
    for (int i = 0; i < 2 * server_count; ++i) {
        const auto at = free_address(50 + i);
        const std::string service = i < server_count ? "media" : "home";
        servers.push_back(std::make_unique<backend>(
            log, store, backend_options{"i-" + service + std::to_string(i), service, "aarhus-a", false, 12},
            at));
        servers.back()->start(at);
        servers.back()->report_ready();
        if (i >= server_count) {
            homes.push_back(servers.back().get());
        }
    }
    const std::vector<std::pair<std::string, std::string>> zones{{"aarhus-a", "jylland"}};
    std::vector<std::unique_ptr<machine>> machines;
    for (int i = 0; i < machine_count; ++i) {
        machines.push_back(std::make_unique<machine>(
            log,
            machine_options{
                "edge-aarhus-a-" + std::to_string(i + 1), "aarhus-a", memory_mb, {{"grace", "6s"}}},
            1 + i, store_at, zones, folder.path()));
        machines.back()->start();
    }
    for (const auto& m : machines) {
        if (!m->wait_ready(milliseconds{15'000})) {
            log.line("no readiness");
            return exit_cannot_run;
        }
    }
    kept_callers callers(log, host, "/home/300", homes);
    for (const auto& m : machines) {
        callers.start(*m, kept_connections);
    }
    std::this_thread::sleep_for(milliseconds{2'000});

    std::atomic<int> uploaded{0};
    const auto upload = [&](int number) {
        caller_request request;
        request.method = "POST";
        request.path = "/media/50";
        request.host = host;
        request.id = "upload-" + std::to_string(number);
        request.deadline_ms = upload_deadline_ms;
        message answer;
        const bool answered =
            upload_in_chunks(machines[0]->front(), request, upload_bytes, bytes_per_s, answer);
        log.line("request " + request.id + ": " + (answered ? answer.start_line : std::string("no answer")));
        uploaded += answered && answer.status() == 200 ? 1 : 0;
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < (without_trouble() ? usual_uploads : burst_uploads); ++i) {
        threads.emplace_back(upload, i);
    }
    for (auto& t : threads) {
        t.join();
    }
    std::this_thread::sleep_for(milliseconds{3'000});
    callers.stop();

    bool broken = false;
    for (const auto& m : machines) {
        log.line("machine " + m->name() + ": peak memory " + std::to_string(m->peak_memory_mb()) + " of " +
                 std::to_string(memory_mb) + " MB; killed for its memory or ended by itself " +
                 std::to_string(m->own_ends()) + " times; " + std::to_string(callers.answered(m->name())) +
                 " requests answered, " + std::to_string(callers.cut(m->name())) +
                 " passed on and cut without an answer");
        broken = broken || callers.cut(m->name()) > allowed_cuts;
    }
    log.line(std::to_string(uploaded) + " uploads succeeded; LOST " + (broken ? "broken" : "held"));
    for (auto& m : machines) {
        m->stop();
    }
    for (auto& s : servers) {
        s->stop();
    }
    store.stop();
    return broken ? exit_broken : exit_held;
}
