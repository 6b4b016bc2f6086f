// The last line of a process that a signal or an uncaught exception ends.
#include "balsampost/telemetry/last_line.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <array>
#include <csignal>
#include <stdexcept>
#include <string>
#include <thread>

#include <sys/wait.h>
#include <unistd.h>

namespace balsampost::telemetry {

namespace {

struct ended_process {
    int status = 0;
    std::string output;
};

/// Runs `fail` in a child process that has a last line.
template <class Fail>
ended_process run_child(Fail&& fail) {
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
    const auto child = ::fork();
    CPPUNIT_ASSERT(child >= 0);
    if (child == 0) {
        ::dup2(ends[1], STDOUT_FILENO);
        ::close(ends[0]);
        ::close(ends[1]);
        write_last_line_on_failure({severity::info, log_format::json, "one", log_output::async_stdout});
        fail();
        ::_exit(0);
    }
    ::close(ends[1]);
    ended_process out;
    std::array<char, 1024> bytes{};
    for (auto n = ::read(ends[0], bytes.data(), bytes.size()); n > 0;
         n = ::read(ends[0], bytes.data(), bytes.size())) {
        out.output.append(bytes.data(), static_cast<std::size_t>(n));
    }
    ::close(ends[0]);
    ::waitpid(child, &out.status, 0);
    return out;
}

/// Uses a frame of 1 KiB for each level.
int recurse(int level) {
    volatile char frame[1024] = {};
    frame[0] = static_cast<char>(level);
    return level == 0 ? 0 : recurse(level - 1) + frame[0];
}

} // namespace

class last_line_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(last_line_test);
    CPPUNIT_TEST(process_ended_by_a_signal_says_which);
    CPPUNIT_TEST(uncaught_exception_of_a_thread_is_named);
    CPPUNIT_TEST(process_that_exhausts_its_stack_says_so);
    CPPUNIT_TEST_SUITE_END();

    /// Guards against processes that end without a line.
    void process_ended_by_a_signal_says_which() {
        const auto ended = run_child([] { ::raise(SIGSEGV); });
        CPPUNIT_ASSERT(WIFSIGNALED(ended.status) && WTERMSIG(ended.status) == SIGSEGV);
        const auto line = nlohmann::json::parse(ended.output);
        CPPUNIT_ASSERT_EQUAL(std::string("handler_failed"), line["name"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("SIGSEGV"), line["reason"].get<std::string>());
        CPPUNIT_ASSERT(line["time"].get<std::string>() > "2026-01-01");
    }

    void uncaught_exception_of_a_thread_is_named() {
        const auto ended =
            run_child([] { std::thread([] { throw std::runtime_error("a device"); }).join(); });
        CPPUNIT_ASSERT(WIFSIGNALED(ended.status) && WTERMSIG(ended.status) == SIGABRT);
        const auto line = nlohmann::json::parse(ended.output);
        CPPUNIT_ASSERT_EQUAL(std::string("uncaught exception: a device"), line["reason"].get<std::string>());
    }

    /// Guards against a stack overflow that ends the process without a line.
    void process_that_exhausts_its_stack_says_so() {
        const auto ended = run_child([] { ::_exit(recurse(1'000'000)); });
        CPPUNIT_ASSERT(WIFSIGNALED(ended.status) && WTERMSIG(ended.status) == SIGSEGV);
        CPPUNIT_ASSERT_MESSAGE("no line", !ended.output.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(last_line_test);

} // namespace balsampost::telemetry
