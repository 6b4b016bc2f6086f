// The platform's object store, with revisions, watches, a history, and the return from an older copy.
#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <memory>

namespace balsampost::review::rig_3 {

class object_store {
public:
    object_store(record& out, endpoint at);

    bool listening() const { return m_server->listening(); }
    const endpoint& at() const { return m_server->at(); }
    /// Writes as the operator or a server does. Returns the revision: the confirmation.
    std::uint64_t put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    void remove(const std::string& kind, const std::string& name);
    std::uint64_t revision() const;
    /// The store is away for `away`, with its connections cut, and returns from a copy that is `age` old at
    /// its return. What the operator and the servers wrote since is written again at once.
    void restore_copy(milliseconds age, milliseconds away);

private:
    struct object {
        nlohmann::json spec;
        std::uint64_t revision = 0;
    };
    struct change {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool removed = false;
    };
    using objects = std::map<std::string, std::map<std::string, object>>;
    struct state {
        milliseconds at{0};
        objects all;
        std::uint64_t revision = 100;
    };

    http_response answer(const http_request& request);
    http_response write(const std::string& kind, const std::string& name, const std::string& body);
    http_response watch(const std::string& kind, const http_request& request);
    http_response with_era(int status, const nlohmann::json& body) const;
    std::uint64_t put_locked(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    nlohmann::json to_json(const std::string& name, const object& o) const;
    void keep_copy();

    record& m_record;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    objects m_objects;
    /// What the operator and the servers wrote last; a null value was removed.
    std::map<std::string, std::map<std::string, nlohmann::json>> m_foreign;
    std::deque<change> m_history;
    std::uint64_t m_revision = 100;
    std::uint64_t m_history_from = 100;
    std::uint64_t m_era = 1;
    bool m_away = false;
    std::deque<state> m_copies; // Before each change.
    std::unique_ptr<http_server> m_server;
};

} // namespace balsampost::review::rig_3
