// A crowd fills the memory that is kept for callers with many requests of moderate size, each in flight at a
// server, while ordinary callers upload bodies that are a little larger.
#include "cases.h"
#include "site.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace balsampost::review::rig_3 {

namespace {

constexpr int memory_mb = 64;
constexpr milliseconds work{730};
constexpr int servers = 12;
constexpr int slots = 16;
constexpr std::size_t upload_bytes = 360'000;
constexpr int ordinary_callers = 12;
constexpr int crowd_callers = 160;
constexpr int crowd_addresses = 8;
constexpr int first_crowd_address = 20;
constexpr int crowd_fields = 1'800;
constexpr milliseconds crowd_begins{5'000};
constexpr milliseconds end{17'000};
constexpr milliseconds patience{4'000};
constexpr milliseconds pause_after_answer{20};
constexpr milliseconds pause_after_cut{100};
constexpr int max_lost = 3;

/// Uploads one body after the other on a kept connection.
void upload(record& out, site& s, const instance& to, int caller, std::atomic<int>& answered,
            std::atomic<int>& lost) {
    int socket = -1;
    int answers = 0; // On this connection.
    std::string rest;
    const std::string body(upload_bytes, 'u');
    for (int n = 0; out.elapsed() < end; ++n) {
        if (socket < 0) {
            socket = connect_to(to.front(), patience);
            answers = 0;
            rest.clear();
        }
        const auto id = "u" + std::to_string(caller) + "-" + std::to_string(n);
        http_response answer;
        const bool whole =
            socket >= 0 &&
            write_all(socket, "POST /order/x HTTP/1.1\r\nHost: h.example\r\nX-Balsampost-Request-Id: " + id +
                                  "\r\nX-Balsampost-Deadline-Ms: 3000\r\nContent-Length: " +
                                  std::to_string(upload_bytes) + "\r\n\r\n" + body) &&
            read_response(socket, rest, answer);
        if (whole) {
            ++answers;
            s.log_request(to.name(), id, "", answer.status);
            answered += answer.status == 200 ? 1 : 0;
            const auto connection = answer.headers.find("connection");
            if (connection != answer.headers.end() && connection->second == "close") {
                ::close(socket);
                socket = -1;
            }
            std::this_thread::sleep_for(pause_after_answer);
            continue;
        }
        const auto runs = s.runs().of(id).size();
        out.line("request " + id + ": the connection ended without an answer after " +
                 std::to_string(answers) + " answers; the request ran at " + std::to_string(runs) +
                 " servers");
        lost += runs > 0 && answers > 0 ? 1 : 0;
        if (socket >= 0) {
            ::close(socket);
        }
        socket = -1;
        std::this_thread::sleep_for(pause_after_cut);
    }
    if (socket >= 0) {
        ::close(socket);
    }
}

/// Sends one request of many short fields after the other.
void press(record& out, const instance& to, int caller, std::atomic<int>& answered,
           std::atomic<int>& unanswered) {
    const auto from = "127.0.0." + std::to_string(first_crowd_address + caller % crowd_addresses);
    for (int n = 0; out.elapsed() < end; ++n) {
        auto text = "GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Balsampost-Request-Id: f" +
                    std::to_string(caller) + "-" + std::to_string(n) +
                    "\r\nX-Balsampost-Deadline-Ms: 3000\r\n";
        for (int f = 0; f < crowd_fields; ++f) {
            text += "b:\r\n";
        }
        const auto answer = call(to.front(), text + "\r\n", patience, from);
        ++(answer && answer->status == 200 ? answered : unanswered);
        std::this_thread::sleep_for(pause_after_answer);
    }
}

} // namespace

std::optional<int> play_evicted_uploads(record& out, bool trouble, const std::string& program) {
    site_settings settings{program, 1, servers, 0};
    settings.memory_mb = memory_mb;
    settings.work = work;
    settings.slots = slots;
    site s(out, settings);
    if (!s.start()) {
        return std::nullopt;
    }
    const auto& entry = *s.instances().front();
    std::atomic<int> answered{0};
    std::atomic<int> lost{0};
    std::atomic<int> crowd_answered{0};
    std::atomic<int> crowd_unanswered{0};
    std::vector<std::thread> callers;
    for (int c = 0; c < ordinary_callers; ++c) {
        callers.emplace_back([&, c] { upload(out, s, entry, c, answered, lost); });
    }
    s.wait_until(crowd_begins);
    for (int c = 0; trouble && c < crowd_callers; ++c) {
        callers.emplace_back([&, c] { press(out, entry, c, crowd_answered, crowd_unanswered); });
    }
    for (auto& t : callers) {
        t.join();
    }
    out.line("crowd: " + std::to_string(crowd_answered) + " answered with 200, " +
             std::to_string(crowd_unanswered) + " not");
    out.line("uploads on kept connections: " + std::to_string(answered) + " answered with 200, " +
             std::to_string(lost) + " ran and were cut without an answer");
    if (lost > max_lost) {
        out.breach(std::to_string(lost) +
                   " requests from kept connections were passed on to a sound server and got no answer");
    }
    return out.end("LOST");
}

} // namespace balsampost::review::rig_3
