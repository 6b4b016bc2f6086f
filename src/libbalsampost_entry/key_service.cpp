// Orders, probes and store calls of a coordinator.
#include "balsampost/entry/key_service.h"

#include "balsampost/core/identity.h"
#include "balsampost/telemetry/log.h"

#include <algorithm>
#include <cmath>

namespace balsampost::entry {

using core::order_outcome;
using core::write_outcome;
using telemetry::event;

namespace {

// A server answers a release when its requests for the released keys have completed.
constexpr core::milliseconds release_timeout{1'500};
constexpr core::milliseconds probe_timeout{200};
// Delay before a step, so that one step handles several answers. It grows with the number of key ranges, as
// does the time that a step takes.
constexpr core::milliseconds min_step_delay{4};
constexpr core::milliseconds max_step_delay{20};
constexpr std::size_t ranges_per_step_ms = 40;
constexpr core::milliseconds resign_retry_delay{200}; // Between attempts to release a tenure.
constexpr char incarnation_separator = '@';

write_outcome outcome_of(store_fault fault) {
    switch (fault) {
    case store_fault::conflict:
        return write_outcome::conflict;
    case store_fault::refused:
    case store_fault::not_sent:
        return write_outcome::failed;
    case store_fault::history_gone:
    case store_fault::unknown:
    case store_fault::malformed:
        break;
    }
    return write_outcome::unknown;
}

const char* to_string(order_outcome outcome) {
    constexpr const char* names[] = {"done", "fenced", "invalid", "not_sent", "unknown"};
    return names[static_cast<std::size_t>(outcome)];
}

std::string percent(double fraction) {
    return std::to_string(std::lround(100 * fraction));
}

void log_order(const char* order, const core::incarnation& to, core::shard_key from, core::shard_key last,
               std::uint64_t fence, const order_result& result) {
    telemetry::log(result.outcome == order_outcome::done ? event::key_order : event::order_failed,
                   {{"order", order},
                    {"server", to.id},
                    {"from", std::to_string(from)},
                    {"to", std::to_string(last)},
                    {"fence", std::to_string(fence)},
                    {"outcome", to_string(result.outcome)},
                    {"status", std::to_string(result.status)},
                    {"reason", result.reason}});
}

} // namespace

std::string incarnation_id(const std::string& name, core::time_point started) {
    return name + incarnation_separator + std::to_string(started.time_since_epoch().count());
}

std::string instance_name_from_id(const std::string& incarnation) {
    return incarnation.substr(0, incarnation.rfind(incarnation_separator));
}

key_service::key_service(platform& adapter, http_client& orders, timers& clock, entry_metrics& metrics,
                         core::coordinator_settings settings, std::string service, std::string incarnation,
                         std::string instance_name, core::endpoint reports_at)
    : m_platform(adapter), m_probes(orders),
      m_orders(orders, adapter, std::to_string(core::hash_of(incarnation + "/" + service))), m_timers(clock),
      m_metrics(metrics), m_service(service), m_incarnation(incarnation),
      m_instance_name(std::move(instance_name)), m_grant_time(settings.order_timeout),
      m_coordinator(settings, std::move(service), std::move(incarnation), std::move(reports_at), now()) {}

void key_service::update_servers(const std::vector<const core::backend*>& servers) {
    m_servers.clear();
    for (const auto* b : servers) {
        if (b->service == m_service) {
            m_servers.emplace(b->self.id, *b);
        }
    }
    m_coordinator.update_servers(servers, now());
    step();
}

void key_service::update_evacuations(std::set<std::string> domains) {
    m_coordinator.update_evacuations(std::move(domains), now());
    step();
}

void key_service::limit_owner_regions(const core::residency::region_limit& limit,
                                      const std::map<std::string, std::string>& regions) {
    if (m_coordinator.limit_owner_regions(limit, regions)) {
        telemetry::log(event::owner_regions_changed,
                       {{"service", m_service}, {"regions", core::residency::to_string(limit)}});
        step();
    }
}

void key_service::report(const core::key_report& r) {
    m_coordinator.report(r, now());
    for (const auto& id : r.unreachable) {
        probe(id);
    }
}

void key_service::store_epoch_began(core::store::epoch newer) {
    m_coordinator.epoch_began(newer, now());
    step();
}

void key_service::tenure_seen(const core::store::revision& tenure_revision) {
    m_coordinator.tenure_confirmed(tenure_revision, now());
}

core::endpoint key_service::holder_at() const {
    const auto* tenure = m_coordinator.tenure();
    return tenure == nullptr || tenure->holder.empty() ? core::endpoint{} : tenure->holder_at;
}

bool key_service::holder_is_self() const {
    const auto* tenure = m_coordinator.tenure();
    return tenure != nullptr && tenure->holder == m_incarnation;
}

void key_service::fill(peer_update& out) const {
    out.tenure_revision = m_coordinator.tenure_revision();
    for (const auto& [server, admitted] : m_coordinator.admitted_fractions()) {
        out.admit_permille.emplace_back(server.id, static_cast<std::uint32_t>(std::lround(admitted * 1000)));
    }
}

void key_service::probe(const std::string& server_id) {
    const auto found = m_servers.find(server_id);
    if (found != m_servers.end() && m_coordinator.leads(now()) && m_probing.insert(server_id).second) {
        execute(core::probe_server{found->second.self, found->second.address});
    }
}

void key_service::execute(const core::probe_server& a) {
    exchange_request request;
    request.new_connection = true;
    request.connect_only = true;
    request.deadline = now() + probe_timeout;
    m_probes.start(a.at, std::move(request),
                   [self = shared_from_this(), server = a.to](exchange_result& result) {
                       self->m_probing.erase(server.id);
                       if (result.refused) {
                           self->note_refusal(server);
                       }
                       self->m_coordinator.probe_ended(server, result.connected, now());
                       self->step();
                       return false;
                   });
}

void key_service::note_refusal(const core::incarnation& server) {
    telemetry::log(event::backend_connection_refused, {{"server", server.id}, {"service", m_service}});
    m_coordinator.server_refused(server, now());
}

void key_service::step() {
    if (!m_stopped) {
        const core::milliseconds by_ranges{
            static_cast<std::int64_t>(table().ranges.size() / ranges_per_step_ms)};
        step_at(now() + std::clamp(by_ranges, min_step_delay, max_step_delay));
    }
}

void key_service::step_now() {
    const auto actions = m_coordinator.step(now());
    for (const auto& action : actions) {
        std::visit([this](const auto& a) { execute(a); }, action);
    }
    const bool leads_now = leads();
    if (leads_now != m_was_leader) {
        m_was_leader = leads_now;
        m_metrics.leads(leads_now);
        telemetry::log(leads_now ? event::authority_taken : event::authority_lost,
                       {{"service", m_service}, {"term", std::to_string(m_coordinator.term())}});
    }
    const bool unserved = leads_now && m_coordinator.owner_regions_unserved();
    if (std::exchange(m_owner_regions_unserved, unserved) != unserved && unserved) {
        telemetry::log(event::owner_regions_unserved, {{"service", m_service}});
    }
    if (leads_now && m_announced_version != version() && !table().ranges.empty() &&
        table().coordinator == m_incarnation) {
        m_announced_version = version();
        m_on_table_changed();
    }
    step_at(m_coordinator.next_due());
}

void key_service::step_at(core::time_point at) {
    if (m_timer && m_timer_at <= at) {
        return;
    }
    if (m_timer) {
        m_timers.cancel(*m_timer);
    }
    m_timer_at = at;
    m_timer = m_timers.at(at, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->m_timer.reset();
        if (!self->m_stopped) {
            self->step_now();
        }
    });
}

void key_service::resign(std::function<void()> on_resigned) {
    if (m_coordinator.leads(now()) && m_coordinator.store_degraded()) {
        m_timers.at(
            now() + resign_retry_delay,
            [self = shared_from_this(), on_resigned = std::move(on_resigned)] { self->resign(on_resigned); });
        return;
    }
    const auto write = m_coordinator.resign(now());
    m_stopped = true;
    if (!write) {
        return;
    }
    m_platform.store().write(
        tenure_kind, m_service, core::to_json(write->record), write->if_revision,
        [on_resigned = std::move(on_resigned)](store_result<core::store::revision> answer) {
            if (answer) {
                on_resigned();
                return;
            }
            // Without the release, the next coordinator waits until the tenure expires.
            telemetry::log(event::store_unavailable,
                           {{"kind", tenure_kind}, {"fault", entry::to_string(answer.error())}});
        });
}

void key_service::holder_resigned() {
    m_coordinator.holder_resigned(now());
    step();
}

void key_service::tenure_received(const store_result<std::optional<stored_object>>& answer) {
    if (!answer) {
        m_coordinator.tenure_read_failed(now());
        return;
    }
    if (!*answer) {
        m_coordinator.tenure_read({m_platform.store().epoch(), 0}, std::nullopt, now());
        return;
    }
    auto record = core::tenure_from_json((*answer)->value);
    if (!record) {
        telemetry::log(event::key_table_unusable,
                       {{"service", m_service}, {"reason", record.error().message}});
        m_coordinator.tenure_read((*answer)->revision, core::tenure_record{}, now());
        return;
    }
    telemetry::log(
        event::tenure_read,
        {{"service", m_service}, {"holder", record->holder}, {"term", std::to_string(record->term)}});
    // An earlier process of this instance has ended, since this one could bind its addresses.
    if (record->holder != m_incarnation && instance_name_from_id(record->holder) == m_instance_name) {
        m_coordinator.instance_ended(record->holder);
    }
    m_coordinator.tenure_read((*answer)->revision, *record, now());
}

void key_service::execute(const core::read_tenure&) {
    m_platform.store().read(tenure_kind, m_service, false, [self = shared_from_this()](const auto& answer) {
        self->tenure_received(answer);
        self->step();
    });
}

void key_service::execute(const core::write_tenure& a) {
    const auto sent = now();
    m_platform.store().write(tenure_kind, m_service, core::to_json(a.record), a.if_revision,
                             [self = shared_from_this(), sent](store_result<core::store::revision> answer) {
                                 self->m_coordinator.tenure_written(
                                     answer ? write_outcome::done : outcome_of(answer.error()),
                                     answer ? *answer : core::store::revision{}, sent, now());
                                 self->step();
                             });
}

void key_service::execute(const core::read_table&) {
    m_platform.store().read(
        key_table_kind, m_service, false, [self = shared_from_this()](const auto& answer) {
            if (!answer) {
                self->m_coordinator.table_read_failed(now());
            } else if (!*answer) {
                self->m_coordinator.table_read({self->m_platform.store().epoch(), 0}, std::nullopt, now());
            } else if (auto table = core::key_table_from_json((*answer)->value)) {
                self->m_coordinator.table_read((*answer)->revision, std::move(*table), now());
            } else {
                telemetry::log(event::key_table_unusable,
                               {{"service", self->m_service}, {"reason", table.error().message}});
                self->m_coordinator.table_read_failed(now());
            }
            self->step();
        });
}

void key_service::execute(const core::write_table& a) {
    telemetry::log(event::key_table_written,
                   {{"service", m_service},
                    {"term", std::to_string(a.table.term)},
                    {"last_fence", std::to_string(a.table.last_fence)},
                    {"runs", std::to_string(a.table.ranges.size())},
                    {"moves", std::to_string(a.moves)},
                    {"load_per_s", std::to_string(std::lround(a.load.total))},
                    {"mean_load_percent", percent(a.load.mean_utilization)},
                    {"most_load_percent", percent(a.load.max_utilization)},
                    {"hottest", a.load.hottest.id},
                    {"hottest_capacity_per_s", std::to_string(std::lround(a.load.hottest_capacity))},
                    {"most_capacity_per_s", std::to_string(std::lround(a.load.max_capacity))},
                    {"busiest_key", std::to_string(a.load.busiest_key)},
                    {"busiest_key_per_s", std::to_string(std::lround(a.load.busiest_rate))},
                    {"if_revision", to_string(a.if_revision)}});
    m_platform.store().write(key_table_kind, m_service, core::to_json(a.table), a.if_revision,
                             [self = shared_from_this()](store_result<core::store::revision> answer) {
                                 self->m_coordinator.table_written(
                                     answer ? write_outcome::done : outcome_of(answer.error()),
                                     answer ? *answer : core::store::revision{}, now());
                                 self->step();
                             });
}

void key_service::execute(const core::send_grant& a) {
    if (!leads()) { // The tenure may have expired while earlier orders of this step were sent.
        m_coordinator.grant_ended(a.order, order_outcome::not_sent, now());
        step();
        return;
    }
    if (m_contacted.contains(a.to) && m_orders.connections_to(a.at) == 0) {
        m_contacted.erase(a.to);
        m_coordinator.server_may_have_restarted(a.to);
        m_coordinator.grant_ended(a.order, order_outcome::not_sent, now());
        step();
        return;
    }
    m_orders.send(a.to.id, a.at, m_platform.encode(a), now() + m_grant_time,
                  [self = shared_from_this(), a](const order_result& result) {
                      if (result.outcome == order_outcome::done) {
                          self->m_contacted.insert(a.to);
                      }
                      self->order_ended("grant", a.to, a.from, a.last, a.fence, result);
                      self->m_coordinator.grant_ended(a.order, result.outcome, now());
                      self->step();
                  });
}

void key_service::execute(const core::send_release& a) {
    m_orders.send(a.to.id, a.at, m_platform.encode(a), now() + release_timeout,
                  [self = shared_from_this(), a](const order_result& result) {
                      self->order_ended("release", a.to, a.from, a.last, a.fence, result);
                      self->m_coordinator.release_ended(a.order, result.outcome, result.handover, now());
                      self->step();
                  });
}

void key_service::order_ended(const char* order, const core::incarnation& to, core::shard_key from,
                              core::shard_key last, std::uint64_t fence, const order_result& result) {
    m_metrics.order(result.outcome == order_outcome::done);
    log_order(order, to, from, last, fence, result);
    if (m_on_notice && !result.notice.empty()) {
        m_on_notice(to, result.notice);
    }
    if (result.refused) {
        note_refusal(to);
    }
}

} // namespace balsampost::entry
