// Lines that are complete before the failure, as a signal handler can neither format nor allocate.
#include "balsampost/telemetry/last_line.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <string>
#include <string_view>

#include <poll.h>
#include <unistd.h>

namespace balsampost::telemetry {

namespace {

constexpr std::size_t max_line_bytes = 512;
constexpr std::size_t signal_stack_bytes = 64U << 10U;
constexpr int output_wait_ms = 100; // A full pipe must not keep the process from ending.
constexpr std::string_view time_placeholder = "0000-00-00T00:00:00.000000Z";

struct failure {
    int signal;
    const char* name;
};
constexpr std::array<failure, 5> failures{
    {{SIGSEGV, "SIGSEGV"}, {SIGBUS, "SIGBUS"}, {SIGFPE, "SIGFPE"}, {SIGILL, "SIGILL"}, {SIGABRT, "SIGABRT"}}};

struct prepared_line {
    std::array<char, max_line_bytes> text{};
    std::size_t size = 0;
    std::size_t time_at = 0;
};

std::array<prepared_line, failures.size()>& prepared_lines() {
    static std::array<prepared_line, failures.size()> lines;
    return lines;
}

log_settings& current_settings() {
    static log_settings settings;
    return settings;
}

prepared_line prepare(const log_settings& settings, std::string_view reason) {
    auto text =
        format_line(
            settings, std::string(time_placeholder), event::handler_failed,
            {{"place", "process"}, {"reason", std::string(reason)}, {"consequence", "the process ends"}}) +
        "\n";
    prepared_line line;
    if (text.size() <= line.text.size()) {
        line.time_at = text.find(time_placeholder);
        line.size = text.size();
        std::copy(text.begin(), text.end(), line.text.begin());
    }
    return line;
}

/// Writes `value` in decimal with `digits` digits at `to`.
void put_number(char* to, std::int64_t value, int digits) {
    for (int i = digits - 1; i >= 0; --i, value /= 10) {
        to[i] = static_cast<char>('0' + value % 10);
    }
}

/// Sets the current time. Uses only calls that are safe in a signal handler.
void put_time(char* to) {
    timespec t{};
    clock_gettime(CLOCK_REALTIME, &t);
    const std::chrono::sys_seconds at{std::chrono::seconds(t.tv_sec)};
    const auto day = std::chrono::floor<std::chrono::days>(at);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss time(at - day);
    put_number(to, static_cast<int>(date.year()), 4);
    put_number(to + 5, static_cast<unsigned>(date.month()), 2);
    put_number(to + 8, static_cast<unsigned>(date.day()), 2);
    put_number(to + 11, time.hours().count(), 2);
    put_number(to + 14, time.minutes().count(), 2);
    put_number(to + 17, time.seconds().count(), 2);
    put_number(to + 20, t.tv_nsec / 1000, 6);
}

/// Uses only calls that are safe in a signal handler.
void write_line(prepared_line& line) {
    if (line.size == 0) {
        return;
    }
    put_time(line.text.data() + line.time_at);
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&output, 1, output_wait_ms) == 1) {
        // The process ends anyway, so a failed write has no consequence.
        [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, line.text.data(), line.size);
    }
}

extern "C" void on_fatal_signal(int number) {
    for (std::size_t i = 0; i < failures.size(); ++i) {
        if (failures[i].signal == number) {
            write_line(prepared_lines()[i]);
        }
    }
    ::raise(number); // SA_RESETHAND has restored the default action.
}

/// Does not use `log`: the thread that failed may hold the lock of its buffer.
[[noreturn]] void on_terminate() {
    static_cast<void>(std::signal(SIGABRT, SIG_DFL)); // One line is enough.
    try {
        std::string reason = "std::terminate";
        if (const auto current = std::current_exception()) {
            try {
                std::rethrow_exception(current);
            } catch (const std::exception& e) {
                reason = std::string("uncaught exception: ") + e.what();
            } catch (...) {
                reason = "uncaught exception of an unknown type";
            }
        }
        auto line = prepare(current_settings(), reason);
        write_line(line);
    } catch (...) { // NOLINT(bugprone-empty-catch): without memory there is no line.
    }
    std::abort();
}

/// Gives the calling thread a stack for signals: its own may be what is exhausted.
void use_signal_stack() {
    static std::array<char, signal_stack_bytes> bytes;
    stack_t stack{};
    stack.ss_sp = bytes.data();
    stack.ss_size = bytes.size();
    static_cast<void>(::sigaltstack(&stack, nullptr)); // Without it only that case has no line.
}

} // namespace

void write_last_line_on_failure(const log_settings& settings) {
    current_settings() = settings;
    use_signal_stack();
    for (std::size_t i = 0; i < failures.size(); ++i) {
        prepared_lines()[i] = prepare(settings, failures[i].name);
        struct sigaction action {};
        action.sa_handler = on_fatal_signal;
        action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK);
        static_cast<void>(::sigaction(failures[i].signal, &action, nullptr));
    }
    static_cast<void>(std::set_terminate(on_terminate));
}

} // namespace balsampost::telemetry
