// Pipes with a slow reader, and one that nobody reads. Log lines were once cut in the middle and run together
// when a pipe was full: a reader must get whole lines, and lines that were not written must be counted.
#include "balsampost/telemetry/line_writer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <csignal>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

namespace balsampost::telemetry {

namespace {

using std::chrono::milliseconds;

struct pipe_ends {
    explicit pipe_ends(bool blocking) {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
        read_end = ends[0];
        write_end = ends[1];
        if (!blocking) {
            ::fcntl(write_end, F_SETFL, O_NONBLOCK);
        }
    }
    ~pipe_ends() {
        ::close(read_end);
        close_write_end();
    }
    void close_write_end() {
        if (write_end >= 0) {
            ::close(write_end);
            write_end = -1;
        }
    }

    int read_end = -1;
    int write_end = -1;
};

std::string line_of(std::size_t number, std::size_t length) {
    auto line = std::to_string(number) + " ";
    line.append(length, static_cast<char>('a' + number % 26));
    return line + "\n";
}

/// Reads until the write end is closed, at most `piece` bytes at a time.
std::string read_all(int descriptor, std::size_t piece) {
    std::string out;
    std::vector<char> buffer(piece);
    while (true) {
        const auto n = ::read(descriptor, buffer.data(), buffer.size());
        if (n <= 0) {
            return out;
        }
        out.append(buffer.data(), static_cast<std::size_t>(n));
    }
}

} // namespace

class line_writer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(line_writer_test);
    CPPUNIT_TEST(slow_reader_gets_every_line);
    CPPUNIT_TEST(unread_pipe_drops_and_counts_whole_lines);
    CPPUNIT_TEST(slow_reader_does_not_hold_the_last_write);
    CPPUNIT_TEST(closed_descriptor_drops_all_lines);
    CPPUNIT_TEST(pipe_without_a_reader_and_full_disk_drop_all_lines);
    CPPUNIT_TEST_SUITE_END();

    void slow_reader_gets_every_line() {
        struct row {
            const char* name;
            bool blocking;
            std::size_t line_bytes;
        };
        constexpr row rows[] = {{"blocking", true, 250},
                                {"non-blocking", false, 250},
                                {"lines longer than a piece", false, 9'000}};
        for (const auto& r : rows) {
            std::string lines;
            for (std::size_t i = 0; lines.size() < (1U << 20U); ++i) {
                lines += line_of(i, r.line_bytes);
            }
            pipe_ends ends(r.blocking);
            std::string received;
            std::thread reader([&] { received = read_all(ends.read_end, 777); });
            line_writer writer(ends.write_end, milliseconds{60'000});
            const auto dropped = writer.write(lines);
            ends.close_write_end();
            reader.join();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(r.name, std::uint64_t{0}, dropped);
            CPPUNIT_ASSERT_MESSAGE(r.name, received == lines);
        }
    }

    /// A pipe of 64 KiB takes a part of the lines; after it has been read, further lines follow.
    void unread_pipe_drops_and_counts_whole_lines() {
        for (const auto& [blocking, line_bytes] :
             {std::pair{false, 250UL}, {false, 9'000UL}, {true, 250UL}, {true, 9'000UL}}) {
            constexpr std::size_t count = 1'000;
            std::string lines;
            for (std::size_t i = 0; i < count; ++i) {
                lines += line_of(i, line_bytes);
            }
            pipe_ends ends(blocking);
            line_writer writer(ends.write_end, milliseconds{1});
            const auto dropped = writer.write(lines);
            CPPUNIT_ASSERT(dropped > 0 && dropped < count);
            std::vector<char> buffer(1U << 17U);
            const auto n = ::read(ends.read_end, buffer.data(), buffer.size());
            CPPUNIT_ASSERT(n > 0);
            std::string received(buffer.data(), static_cast<std::size_t>(n));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, writer.write("last\n"));
            ends.close_write_end();
            received += read_all(ends.read_end, 4096);
            // At most one line, the one that was being written, lacks its end; it counts as dropped.
            std::uint64_t whole = 0;
            std::uint64_t cut = 0;
            std::size_t from = 0;
            for (auto end = received.find('\n'); end != std::string::npos; end = received.find('\n', from)) {
                const auto line = received.substr(from, end + 1 - from);
                const bool is_whole = line == "last\n" || line == line_of(whole, line_bytes);
                ++(is_whole ? whole : cut);
                from = end + 1;
            }
            CPPUNIT_ASSERT_EQUAL(received.size(), from);
            CPPUNIT_ASSERT(cut <= 1);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{count}, whole - 1 + dropped);
        }
    }

    /// The stall timeout alone would allow it 60 s for each piece.
    void slow_reader_does_not_hold_the_last_write() {
        std::string lines;
        for (std::size_t i = 0; lines.size() < (1U << 20U); ++i) {
            lines += line_of(i, 250);
        }
        pipe_ends ends(true);
        line_writer writer(ends.write_end, milliseconds{60'000});
        writer.end_at(line_writer::clock::now() + milliseconds{20});
        CPPUNIT_ASSERT(writer.write(lines) > 0);
    }

    void pipe_without_a_reader_and_full_disk_drop_all_lines() {
        std::signal(SIGPIPE, SIG_IGN);
        pipe_ends ends(true);
        ::close(std::exchange(ends.read_end, -1));
        line_writer unread(ends.write_end, milliseconds{1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, unread.write("a\nb\n"));
        const int full = ::open("/dev/full", O_WRONLY);
        line_writer without_space(full, milliseconds{1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, without_space.write("a\nb\n"));
        ::close(full);
    }

    void closed_descriptor_drops_all_lines() {
        pipe_ends ends(true);
        const auto descriptor = ends.write_end;
        ends.close_write_end();
        line_writer writer(descriptor, milliseconds{1});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, writer.write("a\nb\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(line_writer_test);

} // namespace balsampost::telemetry
