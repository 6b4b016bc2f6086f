// The Boost.Log sinks and the two line formats.
#include "balsampost/telemetry/log.h"

#include "balsampost/telemetry/line_writer.h"

#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <iostream>
#include <mutex>
#include <thread>

#include <unistd.h>

namespace balsampost::telemetry {

namespace {

const char* level_name(severity level) {
    constexpr const char* names[] = {"debug", "info", "warning", "error"};
    return names[static_cast<std::size_t>(level)];
}

log_settings& current_settings() {
    static log_settings settings;
    return settings;
}

std::string time_now() {
    return boost::posix_time::to_iso_extended_string(boost::posix_time::microsec_clock::universal_time()) +
           "Z";
}

// Size of the buffer between `log` and the writing thread. At 250 bytes a line it holds a second of heavy
// traffic.
constexpr std::size_t max_buffered_bytes = 512U << 10U;
constexpr std::chrono::milliseconds write_interval{200}; // Groups many lines into one write.
// Standard output that takes nothing for this long loses the lines of the batch; it also bounds the last
// write.
constexpr std::chrono::milliseconds output_stall_timeout{500};

/// Buffers lines without blocking the caller; a background thread writes them to standard output.
class async_output
    : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::concurrent_feeding> {
public:
    async_output() : m_thread([this] { run(); }) {}
    ~async_output() { stop(); }

    void consume(const boost::log::record_view&, const string_type& line) {
        const std::scoped_lock lock(m_mutex);
        if (m_buffer.size() + line.size() > max_buffered_bytes) {
            ++m_dropped_lines;
            return;
        }
        m_buffer.append(line).append("\n");
        if (m_buffer.size() == line.size() + 1) {
            m_wakeup.notify_one();
        }
    }

    void stop() {
        {
            const std::scoped_lock lock(m_mutex);
            m_stopping = true;
        }
        m_writer.end_at(line_writer::clock::now() + output_stall_timeout);
        m_wakeup.notify_one();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    void run() {
        std::unique_lock lock(m_mutex);
        while (true) {
            m_wakeup.wait(lock, [this] { return m_stopping || !m_buffer.empty(); });
            if (!m_stopping) {
                m_wakeup.wait_for(lock, write_interval, [this] { return m_stopping; });
            }
            auto lines = std::exchange(m_buffer, {});
            const auto dropped = std::exchange(m_dropped_lines, std::uint64_t{0});
            const bool final_write = m_stopping;
            lock.unlock();
            if (dropped > 0) {
                lines += format_line(current_settings(), time_now(), event::lines_dropped,
                                     {{"count", std::to_string(dropped)}}) +
                         "\n";
            }
            const auto unwritten = m_writer.write(lines);
            if (final_write) {
                return;
            }
            lock.lock();
            m_dropped_lines += unwritten;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_wakeup;
    std::string m_buffer;              // Lines not yet written; at most max_buffered_bytes.
    std::uint64_t m_dropped_lines = 0; // Lines dropped since the last write.
    bool m_stopping = false;
    line_writer m_writer{STDOUT_FILENO, output_stall_timeout}; // Used by the thread only.
    std::thread m_thread; // Declared last: the thread uses the members above.
};

boost::shared_ptr<async_output>& async_backend() {
    static boost::shared_ptr<async_output> backend;
    return backend;
}

} // namespace

std::string format_line(const log_settings& settings, const std::string& time, event code,
                        std::initializer_list<log_field> fields) {
    const auto& info = info_of(code);
    if (settings.format == log_format::json) {
        nlohmann::ordered_json line{{"time", time},
                                    {"level", level_name(info.level)},
                                    {"instance", settings.instance},
                                    {"event", static_cast<unsigned>(code)},
                                    {"name", info.name}};
        for (const auto& [key, value] : fields) {
            line[key] = value;
        }
        return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    std::string line = time + " " + level_name(info.level) + " " + settings.instance + " E" +
                       std::to_string(static_cast<unsigned>(code)) + " " + std::string(info.name);
    for (const auto& [key, value] : fields) {
        line += std::string(" ") + key + "=" +
                nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    return line;
}

void start_log(const log_settings& settings) {
    namespace sinks = boost::log::sinks;
    current_settings() = settings;
    if (settings.output == log_output::async_stdout) {
        auto backend = boost::make_shared<async_output>();
        async_backend() = backend;
        auto sink = boost::make_shared<sinks::unlocked_sink<async_output>>(backend);
        sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
        boost::log::core::get()->add_sink(sink);
        return;
    }
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    backend->auto_flush(true);
    auto sink = boost::make_shared<sinks::synchronous_sink<sinks::text_ostream_backend>>(backend);
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink);
}

void stop_log() {
    if (auto& backend = async_backend()) {
        boost::log::core::get()->remove_all_sinks();
        backend->stop();
        backend.reset();
    }
}

void log(event code, std::initializer_list<log_field> fields) {
    const auto& settings = current_settings();
    const auto level = info_of(code).level;
    if (level < settings.min_level) {
        return;
    }
    thread_local boost::log::sources::severity_logger<severity> logger;
    BOOST_LOG_SEV(logger, level) << format_line(settings, time_now(), code, fields);
}

} // namespace balsampost::telemetry
