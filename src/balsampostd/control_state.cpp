// The control thread: received configuration, members, announcements and cell tables, and the routing views
// built from them.
#include "control.h"

#include "balsampost/core/config_document.h"
#include "balsampost/telemetry/log.h"

#include <algorithm>

namespace balsampost::daemon {

using net::awaitable;
using net::now;
using telemetry::event;

namespace {

constexpr const char* config_value = "config";
constexpr const char* members_value = "members";
constexpr const char* instance_prefix = "instance/";
constexpr const char* cell_prefix = "cell/";
/// How long a watch of the store by the root of the relay stays open without a change.
constexpr core::milliseconds watch_timeout{10'000};
/// Interval at which the roots of the other regions read the store themselves.
constexpr core::milliseconds region_poll_interval{2000};
/// A starting instance reads the store itself if it receives nothing through the relay in this time.
constexpr core::milliseconds max_relay_wait{300};
/// Pause after a failed read of the store, and between the reads of an instance that has no value yet.
constexpr core::milliseconds retry_interval{250};
constexpr core::milliseconds read_time{4000};

/// Parses the name of a cell's value, "cell/SERVICE/INDEX".
core::cell_id parse_cell_name(const std::string& name) {
    const auto slash = name.rfind('/');
    return {name.substr(std::string(cell_prefix).size(), slash - std::string(cell_prefix).size()),
            static_cast<std::uint32_t>(std::strtoul(name.c_str() + slash + 1, nullptr, 10))};
}

bool has_prefix(const std::string& name, const char* prefix) {
    return name.rfind(prefix, 0) == 0;
}

std::string store_region_of(const core::object_set& objects) {
    for (const auto& [name, region] : objects.regions) {
        if (region.store) {
            return name;
        }
    }
    return "";
}

} // namespace

bool control::is_value_relevant(const std::string& name) const {
    if (has_prefix(name, instance_prefix)) {
        const auto instance = name.substr(std::string(instance_prefix).size());
        const bool list_known = m_view->members->version != 0;
        return instance == m_self.name || !list_known || m_view->members->find_instance(instance) != nullptr;
    }
    if (has_prefix(name, cell_prefix)) {
        const auto id = parse_cell_name(name);
        return m_config_version == 0 || m_view->objects->services.count(id.service) != 0;
    }
    return name == config_value || name == members_value;
}

void control::on_value_changed(const core::versioned_value& value) {
    if (value.name == config_value) {
        apply_config(value);
    } else if (value.name == members_value) {
        apply_members(value);
    } else if (has_prefix(value.name, instance_prefix)) {
        apply_announcement(value);
    } else {
        apply_cell_table(value);
    }
}

void control::apply_config(const core::versioned_value& value) {
    const auto document = net::unpack_message<core::config_document>(value.value);
    if (!document) {
        telemetry::log(event::config_unusable, {{"reason", document.error().message}});
        return;
    }
    std::vector<core::object_file> files;
    for (const auto& [name, text] : document->files) {
        files.push_back({name, text});
    }
    auto parsed = core::parse_objects(files);
    if (!parsed) {
        telemetry::log(event::config_unusable, {{"reason", core::to_string(parsed.error().front())}});
        return;
    }
    parsed->version = value.version.sequence;
    auto next = std::make_shared<routing_view>(*m_view);
    next->objects = std::make_shared<core::object_set>(std::move(*parsed));
    m_view = std::move(next);
    if (m_config_version == 0) {
        m_config_applied_at = now();
    }
    m_config_version = value.version.sequence;
    m_metrics.config_version.Set(static_cast<double>(m_config_version));
    m_relay.set_members(m_view->members, store_region_of(*m_view->objects));
    update_cells();
    publish_view();
    announce();
    telemetry::log(event::config_in_force, {{"version", std::to_string(m_config_version)}});
}

void control::apply_members(const core::versioned_value& value) {
    auto list = net::unpack_message<core::member_list>(value.value);
    if (!list) {
        return;
    }
    auto next = std::make_shared<routing_view>(*m_view);
    next->members = std::make_shared<core::member_list>(std::move(*list));
    std::erase_if(next->instances, [&](const auto& entry) {
        return entry.first.name != m_self.name && next->members->find_instance(entry.first.name) == nullptr;
    });
    m_view = std::move(next);
    for (const auto& [name, held] : std::map(m_relay.values().values())) {
        if (!is_value_relevant(name)) {
            m_relay.erase(name);
        }
    }
    m_relay.set_members(m_view->members, store_region_of(*m_view->objects));
    publish_view();
    telemetry::log(event::members_changed, {{"version", std::to_string(m_view->members->version)}});
}

void control::apply_announcement(const core::versioned_value& value) {
    auto received = net::unpack_message<announcement>(value.value);
    if (!received) {
        return;
    }
    auto next = std::make_shared<routing_view>(*m_view);
    std::erase_if(next->instances, [&](const auto& entry) {
        return entry.first.name == received->id.name && entry.first.incarnation <= received->id.incarnation;
    });
    next->instances[received->id] = *received;
    m_view = std::move(next);
    publish_view();
}

void control::apply_cell_table(const core::versioned_value& value) {
    const auto table = net::unpack_message<core::cell_table>(value.value);
    if (!table) {
        return;
    }
    const auto id = parse_cell_name(value.name);
    auto next = std::make_shared<routing_view>(*m_view);
    auto& cells = next->cells[id.service];
    cells.resize(std::max<std::size_t>(cells.size(), id.index + 1));
    cells[id.index] = std::make_shared<const core::cell_table>(*table);
    m_view = std::move(next);
    if (auto* runner = find_cell(id)) {
        runner->learn_table(*table);
    }
    publish_view();
}

void control::update_cells() {
    const auto& services = m_view->objects->services;
    for (const auto& [name, config] : services) {
        for (std::uint32_t index = 0; index < config.cells; ++index) {
            const core::cell_id id{name, index};
            if (m_cells.count(id) != 0) {
                continue;
            }
            auto runner = std::make_unique<cell_runner>(make_cell_dependencies(), id, config,
                                                        m_view->objects->profile_of(config));
            const auto cells = m_view->cells.find(name);
            if (cells != m_view->cells.end() && index < cells->second.size() && cells->second[index]) {
                runner->learn_table(*cells->second[index]);
            }
            runner->start();
            m_cells.emplace(id, std::move(runner));
        }
    }
    for (auto& [id, runner] : m_cells) {
        if (services.count(id.service) == 0) {
            runner->retire();
        }
    }
}

core::versioned_value control::cell_table_value(const core::cell_id& id,
                                                const core::cell_table& table) const {
    return {cell_prefix + core::to_string(id), table.version, net::pack_message(table)};
}

void control::announce() {
    announcement own{m_self,
                     m_settings.instance.region,
                     m_settings.instance.failure_domain,
                     m_settings.listen.peer.address,
                     m_settings.listen.peer.port,
                     m_settings.listen.data.address,
                     m_settings.listen.data.port,
                     m_leaving,
                     m_config_version};
    m_relay.publish({instance_prefix + m_self.name,
                     {m_self.incarnation, ++m_announcement_count},
                     net::pack_message(own)});
}

void control::publish_view() {
    if (m_to_traffic != nullptr) {
        m_to_traffic->push(view_ptr(m_view));
    }
}

awaitable<void> control::watch_config() {
    const auto started = now();
    std::uint64_t last_version = 0;
    for (;;) {
        const auto position = m_relay.position();
        const bool relay_timed_out = m_config_version == 0 && now() - started > max_relay_wait;
        if (!position.is_global_root && !position.is_region_root && !relay_timed_out) {
            co_await net::wait_for(core::milliseconds(50));
            continue;
        }
        const bool long_poll = position.is_global_root && m_config_version != 0;
        const auto timeout = long_poll ? watch_timeout : core::milliseconds(0);
        const auto read = co_await m_store.watch(core::config_object, last_version, timeout);
        if (!read) {
            co_await net::wait_for(retry_interval);
            continue;
        }
        if (read->version > last_version) {
            last_version = read->version;
            m_relay.publish({config_value, {0, read->version}, read->value});
        }
        if (!long_poll) {
            co_await net::wait_for(m_config_version == 0 ? retry_interval : region_poll_interval);
        }
    }
}

awaitable<void> control::watch_members() {
    const auto started = now();
    for (;;) {
        const auto position = m_relay.position();
        const auto known_version = m_view->members->version;
        const bool relay_timed_out = known_version == 0 && now() - started > max_relay_wait;
        if (known_version != 0 && !position.is_global_root && !position.is_region_root) {
            co_await net::wait_for(core::milliseconds(50));
            continue;
        }
        if (known_version == 0 && !relay_timed_out && !position.is_global_root) {
            co_await net::wait_for(core::milliseconds(50));
            continue;
        }
        const bool long_poll = position.is_global_root && known_version != 0;
        const auto list =
            co_await m_store.members(known_version, long_poll ? watch_timeout : core::milliseconds(0));
        if (list && list->version > m_view->members->version) {
            m_relay.publish({members_value, {0, list->version}, net::pack_message(*list)});
        }
        if (!list) {
            co_await net::wait_for(retry_interval);
        } else if (!long_poll) {
            co_await net::wait_for(known_version == 0 ? retry_interval : region_poll_interval);
        }
    }
}

} // namespace balsampost::daemon
