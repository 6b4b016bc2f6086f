// What a case sent, saw and judged, with the time since its start; written to the case's record.txt.
#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace balsampost::review::rig_3 {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

class record {
public:
    explicit record(const std::string& path);
    ~record();
    record(const record&) = delete;
    record& operator=(const record&) = delete;

    milliseconds elapsed() const;
    void line(const std::string& text);
    /// Notes a breach of the rule; the first `max_breaches` are written out.
    void breach(const std::string& text);
    int breaches() const;
    /// Writes the verdict. Returns the exit code of the case.
    int end(const std::string& rule);

private:
    static constexpr int max_breaches = 40;

    clock::time_point m_began = clock::now();
    std::FILE* m_file;
    mutable std::mutex m_mutex;
    int m_breaches = 0;
};

} // namespace balsampost::review::rig_3
