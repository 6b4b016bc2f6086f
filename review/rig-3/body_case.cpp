// Callers that nobody controls send whole bodies of a legal size, and leave before the answer.
#include "cases.h"
#include "site.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace balsampost::review::rig_3 {

namespace {

constexpr int memory_mb = 64;
constexpr milliseconds work{730};
constexpr std::size_t body_bytes = 4U << 20U;
constexpr std::size_t piece_bytes = 256U << 10U;
constexpr std::size_t bytes_per_second = 90U << 20U; // To one instance; its link bears 119 MiB/s.
constexpr int crowd_callers = 5;                     // Of one instance.
constexpr milliseconds crowd_begins{2'000};
constexpr milliseconds crowd_ends{14'000};
constexpr milliseconds time_limit{3'000};
constexpr milliseconds patience{5'000};
constexpr milliseconds leaves_after{60}; // After the last byte was sent.
constexpr milliseconds pause_unconnected{50};
constexpr milliseconds look_interval{50};
constexpr milliseconds restart_delay{500};
constexpr int max_kills = 2; // Of each instance, on a day without a breach.

/// Lets one instance's crowd send so many bytes per second in all.
class rate_limit {
public:
    void take(std::size_t bytes) {
        clock::time_point at;
        {
            const std::lock_guard lock(m_mutex);
            m_next = std::max(m_next, clock::now());
            at = m_next;
            m_next += std::chrono::microseconds(1'000'000 * bytes / bytes_per_second);
        }
        std::this_thread::sleep_until(at);
    }

private:
    std::mutex m_mutex;
    clock::time_point m_next{};
};

struct crowd_counts {
    std::atomic<int> sent{0};
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> left{0};
};

/// Sends one request. The caller leaves soon after the last byte, or waits for the answer. Returns the status
/// of the answer; 0 if it got none.
int send_body(const endpoint& to, const std::string& id, bool leaves, rate_limit& rate,
              crowd_counts& counts) {
    const int s = connect_to(to, patience);
    if (s < 0) {
        std::this_thread::sleep_for(pause_unconnected); // The process is being started again.
        return 0;
    }
    bool open = write_all(s, "POST /order/x HTTP/1.1\r\nHost: h.example\r\nX-Balsampost-Request-Id: " + id +
                                 "\r\nX-Balsampost-Deadline-Ms: " + std::to_string(time_limit.count()) +
                                 "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n");
    const std::string piece(piece_bytes, 'x');
    for (std::size_t done = 0; open && done < body_bytes; done += piece_bytes) {
        rate.take(piece_bytes);
        open = write_all(s, piece);
    }
    ++counts.sent;
    if (leaves) {
        const timeval limit{0, leaves_after.count() * 1'000};
        ::setsockopt(s, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }
    http_response answer;
    std::string rest;
    const bool whole = read_response(s, rest, answer);
    ::close(s);
    if (!whole) {
        ++counts.left;
        return 0;
    }
    ++(answer.status == 200 ? counts.answered : counts.refused);
    return answer.status;
}

/// The crowd of one instance, and the platform's watch over its memory.
void press(record& out, site& s, instance& entry, bool leaves, std::atomic<int>& kills) {
    rate_limit rate;
    crowd_counts counts;
    std::vector<std::thread> crowd;
    for (int c = 0; c < crowd_callers; ++c) {
        crowd.emplace_back([&, c] {
            for (int n = 0; out.elapsed() < crowd_ends; ++n) {
                const auto id = entry.name() + "-" + std::to_string(c) + "-" + std::to_string(n);
                s.log_request(entry.name(), id, "", send_body(entry.front(), id, leaves, rate, counts));
            }
        });
    }
    int most = 0;
    while (out.elapsed() < crowd_ends) {
        const int now_mb = entry.memory_mb();
        most = std::max(most, now_mb);
        if (now_mb > memory_mb) {
            out.line("instance " + entry.name() + ": uses " + std::to_string(now_mb) + " MiB of " +
                     std::to_string(memory_mb));
            ++kills;
            entry.kill_and_restart(restart_delay);
        }
        std::this_thread::sleep_for(look_interval);
    }
    for (auto& t : crowd) {
        t.join();
    }
    out.line("instance " + entry.name() + ": " + std::to_string(counts.sent) + " requests sent, " +
             std::to_string(counts.answered) + " answered with 200, " + std::to_string(counts.refused) +
             " refused, " + std::to_string(counts.left) + " left before an answer or cut; at most " +
             std::to_string(most) + " MiB; killed " + std::to_string(kills) + " times");
}

} // namespace

std::optional<int> play_bodies_left_behind(record& out, bool trouble, const std::string& program) {
    site_settings settings{program, 2, 12, 0};
    settings.memory_mb = memory_mb;
    settings.work = work;
    settings.slots = 6;
    site s(out, settings);
    if (!s.start()) {
        return std::nullopt;
    }
    s.wait_until(crowd_begins);
    std::vector<std::atomic<int>> kills(s.instances().size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < kills.size(); ++i) {
        threads.emplace_back([&, i] { press(out, s, *s.instances()[i], trouble, kills[i]); });
    }
    for (auto& t : threads) {
        t.join();
    }
    if (std::all_of(kills.begin(), kills.end(), [](const auto& k) { return k > max_kills; })) {
        out.breach("on each of " + std::to_string(kills.size()) +
                   " machines the process ended three times or more, for its memory");
    }
    return out.end("FAULT");
}

} // namespace balsampost::review::rig_3
