// Lines of the record, and the verdict.
#include "record.h"

namespace balsampost::review::rig_3 {

namespace {

constexpr int exit_held = 0;
constexpr int exit_broken = 1;

} // namespace

record::record(const std::string& path) : m_file(std::fopen(path.c_str(), "w")) {}

record::~record() {
    if (m_file != nullptr) {
        std::fclose(m_file);
    }
}

milliseconds record::elapsed() const {
    return std::chrono::duration_cast<milliseconds>(clock::now() - m_began);
}

void record::line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    if (m_file != nullptr) {
        std::fprintf(m_file, "%6lld ms  %s\n", static_cast<long long>(elapsed().count()), text.c_str());
        std::fflush(m_file);
    }
}

void record::breach(const std::string& text) {
    int count = 0;
    {
        const std::lock_guard lock(m_mutex);
        count = ++m_breaches;
    }
    if (count <= max_breaches) {
        line("BREACH " + text);
    }
}

int record::breaches() const {
    const std::lock_guard lock(m_mutex);
    return m_breaches;
}

int record::end(const std::string& rule) {
    const int count = breaches();
    line(count > 0 ? rule + " broken: " + std::to_string(count) + " breaches" : rule + " held");
    std::printf("%s %s (%d breaches)\n", rule.c_str(), count > 0 ? "broken" : "held", count);
    return count > 0 ? exit_broken : exit_held;
}

} // namespace balsampost::review::rig_3
