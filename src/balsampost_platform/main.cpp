// balsampost-platform: a stand-in for the platform's object API and member list, with faults on demand. For
// tests and demonstrations; it keeps everything in memory.
#include "member_table.h"
#include "object_table.h"

#include "balsampost/net/http.h"
#include "balsampost/platform/object_store.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace balsampost::stand_in {

namespace {

using net::awaitable;
using net::http_answer;
using net::http_request;

/// An answer of this status is never sent: the connection is closed.
constexpr unsigned no_answer = 0;
/// Waiting watches look again at least this often.
constexpr core::milliseconds watch_poll{2};

struct faults {
    bool down = false;
    core::milliseconds slow{0};
    std::uint64_t lose_write_answers = 0; ///< Writes that take effect but are not answered.
    std::string lose_only;                ///< Only of objects whose name contains this.
    std::uint64_t writes_per_second = 0;  ///< 0: no cap.
    std::uint64_t reads_per_second = 0;
};

class rate_cap {
public:
    bool allows(std::uint64_t per_second, core::time_point now) {
        if (now - m_second >= std::chrono::seconds(1)) {
            m_second = now;
            m_used = 0;
        }
        return per_second == 0 || ++m_used <= per_second;
    }

private:
    core::time_point m_second{};
    std::uint64_t m_used = 0;
};

struct call_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

class platform {
public:
    object_table& objects() { return m_objects; }
    member_table& members() { return m_members; }

    awaitable<http_answer> answer(http_request request) {
        const std::string path = request.path();
        if (path == "/faults" && request.method == "POST") {
            co_return set_faults(request.body);
        }
        if (path == "/calls") {
            co_return http_answer{200, "reads " + std::to_string(m_calls.reads) + " writes " +
                                           std::to_string(m_calls.writes) + "\n"};
        }
        const bool admin = path.rfind("/members/", 0) == 0;
        if (!admin && m_faults.down) {
            co_return http_answer{no_answer};
        }
        if (!admin && m_faults.slow.count() > 0) {
            co_await net::wait_for(m_faults.slow);
        }
        if (path.rfind("/objects/", 0) == 0 && request.method == "PUT") {
            co_return write(path.substr(9), request);
        }
        if (path.rfind("/objects/", 0) == 0 && request.method == "GET") {
            co_return co_await read(path.substr(9), request);
        }
        if (path == "/members") {
            co_return co_await list(request);
        }
        if (admin) {
            co_return change_member(path.substr(9), request);
        }
        co_return http_answer{404, "no such resource\n"};
    }

private:
    http_answer set_faults(const std::string& body) {
        const auto given = nlohmann::json::parse(body, nullptr, false);
        if (given.is_discarded() || !given.is_object()) {
            return {400, "not a JSON object\n"};
        }
        m_faults.down = given.value("down", m_faults.down);
        m_faults.slow = core::milliseconds(given.value("slow_ms", m_faults.slow.count()));
        m_faults.lose_write_answers = given.value("lose_write_answers", m_faults.lose_write_answers);
        m_faults.lose_only = given.value("lose_only", m_faults.lose_only);
        m_faults.writes_per_second = given.value("writes_per_second", m_faults.writes_per_second);
        m_faults.reads_per_second = given.value("reads_per_second", m_faults.reads_per_second);
        if (given.contains("list_lag_ms")) {
            m_members.set_lag(core::milliseconds(given["list_lag_ms"].get<std::int64_t>()));
        }
        return {200, "ok\n"};
    }

    http_answer write(const std::string& name, const http_request& request) {
        ++m_calls.writes;
        if (!m_write_cap.allows(m_faults.writes_per_second, net::now())) {
            return {429, "write rate used up\n"};
        }
        const auto if_version = std::strtoull(request.query("if_version").c_str(), nullptr, 10);
        const auto version = m_objects.write(name, request.body, if_version);
        http_answer answer{version ? 200U : 409U, ""};
        answer.headers["object-version"] = std::to_string(version ? *version : m_objects.read(name).version);
        const bool named = name.find(m_faults.lose_only) != std::string::npos;
        if (m_faults.lose_write_answers > 0 && named) {
            --m_faults.lose_write_answers;
            answer.status = no_answer;
        }
        return answer;
    }

    awaitable<http_answer> read(std::string name, http_request request) {
        ++m_calls.reads;
        if (!m_read_cap.allows(m_faults.reads_per_second, net::now())) {
            co_return http_answer{429, "read rate used up\n"};
        }
        const auto after = std::strtoull(request.query("after").c_str(), nullptr, 10);
        const auto until = net::now() + core::milliseconds(std::atoll(request.query("wait_ms").c_str()));
        while (m_objects.read(name).version <= after && net::now() < until && !m_faults.down) {
            co_await net::wait_for(watch_poll);
        }
        const auto entry = m_objects.read(name);
        if (m_faults.down) {
            co_return http_answer{no_answer};
        }
        http_answer answer{entry.version == 0 ? 404U : 200U, entry.value, "application/octet-stream"};
        answer.headers["object-version"] = std::to_string(entry.version);
        co_return answer;
    }

    awaitable<http_answer> list(http_request request) {
        ++m_calls.reads;
        const auto after = std::strtoull(request.query("after").c_str(), nullptr, 10);
        const auto until = net::now() + core::milliseconds(std::atoll(request.query("wait_ms").c_str()));
        while (m_members.listed(net::now()).version <= after && net::now() < until && !m_faults.down) {
            co_await net::wait_for(watch_poll);
        }
        if (m_faults.down) {
            co_return http_answer{no_answer};
        }
        co_return http_answer{200, platform_json(m_members.listed(net::now())), "application/json"};
    }

    static std::string platform_json(const core::member_list& list) {
        return balsampost::platform::to_json(list);
    }

    /// PUT /members/NAME?state=live|leaving changes a state, DELETE removes, PUT with a body replaces the
    /// record.
    http_answer change_member(const std::string& name, const http_request& request) {
        if (request.method == "DELETE") {
            return m_members.remove(name, net::now()) ? http_answer{200, "ok\n"}
                                                      : http_answer{404, "no member\n"};
        }
        if (request.body.empty()) {
            const auto state =
                request.query("state") == "leaving" ? core::member_state::leaving : core::member_state::live;
            return m_members.set_state(name, state, net::now()) ? http_answer{200, "ok\n"}
                                                                : http_answer{404, "no member\n"};
        }
        const auto parsed = balsampost::platform::members_from_json(request.body);
        if (!parsed) {
            return {400, parsed.error().message + "\n"};
        }
        load(*parsed);
        return {200, "ok\n"};
    }

public:
    void load(const core::member_list& list) {
        for (const auto& instance : list.instances) {
            m_members.put_instance(instance, net::now());
        }
        for (const auto& server : list.servers) {
            m_members.put_server(server, net::now());
        }
    }

private:
    object_table m_objects;
    member_table m_members;
    faults m_faults;
    rate_cap m_write_cap;
    rate_cap m_read_cap;
    call_counts m_calls;
};

int run(const core::endpoint& at, const std::string& members_file) {
    platform system;
    if (!members_file.empty()) {
        std::ifstream file(members_file);
        std::stringstream text;
        text << file.rdbuf();
        const auto members = balsampost::platform::members_from_json(text.str());
        if (!members) {
            std::cerr << "balsampost-platform: " << members_file << ": " << members.error().message << "\n";
            return 2;
        }
        system.load(*members);
    }
    net::asio::io_context context(1);
    auto acceptor = net::listen_on(context, at);
    net::http_server_limits limits;
    limits.read_time = std::chrono::minutes(5);
    net::spawn(context, net::serve_http(
                            acceptor, [&](const http_request& r) { return system.answer(r); }, limits));
    net::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

} // namespace balsampost::stand_in

int main(int argc, char** argv) {
    namespace options = boost::program_options;
    options::options_description described(
        "balsampost-platform: stand-in for the platform's object API\n\nOptions");
    described.add_options()("help,h", "print this help")(
        "listen", options::value<std::string>()->default_value("127.0.0.1:7000"),
        "address and port to listen on")("members", options::value<std::string>()->default_value(""),
                                         "JSON file with the first list of members");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
    } catch (const options::error& e) {
        std::cerr << "balsampost-platform: " << e.what() << "\n";
        return 2;
    }
    if (given.count("help") != 0) {
        std::cout << described;
        return 0;
    }
    const auto at = balsampost::core::parse_endpoint(given["listen"].as<std::string>());
    if (!at) {
        std::cerr << "balsampost-platform: --listen: " << at.error() << "\n";
        return 2;
    }
    return balsampost::stand_in::run(*at, given["members"].as<std::string>());
}
