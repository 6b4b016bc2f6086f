// Calls of the object store.
#include "object_store.h"

namespace balsampost::review::rig_3 {

using nlohmann::json;

namespace {

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
const std::string objects_path = "/v1/objects/";
constexpr milliseconds history_length{20'000};

} // namespace

object_store::object_store(record& out, endpoint at) : m_record(out) {
    m_server =
        std::make_unique<http_server>(std::move(at), [this](const http_request& r) { return answer(r); });
}

json object_store::to_json(const std::string& name, const object& o) const {
    return {{"metadata",
             {{"name", name},
              {"revision", o.revision},
              {"created", 1},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", o.spec},
            {"status", nullptr}};
}

http_response object_store::with_era(int status, const json& body) const {
    return {
        status, {{"content-type", "application/json"}, {"store-era", std::to_string(m_era)}}, body.dump()};
}

void object_store::keep_copy() {
    const auto now = m_record.elapsed();
    m_copies.push_back({now, m_objects, m_revision});
    while (m_copies.size() > 1 && m_copies[1].at < now - history_length) {
        m_copies.pop_front();
    }
}

std::uint64_t object_store::put_locked(const std::string& kind, const std::string& name, const json& spec) {
    auto& o = m_objects[kind][name];
    if (o.revision != 0 && o.spec == spec) {
        return o.revision; // A write that changes nothing.
    }
    o.spec = spec;
    o.revision = ++m_revision;
    m_history.push_back({m_revision, kind, to_json(name, o), false});
    keep_copy();
    m_changed.notify_all();
    return m_revision;
}

std::uint64_t object_store::put(const std::string& kind, const std::string& name, const json& spec) {
    const std::lock_guard lock(m_mutex);
    m_foreign[kind][name] = spec;
    return put_locked(kind, name, spec);
}

void object_store::remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(m_mutex);
    m_foreign[kind][name] = nullptr;
    auto removed = m_objects.at(kind).at(name);
    m_objects.at(kind).erase(name);
    removed.revision = ++m_revision;
    m_history.push_back({m_revision, kind, to_json(name, removed), true});
    keep_copy();
    m_changed.notify_all();
}

std::uint64_t object_store::revision() const {
    const std::lock_guard lock(m_mutex);
    return m_revision;
}

void object_store::restore_copy(milliseconds age, milliseconds away) {
    {
        const std::lock_guard lock(m_mutex);
        m_away = true;
        m_changed.notify_all();
    }
    m_record.line("store: away, at revision " + std::to_string(revision()));
    m_server->reset_connections();
    std::this_thread::sleep_for(away);
    const std::lock_guard lock(m_mutex);
    const auto of = m_record.elapsed() - age;
    while (m_copies.size() > 1 && m_copies.back().at > of) {
        m_copies.pop_back();
    }
    m_objects = m_copies.back().all;
    m_revision = m_copies.back().revision;
    while (!m_history.empty() && m_history.back().revision > m_revision) {
        m_history.pop_back();
    }
    ++m_era;
    m_record.line("store: back from a copy of " + std::to_string(m_copies.back().at.count()) +
                  " ms, at revision " + std::to_string(m_revision));
    for (const auto& [kind, named] : m_foreign) {
        for (const auto& [name, spec] : named) {
            if (!spec.is_null()) {
                put_locked(kind, name, spec);
            } else if (m_objects[kind].contains(name)) {
                auto removed = m_objects[kind][name];
                m_objects[kind].erase(name);
                removed.revision = ++m_revision;
                m_history.push_back({m_revision, kind, to_json(name, removed), true});
                keep_copy();
            }
        }
    }
    m_record.line("store: the operator's and the servers' objects are written again, revision " +
                  std::to_string(m_revision));
    m_away = false;
}

http_response object_store::write(const std::string& kind, const std::string& name, const std::string& body) {
    const auto given = json::parse(body);
    const auto& meta = given.at("metadata");
    const auto target = name.empty() ? meta.at("name").get<std::string>() : name;
    auto& named = m_objects[kind];
    const auto known = named.find(target);
    if (!name.empty() && known == named.end()) {
        return with_era(status_not_found, json::object());
    }
    const bool stale = !name.empty() && meta.contains("revision") &&
                       known->second.revision != meta.at("revision").get<std::uint64_t>();
    if (stale || (name.empty() && known != named.end())) {
        m_record.line("store: 409 to a write of " + kind + "/" + target);
        return with_era(status_conflict, to_json(target, known->second));
    }
    put_locked(kind, target, given.at("spec"));
    return with_era(name.empty() ? status_created : status_ok, to_json(target, named.at(target)));
}

http_response object_store::watch(const std::string& kind, const http_request& request) {
    const auto from = std::stoull(request.query("watch"));
    const auto until = clock::now() + milliseconds(std::stoi(request.query("wait_ms")));
    std::unique_lock lock(m_mutex);
    for (;;) {
        if (m_away) {
            return {};
        }
        if (from > m_revision || from < m_history_from) {
            return with_era(status_gone, json::object());
        }
        auto events = json::array();
        for (const auto& c : m_history) {
            if (c.revision > from && c.kind == kind) {
                events.push_back({{"object", c.object}, {"removed", c.removed}});
            }
        }
        if (!events.empty() || clock::now() >= until) {
            return with_era(status_ok, {{"events", events}, {"current_rev", m_revision}});
        }
        m_changed.wait_until(lock, until);
    }
}

http_response object_store::answer(const http_request& request) {
    const auto path = request.path().substr(std::min(objects_path.size(), request.path().size()));
    const auto slash = path.find('/');
    const auto kind = path.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
    if (request.method == "GET" && !request.query("watch").empty()) {
        return watch(kind, request);
    }
    const std::lock_guard lock(m_mutex);
    if (m_away) {
        return {};
    }
    if (request.method != "GET") {
        return write(kind, name, request.body);
    }
    const auto& named = m_objects[kind];
    if (!name.empty()) {
        const auto found = named.find(name);
        return found == named.end() ? with_era(status_not_found, json::object())
                                    : with_era(status_ok, to_json(name, found->second));
    }
    auto items = json::array();
    for (const auto& [item, o] : named) {
        items.push_back(to_json(item, o));
    }
    return with_era(status_ok, {{"items", items}, {"more", false}, {"current_rev", m_revision}});
}

} // namespace balsampost::review::rig_3
