// Orders and store calls of a coordinator.
#include "balsampost/entry/key_service.h"

#include "balsampost/telemetry/log.h"

#include <algorithm>
#include <cmath>

namespace balsampost::entry {

using core::order_outcome;
using core::write_outcome;
using telemetry::event;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_misdirected = 421;
// A release is answered when the work on its keys has ended.
constexpr core::milliseconds release_time{1'500};
constexpr core::milliseconds probe_time{200};
// Answers that come together are looked at together; a look takes longer the more runs there are.
constexpr core::milliseconds shortest_step_pause{4};
constexpr core::milliseconds longest_step_pause{20};
constexpr std::size_t runs_per_step_ms = 40;
constexpr core::milliseconds resign_pause{200}; // Between tries to give a tenure up.
constexpr char run_separator = '@';

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

order_outcome outcome_of(const exchange_result& result) {
    switch (result.end) {
    case exchange_end::not_sent:
        return order_outcome::not_sent;
    case exchange_end::lost:
        return order_outcome::unknown;
    case exchange_end::answered:
        break;
    }
    if (result.reply.status == status_misdirected) {
        return order_outcome::not_sent; // Another server has the address; the one that was meant got nothing.
    }
    return result.reply.status == status_ok         ? order_outcome::done
           : result.reply.status == status_conflict ? order_outcome::fenced
                                                    : order_outcome::invalid;
}

const char* to_string(order_outcome outcome) {
    constexpr const char* names[] = {"done", "fenced", "invalid", "not_sent", "unknown"};
    return names[static_cast<std::size_t>(outcome)];
}

std::string percent(double part) {
    return std::to_string(std::lround(100 * part));
}

void log_order(const char* order, const core::incarnation& to, core::shard_key from, core::shard_key last,
               std::uint64_t fence, order_outcome outcome, const exchange_result& result) {
    telemetry::log(outcome == order_outcome::done ? event::key_order : event::order_failed,
                   {{"order", order},
                    {"server", to.id},
                    {"from", std::to_string(from)},
                    {"to", std::to_string(last)},
                    {"fence", std::to_string(fence)},
                    {"outcome", to_string(outcome)},
                    {"status", std::to_string(result.reply.status)},
                    {"reason", result.reason}});
}

} // namespace

std::string instance_run(const std::string& name, core::time_point started) {
    return name + run_separator + std::to_string(started.time_since_epoch().count());
}

std::string instance_name_of(const std::string& run) {
    return run.substr(0, run.rfind(run_separator));
}

key_service::key_service(platform& words, http_client& orders, timers& clock, entry_metrics& measured,
                         core::coordinator_settings settings, std::string service, std::string instance,
                         std::string instance_name, core::endpoint reports_at)
    : m_words(words), m_orders(orders), m_timers(clock), m_measured(measured), m_service(service),
      m_instance(instance), m_instance_name(std::move(instance_name)), m_grant_time(settings.order_time),
      m_coordinator(settings, std::move(service), std::move(instance), std::move(reports_at), now()) {}

void key_service::update_servers(const std::vector<const core::backend*>& listed) {
    m_listed.clear();
    for (const auto* b : listed) {
        m_listed.emplace(b->self.id, *b);
    }
    m_coordinator.update_servers(listed, now());
    step();
}

void key_service::report(const core::key_report& r) {
    m_coordinator.report(r, now());
    for (const auto& id : r.unreachable) {
        look_at(id);
    }
}

void key_service::heard(std::uint64_t tenure_revision) {
    m_coordinator.tenure_heard(tenure_revision, now());
}

core::endpoint key_service::holder_at() const {
    const auto* tenure = m_coordinator.tenure();
    return tenure == nullptr || tenure->holder.empty() ? core::endpoint{} : tenure->holder_at;
}

bool key_service::holder_is_self() const {
    const auto* tenure = m_coordinator.tenure();
    return tenure != nullptr && tenure->holder == m_instance;
}

void key_service::describe(peer_update& out) const {
    out.tenure_revision = m_coordinator.tenure_revision();
    for (const auto& [server, part] : m_coordinator.overloaded()) {
        out.admit_permille.emplace_back(server.id, static_cast<std::uint32_t>(std::lround(part * 1000)));
    }
}

void key_service::look_at(const std::string& server_id) {
    const auto found = m_listed.find(server_id);
    if (found != m_listed.end() && m_coordinator.leads(now()) && m_probed.insert(server_id).second) {
        run(core::probe_server{found->second.self, found->second.address});
    }
}

void key_service::run(const core::probe_server& a) {
    exchange_request request;
    request.new_connection = true;
    request.connect_only = true;
    request.deadline = now() + probe_time;
    m_orders.start(a.at, std::move(request),
                   [self = shared_from_this(), which = a.to](exchange_result& result) {
                       self->m_probed.erase(which.id);
                       if (result.refused) {
                           self->note_refusal(which);
                       }
                       self->m_coordinator.probe_ended(which, result.connected, now());
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
        const core::milliseconds by_runs{static_cast<std::int64_t>(table().runs.size() / runs_per_step_ms)};
        step_at(now() + std::clamp(by_runs, shortest_step_pause, longest_step_pause));
    }
}

void key_service::step_now() {
    const auto actions = m_coordinator.step(now());
    for (const auto& action : actions) {
        std::visit([this](const auto& a) { run(a); }, action);
    }
    const bool leads_now = leads();
    if (leads_now != m_led) {
        m_led = leads_now;
        m_measured.leads(leads_now);
        telemetry::log(leads_now ? event::authority_taken : event::authority_lost,
                       {{"service", m_service}, {"term", std::to_string(m_coordinator.term())}});
    }
    if (leads_now && m_told != version() && !table().runs.empty() && table().coordinator == m_instance) {
        m_told = version();
        m_on_table();
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

void key_service::resign(std::function<void()> given_up) {
    if (m_coordinator.leads(now()) && m_coordinator.store_falters()) {
        m_timers.at(now() + resign_pause,
                    [self = shared_from_this(), given_up = std::move(given_up)] { self->resign(given_up); });
        return;
    }
    const auto write = m_coordinator.resign(now());
    m_stopped = true;
    if (!write) {
        return;
    }
    m_words.store().write(tenure_kind, m_service, core::to_json(write->record), write->if_revision,
                          [given_up = std::move(given_up)](store_result<std::uint64_t> answer) {
                              if (answer) {
                                  given_up();
                                  return;
                              }
                              // The next coordinator waits for the tenure to run out.
                              telemetry::log(
                                  event::store_unavailable,
                                  {{"kind", tenure_kind}, {"fault", entry::to_string(answer.error())}});
                          });
}

void key_service::holder_resigned() {
    m_coordinator.holder_resigned(now());
    step();
}

void key_service::tenure_arrived(const store_result<std::optional<stored_object>>& answer) {
    if (!answer) {
        m_coordinator.tenure_read_failed(now());
        return;
    }
    if (!*answer) {
        m_coordinator.tenure_read(0, std::nullopt, now());
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
    // An earlier run of this instance has ended: this one took its addresses.
    if (record->holder != m_instance && instance_name_of(record->holder) == m_instance_name) {
        m_coordinator.instance_ended(record->holder);
    }
    m_coordinator.tenure_read((*answer)->revision, *record, now());
}

void key_service::run(const core::read_tenure&) {
    m_words.store().read(tenure_kind, m_service, false, [self = shared_from_this()](const auto& answer) {
        self->tenure_arrived(answer);
        self->step();
    });
}

void key_service::run(const core::write_tenure& a) {
    const auto sent = now();
    m_words.store().write(tenure_kind, m_service, core::to_json(a.record), a.if_revision,
                          [self = shared_from_this(), sent](store_result<std::uint64_t> answer) {
                              self->m_coordinator.tenure_written(answer ? write_outcome::done
                                                                        : outcome_of(answer.error()),
                                                                 answer ? *answer : 0, sent, now());
                              self->step();
                          });
}

void key_service::run(const core::read_table&) {
    m_words.store().read(key_table_kind, m_service, false, [self = shared_from_this()](const auto& answer) {
        if (!answer) {
            self->m_coordinator.table_read_failed(now());
        } else if (!*answer) {
            self->m_coordinator.table_read(0, std::nullopt, now());
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

void key_service::run(const core::write_table& a) {
    telemetry::log(event::key_table_written,
                   {{"service", m_service},
                    {"term", std::to_string(a.table.term)},
                    {"last_fence", std::to_string(a.table.last_fence)},
                    {"runs", std::to_string(a.table.runs.size())},
                    {"moves", std::to_string(a.moves)},
                    {"load_per_s", std::to_string(std::lround(a.load.total))},
                    {"mean_load_percent", percent(a.load.mean_utilization)},
                    {"most_load_percent", percent(a.load.most_utilization)},
                    {"hottest", a.load.hottest.id},
                    {"hottest_capacity_per_s", std::to_string(std::lround(a.load.hottest_capacity))},
                    {"most_capacity_per_s", std::to_string(std::lround(a.load.most_capacity))},
                    {"busiest_key", std::to_string(a.load.busiest_key)},
                    {"busiest_key_per_s", std::to_string(std::lround(a.load.busiest_rate))},
                    {"if_revision", std::to_string(a.if_revision)}});
    m_words.store().write(key_table_kind, m_service, core::to_json(a.table), a.if_revision,
                          [self = shared_from_this()](store_result<std::uint64_t> answer) {
                              self->m_coordinator.table_written(answer ? write_outcome::done
                                                                       : outcome_of(answer.error()),
                                                                answer ? *answer : 0, now());
                              self->step();
                          });
}

exchange_request key_service::order_request(const std::string& server, const core::endpoint& at,
                                            const encoded_call& call) const {
    exchange_request request;
    request.head = call.method + " " + call.target + " HTTP/1.1\r\nHost: " + core::to_string(at) + "\r\n" +
                   m_words.headers().expected_server + ": " + server +
                   "\r\nContent-Type: " + call.content_type +
                   "\r\nContent-Length: " + std::to_string(call.body.size()) + "\r\n\r\n";
    request.body = std::make_shared<const std::string>(call.body);
    return request;
}

void key_service::run(const core::send_grant& a) {
    if (!leads()) { // The orders before it in this step took their time.
        m_coordinator.grant_ended(a.order, order_outcome::not_sent, now());
        step();
        return;
    }
    if (m_contacted.contains(a.to) && m_orders.connections_to(a.at) == 0) {
        m_contacted.erase(a.to);
        m_coordinator.server_doubtful(a.to);
        m_coordinator.grant_ended(a.order, order_outcome::not_sent, now());
        step();
        return;
    }
    auto request = order_request(a.to.id, a.at, m_words.encode(a));
    request.deadline = now() + m_grant_time;
    m_orders.start(a.at, std::move(request), [self = shared_from_this(), a](exchange_result& result) {
        const auto outcome = outcome_of(result);
        self->m_measured.order(outcome == order_outcome::done);
        if (outcome == order_outcome::done) {
            self->m_contacted.insert(a.to);
        }
        log_order("grant", a.to, a.from, a.last, a.fence, outcome, result);
        if (result.refused) {
            self->note_refusal(a.to);
        }
        self->m_coordinator.grant_ended(a.order, outcome, now());
        self->step();
        return true;
    });
}

void key_service::run(const core::send_release& a) {
    auto request = order_request(a.to.id, a.at, m_words.encode(a));
    request.deadline = now() + release_time;
    m_orders.start(a.at, std::move(request), [self = shared_from_this(), a](exchange_result& result) {
        const auto outcome = outcome_of(result);
        self->m_measured.order(outcome == order_outcome::done);
        log_order("release", a.to, a.from, a.last, a.fence, outcome, result);
        if (result.refused) {
            self->note_refusal(a.to);
        }
        const auto handover = result.reply.headers[self->m_words.headers().handover];
        self->m_coordinator.release_ended(a.order, outcome, std::string(handover.data(), handover.size()),
                                          now());
        self->step();
        return true;
    });
}

} // namespace balsampost::entry
