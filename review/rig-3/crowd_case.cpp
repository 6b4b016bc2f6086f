// Callers that nobody controls send requests of a legal size, made of very many short fields.
#include "cases.h"
#include "site.h"

#include <sys/socket.h>
#include <unistd.h>

namespace balsampost::review::rig_3 {

namespace {

constexpr std::size_t max_header_bytes = 16'384; // Of the manifest.
constexpr std::size_t header_margin = 256;
constexpr int crowd_connections = 12;
constexpr int requests_ahead = 14;
constexpr milliseconds crowd_timeout{60'000};
constexpr milliseconds crowd_begins{4'000};
constexpr milliseconds ordinary_until{16'000};
constexpr milliseconds ordinary_interval{200};
constexpr milliseconds route_timeout{3'000}; // Of the manifest.
constexpr milliseconds answer_bound{3'500};
constexpr int min_late = 8;
constexpr int late_divisor = 4;

/// A request with half of its head in one field of many short items, and the rest in short fields.
std::string crowd_request(const std::string& long_field, int connection, int number) {
    auto out = "GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Balsampost-Request-Id: crowd-" +
               std::to_string(connection) + "-" + std::to_string(number) +
               "\r\nX-Balsampost-Deadline-Ms: 2500\r\n" + long_field + ": ";
    while (out.size() < max_header_bytes / 2) {
        out += "a,";
    }
    out += "a\r\n";
    while (out.size() < max_header_bytes - header_margin) {
        out += "b:\r\n";
    }
    return out + "\r\n";
}

struct ordinary_counts {
    std::atomic<int> sent{0};
    std::atomic<int> answered{0};
    std::atomic<int> past_timeout{0}; // Unanswered at the route's timeout.
    std::atomic<int> late{0};         // Unanswered half a second later.
};

void send_ordinary(record& out, site& s, const instance& to, int number, ordinary_counts& counts) {
    const auto id = "ordinary-" + std::to_string(number);
    const auto began = clock::now();
    ++counts.sent;
    const auto r = s.request(to, "GET", "/read/x", "", id, answer_bound);
    const auto took = std::chrono::duration_cast<milliseconds>(clock::now() - began);
    counts.answered += r.status != 0 ? 1 : 0;
    counts.past_timeout += took > route_timeout ? 1 : 0;
    const bool late = took > answer_bound; // A connection that ends sooner isn't late.
    counts.late += late ? 1 : 0;
    out.line("request " + id + ": status " + std::to_string(r.status) + " after " +
             std::to_string(took.count()) + " ms, ran at " + std::to_string(s.runs().of(id).size()) +
             " servers");
}

} // namespace

std::optional<int> play_short_fields(record& out, bool trouble, const std::string& program) {
    site s(out, {program, 1, 2, 0});
    if (!s.start()) {
        return std::nullopt;
    }
    const auto& entry = *s.instances().front();
    ordinary_counts counts;
    std::vector<std::thread> callers;
    std::vector<int> crowd;
    bool crowd_sent = false;
    for (int n = 0; out.elapsed() < ordinary_until; ++n) {
        if (!crowd_sent && out.elapsed() >= crowd_begins) {
            crowd_sent = true;
            for (int c = 0; c < crowd_connections; ++c) {
                crowd.push_back(connect_to(entry.front(), crowd_timeout));
                std::string text;
                for (int r = 0; r < requests_ahead; ++r) {
                    text += crowd_request(trouble ? "Connection" : "X-Note", c, r);
                }
                callers.emplace_back([at = crowd.back(), text = std::move(text)] { write_all(at, text); });
            }
            out.line("crowd: " + std::to_string(crowd_connections) + " connections send " +
                     std::to_string(requests_ahead) + " requests each");
        }
        callers.emplace_back([&, n] { send_ordinary(out, s, entry, n, counts); });
        std::this_thread::sleep_for(ordinary_interval);
    }
    out.line("the readiness page " +
             std::string(entry.ready() ? "says 200" : "gives no 200 within a second"));
    for (const int c : crowd) {
        ::shutdown(c, SHUT_RDWR);
    }
    for (auto& t : callers) {
        t.join();
    }
    for (const int c : crowd) {
        ::close(c);
    }
    out.line("ordinary requests: " + std::to_string(counts.sent) + " sent, " +
             std::to_string(counts.answered) + " answered, " + std::to_string(counts.past_timeout) +
             " unanswered at the route's timeout, " + std::to_string(counts.late) + " half a second later");
    if (counts.late >= min_late && late_divisor * counts.late > counts.past_timeout) {
        out.breach(std::to_string(counts.late) + " of " + std::to_string(counts.past_timeout) +
                   " requests that lasted longer than their route's timeout have no answer 0.5 s after it");
    }
    return out.end("CONFIG");
}

} // namespace balsampost::review::rig_3
