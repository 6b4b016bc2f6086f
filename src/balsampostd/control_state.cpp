// What the control thread knows: objects, members, announcements and tables, and the views made of them.
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
/// How long the root's watches stay open.
constexpr core::milliseconds watch_time{10'000};
/// Interval at which the roots of the other regions look at the store themselves.
constexpr core::milliseconds region_poll{2000};
/// A starting instance asks the store itself if the relay brought nothing in this time.
constexpr core::milliseconds start_patience{300};
constexpr core::milliseconds failure_pause{250};
constexpr core::milliseconds read_time{4000};

core::cell_id cell_id_from(const std::string& name) {
    const auto slash = name.rfind('/');
    return {name.substr(std::string(cell_prefix).size(), slash - std::string(cell_prefix).size()),
            static_cast<std::uint32_t>(std::strtoul(name.c_str() + slash + 1, nullptr, 10))};
}

bool has_prefix(const std::string& name, const char* prefix) {
    return name.rfind(prefix, 0) == 0;
}

std::string store_region_of(const core::object_set& objects) {
    for (const auto& [name, r] : objects.regions) {
        if (r.store) {
            return name;
        }
    }
    return "";
}

} // namespace

bool control::keeps(const std::string& name) const {
    if (has_prefix(name, instance_prefix)) {
        const auto instance = name.substr(std::string(instance_prefix).size());
        const bool list_known = m_view->members->version != 0;
        return instance == m_self.name || !list_known || m_view->members->find_instance(instance) != nullptr;
    }
    if (has_prefix(name, cell_prefix)) {
        const auto id = cell_id_from(name);
        return m_config_version == 0 || m_view->objects->services.count(id.service) != 0;
    }
    return name == config_value || name == members_value;
}

void control::value_changed(const core::versioned_value& value) {
    if (value.name == config_value) {
        take_config(value);
    } else if (value.name == members_value) {
        take_members(value);
    } else if (has_prefix(value.name, instance_prefix)) {
        take_announcement(value);
    } else {
        take_cell(value);
    }
}

void control::take_config(const core::versioned_value& value) {
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
        m_config_since = now();
    }
    m_config_version = value.version.sequence;
    m_metrics.config_version.Set(static_cast<double>(m_config_version));
    m_relay.set_members(m_view->members, store_region_of(*m_view->objects));
    update_cells();
    share_view();
    announce();
    telemetry::log(event::config_in_force, {{"version", std::to_string(m_config_version)}});
}

void control::take_members(const core::versioned_value& value) {
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
        if (!keeps(name)) {
            m_relay.erase(name);
        }
    }
    m_relay.set_members(m_view->members, store_region_of(*m_view->objects));
    share_view();
    telemetry::log(event::members_changed, {{"version", std::to_string(m_view->members->version)}});
}

void control::take_announcement(const core::versioned_value& value) {
    auto said = net::unpack_message<announcement>(value.value);
    if (!said) {
        return;
    }
    auto next = std::make_shared<routing_view>(*m_view);
    std::erase_if(next->instances, [&](const auto& entry) {
        return entry.first.name == said->id.name && entry.first.incarnation <= said->id.incarnation;
    });
    next->instances[said->id] = *said;
    m_view = std::move(next);
    share_view();
}

void control::take_cell(const core::versioned_value& value) {
    const auto table = net::unpack_message<core::cell_table>(value.value);
    if (!table) {
        return;
    }
    const auto id = cell_id_from(value.name);
    auto next = std::make_shared<routing_view>(*m_view);
    auto& cells = next->cells[id.service];
    cells.resize(std::max<std::size_t>(cells.size(), id.index + 1));
    cells[id.index] = std::make_shared<const core::cell_table>(*table);
    m_view = std::move(next);
    if (auto* runner = cell(id)) {
        runner->learn_table(*table);
    }
    share_view();
}

void control::update_cells() {
    const auto& services = m_view->objects->services;
    for (const auto& [name, config] : services) {
        for (std::uint32_t index = 0; index < config.cells; ++index) {
            const core::cell_id id{name, index};
            if (m_cells.count(id) != 0) {
                continue;
            }
            auto runner = std::make_unique<cell_runner>(surroundings(), id, config,
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

core::versioned_value control::cell_value(const core::cell_id& id, const core::cell_table& table) const {
    return {cell_prefix + core::to_string(id), table.version, net::pack_message(table)};
}

void control::announce() {
    announcement said{m_self,
                      m_settings.instance.region,
                      m_settings.instance.failure_domain,
                      m_settings.listen.peer.address,
                      m_settings.listen.peer.port,
                      m_settings.listen.data.address,
                      m_settings.listen.data.port,
                      m_leaving,
                      m_config_version};
    m_relay.publish(
        {instance_prefix + m_self.name, {m_self.incarnation, ++m_announcements}, net::pack_message(said)});
}

void control::share_view() {
    if (m_to_traffic != nullptr) {
        m_to_traffic->push(view_ptr(m_view));
    }
}

awaitable<void> control::watch_config() {
    const auto started = now();
    std::uint64_t seen = 0;
    for (;;) {
        const auto position = m_relay.position();
        const bool impatient = m_config_version == 0 && now() - started > start_patience;
        if (!position.is_global_root && !position.is_region_root && !impatient) {
            co_await net::wait_for(core::milliseconds(50));
            continue;
        }
        const bool waits = position.is_global_root && m_config_version != 0;
        const auto wait = waits ? watch_time : core::milliseconds(0);
        const auto read = co_await m_store.watch(core::config_object, seen, wait);
        if (!read) {
            co_await net::wait_for(failure_pause);
            continue;
        }
        if (read->version > seen) {
            seen = read->version;
            m_relay.publish({config_value, {0, read->version}, read->value});
        }
        if (!waits) {
            co_await net::wait_for(m_config_version == 0 ? failure_pause : region_poll);
        }
    }
}

awaitable<void> control::watch_members() {
    const auto started = now();
    for (;;) {
        const auto position = m_relay.position();
        const auto known = m_view->members->version;
        const bool impatient = known == 0 && now() - started > start_patience;
        if (known != 0 && !position.is_global_root && !position.is_region_root) {
            co_await net::wait_for(core::milliseconds(50));
            continue;
        }
        if (known == 0 && !impatient && !position.is_global_root) {
            co_await net::wait_for(core::milliseconds(50));
            continue;
        }
        const bool waits = position.is_global_root && known != 0;
        const auto list = co_await m_store.members(known, waits ? watch_time : core::milliseconds(0));
        if (list && list->version > m_view->members->version) {
            m_relay.publish({members_value, {0, list->version}, net::pack_message(*list)});
        }
        if (!list) {
            co_await net::wait_for(failure_pause);
        } else if (!waits) {
            co_await net::wait_for(known == 0 ? failure_pause : region_poll);
        }
    }
}

} // namespace balsampost::daemon
