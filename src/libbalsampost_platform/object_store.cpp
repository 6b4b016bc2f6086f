// The object API over HTTP.
#include "balsampost/platform/object_store.h"

#include "balsampost/core/json_text.h"

#include <nlohmann/json.hpp>

namespace balsampost::platform {

namespace {

constexpr std::size_t most_idle = 4;
/// A watch is answered by the server when its time is up; the client waits a little longer.
constexpr core::milliseconds watch_slack{2000};
constexpr const char* version_header = "object-version";

std::uint64_t version_of(const net::http_answer& answer) {
    const auto at = answer.headers.find(version_header);
    return at == answer.headers.end() ? 0 : std::strtoull(at->second.c_str(), nullptr, 10);
}

core::result<stored_object> object_from(const core::result<net::http_answer>& answer) {
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (answer->status == 404) {
        return stored_object{};
    }
    if (answer->status != 200) {
        return core::fail(core::error_code::refused, "the store answered " + std::to_string(answer->status));
    }
    return stored_object{version_of(*answer), answer->body};
}

const char* text_of(core::member_state state) {
    return state == core::member_state::live ? "live" : "leaving";
}

core::member_state state_from(const nlohmann::json& item) {
    return item.value("state", "live") == "leaving" ? core::member_state::leaving : core::member_state::live;
}

} // namespace

object_store::object_store(std::vector<core::endpoint> addresses) : m_addresses(std::move(addresses)) {}

awaitable<core::result<net::http_answer>> object_store::call(net::http_request request,
                                                             core::milliseconds within) {
    net::http_client client(m_addresses[m_next % m_addresses.size()]);
    const bool reused = !m_idle.empty();
    if (reused) {
        client = std::move(m_idle.back());
        m_idle.pop_back();
    }
    const auto deadline = net::now() + within;
    auto answer = co_await client.request(request, deadline);
    if (!answer && reused && request.method == "GET") {
        // The idle connection may have gone silent or been closed; a new one tells.
        client = net::http_client(m_addresses[m_next % m_addresses.size()]);
        answer = co_await client.request(request, std::max(deadline, net::now() + within / 2));
    }
    if (!answer) {
        ++m_calls.failures;
        ++m_next;
        m_idle.clear();
    } else if (m_idle.size() < most_idle) {
        m_idle.push_back(std::move(client));
    }
    m_out = !answer || answer->status >= 500 || answer->status == 429;
    co_return answer;
}

awaitable<core::result<stored_object>> object_store::read(std::string name, core::milliseconds within) {
    ++m_calls.reads;
    net::http_request request{"GET", "/objects/" + name, "", {}};
    const auto answer = co_await call(std::move(request), within);
    co_return object_from(answer);
}

awaitable<core::result<stored_object>> object_store::watch(std::string name, std::uint64_t after,
                                                           core::milliseconds wait) {
    ++m_calls.reads;
    net::http_request request{"GET",
                              "/objects/" + name + "?after=" + std::to_string(after) +
                                  "&wait_ms=" + std::to_string(wait.count()),
                              "",
                              {}};
    const auto answer = co_await call(std::move(request), wait + watch_slack);
    co_return object_from(answer);
}

awaitable<core::result<std::uint64_t>> object_store::write(std::string name, std::string value,
                                                           std::uint64_t if_version,
                                                           core::milliseconds within) {
    ++m_calls.writes;
    net::http_request request{
        "PUT", "/objects/" + name + "?if_version=" + std::to_string(if_version), std::move(value), {}};
    const auto answer = co_await call(std::move(request), within);
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    if (answer->status == 409) {
        co_return core::fail(core::error_code::conflict,
                             name + " is at version " + std::to_string(version_of(*answer)) + " already");
    }
    if (answer->status == 429) {
        co_return core::fail(core::error_code::unavailable, "the store's rate is used up");
    }
    if (answer->status != 200) {
        co_return core::fail(core::error_code::unknown_outcome,
                             "the store answered " + std::to_string(answer->status));
    }
    co_return version_of(*answer);
}

awaitable<core::result<core::member_list>> object_store::members(std::uint64_t after,
                                                                 core::milliseconds wait) {
    ++m_calls.reads;
    net::http_request request{"GET",
                              "/members?after=" + std::to_string(after) +
                                  "&wait_ms=" + std::to_string(wait.count()),
                              "",
                              {}};
    const auto answer = co_await call(std::move(request), wait + watch_slack);
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    if (answer->status != 200) {
        co_return core::fail(core::error_code::refused,
                             "the platform answered " + std::to_string(answer->status));
    }
    co_return members_from_json(answer->body);
}

std::string to_json(const core::member_list& list) {
    nlohmann::ordered_json root{{"version", list.version},
                                {"instances", nlohmann::json::array()},
                                {"servers", nlohmann::json::array()}};
    for (const auto& i : list.instances) {
        root["instances"].push_back({{"name", i.name},
                                     {"region", i.region},
                                     {"failure_domain", i.failure_domain},
                                     {"address", core::to_string(i.peer())},
                                     {"state", text_of(i.state)}});
    }
    for (const auto& s : list.servers) {
        root["servers"].push_back({{"name", s.name},
                                   {"service", s.service},
                                   {"region", s.region},
                                   {"failure_domain", s.failure_domain},
                                   {"address", core::to_string(s.location())},
                                   {"state", text_of(s.state)}});
    }
    return root.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

core::result<core::member_list> members_from_json(const std::string& text) {
    const auto parsed = core::parse_json(text);
    if (!parsed) {
        return core::fail(core::error_code::protocol, "bad member list: " + parsed.error().message);
    }
    try {
        const auto& root = *parsed;
        core::member_list list;
        list.version = root.at("version").get<std::uint64_t>();
        for (const auto& item : root.at("instances")) {
            const auto at = core::parse_endpoint(item.at("address").get<std::string>());
            if (!at) {
                return core::fail(core::error_code::protocol, at.error());
            }
            list.instances.push_back({item.at("name"), item.at("region"), item.at("failure_domain"),
                                      at->address, at->port, state_from(item)});
        }
        for (const auto& item : root.at("servers")) {
            const auto at = core::parse_endpoint(item.at("address").get<std::string>());
            if (!at) {
                return core::fail(core::error_code::protocol, at.error());
            }
            list.servers.push_back({item.at("name"), item.at("service"), item.at("region"),
                                    item.at("failure_domain"), at->address, at->port, state_from(item)});
        }
        return list;
    } catch (const nlohmann::json::exception& e) {
        return core::fail(core::error_code::protocol, std::string("bad member list: ") + e.what());
    }
}

} // namespace balsampost::platform
