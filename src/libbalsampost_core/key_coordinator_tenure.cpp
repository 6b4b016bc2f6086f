// Tenure of the coordinator: acquisition, renewal, release and JSON form.
#include "balsampost/core/key_coordinator.h"

#include "balsampost/core/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace balsampost::core {

void key_coordinator::epoch_began(store::epoch newer, time_point now) {
    if (newer <= m_epoch) {
        return;
    }
    m_epoch = newer;
    m_tenure_known = false;
    m_table_known = false;
    if (!m_holds_tenure) {
        return;
    }
    if (!leads(now)) {
        lose_authority(); // Another instance may have held the tenure meanwhile.
        return;
    }
    if (m_owns_table) {
        m_table_lost = true;
    } else {
        reset_table_state();
    }
    m_tenure_poll_at = now;
    schedule_step(now);
}

void key_coordinator::tenure_read(const store::revision& revision, std::optional<tenure_record> record,
                                  time_point now) {
    epoch_began(revision.epoch(), now);
    if (revision.epoch() != m_epoch) {
        tenure_read_failed(now);
        return;
    }
    m_tenure_call_pending = false;
    m_tenure_read_backoff = milliseconds{0};
    m_tenure_poll_at = now + m_settings.tenure_poll_interval;
    if (m_tenure_known && revision < m_tenure_revision) {
        return; // The read is stale.
    }
    if (!m_tenure_known || revision != m_tenure_revision) {
        m_tenure_first_seen = now;
        m_tenure_revision = revision;
        m_tenure = std::move(record);
        m_tenure_known = true;
    }
    const bool own = m_tenure && m_tenure->holder == m_self;
    m_table_seen = m_table_seen || (m_tenure && !tenure_is_current());
    if (m_holds_tenure && !tenure_is_current()) {
        m_renew_at = now; // While this authority runs, nobody else can have taken the tenure.
    } else if (m_holds_tenure && !own) {
        lose_authority();
    } else if (!m_holds_tenure && own && tenure_is_current() && !m_resigned) {
        // An unanswered write of this instance took effect. The term belongs to this instance, but authority
        // starts only with the next renewal that is answered.
        m_holds_tenure = true;
        m_term = m_tenure->term;
        m_authority_until = never;
        m_renew_at = now;
        reset_table_state();
    }
}

void key_coordinator::tenure_confirmed(const store::revision& revision, time_point now) {
    epoch_began(revision.epoch(), now);
    if (m_holds_tenure || !m_tenure_known || revision < m_tenure_revision) {
        return;
    }
    if (revision > m_tenure_revision) {
        if (is_free()) {
            // Another instance has taken the tenure since: the record has to be read before it is written.
            m_tenure_known = false;
            m_tenure_poll_at = now + m_settings.free_tenure_delay;
            return;
        }
        m_tenure_revision = revision;
        m_tenure_first_seen = now;
    }
    m_tenure_poll_at = std::max<time_point>(m_tenure_poll_at, now + m_settings.holder_silence_timeout);
}

bool key_coordinator::tenure_is_current() const {
    if (!m_settings.rules.distrust_earlier_records) {
        return true;
    }
    // A missing record may be a lost one, unless the store counts no restores.
    return m_tenure ? m_tenure->epoch.value_or(m_epoch) == m_epoch : m_epoch == store::epoch{};
}

bool key_coordinator::is_free() const {
    return tenure_is_current() &&
           (!m_tenure || m_tenure->holder.empty() || m_ended_instances.contains(m_tenure->holder));
}

void key_coordinator::tenure_read_failed(time_point now) {
    m_tenure_call_pending = false;
    m_tenure_read_backoff = std::clamp<milliseconds>(2 * m_tenure_read_backoff, m_settings.store_retry_delay,
                                                     m_settings.max_store_backoff);
    m_tenure_poll_at = now + m_tenure_read_backoff;
}

void key_coordinator::reset_table_state() {
    m_table_call_outdated = m_table_call_pending;
    m_table_claimed = false;
    m_table_known = false;
    m_first_table_read = true;
    m_owns_table = false;
    m_table_lost = false;
    m_replaces_earlier_table = false;
}

void key_coordinator::lose_authority() {
    m_holds_tenure = false;
    if (m_authority_until != never) {
        m_previous_authority_until =
            m_authority_until; // This instance may later find that it still holds the same tenure.
    }
    m_authority_until = never;
    reset_table_state();
    m_range_states.clear();
    m_orders.clear();
    m_holds.clear();
    m_inherited_holds.clear();
    m_uncertain_releases.clear();
    m_unreachable.clear();
}

void key_coordinator::tenure_written(write_outcome outcome, const store::revision& revision, time_point sent,
                                     time_point now) {
    m_tenure_call_pending = false;
    epoch_began(revision.epoch(), now);
    if (outcome == write_outcome::done && !proves_write(m_tenure_condition, revision)) {
        outcome = write_outcome::unknown;
    }
    switch (outcome) {
    case write_outcome::done: {
        const bool newly_taken = !m_holds_tenure;
        m_tenure = m_pending_tenure;
        m_takeover_backoff = milliseconds{0};
        m_tenure_revision = revision;
        m_tenure_known = true;
        m_tenure_written_in = m_epoch;
        m_tenure_first_seen = now;
        m_holds_tenure = true;
        m_authority_until = sent + m_settings.tenure;
        m_renew_at = std::max(now, sent + m_settings.tenure_renew_interval);
        m_store_degraded = false;
        if (newly_taken) {
            reset_table_state();
        }
        break;
    }
    case write_outcome::conflict:
        // Another write came first, possibly an earlier one of this instance, so the record is read again.
        m_tenure_known = false;
        m_tenure_poll_at = now;
        m_renew_at = now;
        if (m_holds_tenure) {
            m_store_degraded = true;
        }
        break;
    case write_outcome::failed:
    case write_outcome::unknown:
        m_store_degraded = m_holds_tenure;
        m_tenure_poll_at = now + m_settings.store_retry_delay;
        m_renew_at = now + m_settings.store_retry_delay;
        m_takeover_backoff = std::clamp<milliseconds>(2 * m_takeover_backoff, m_settings.store_retry_delay,
                                                      m_settings.max_store_backoff);
        m_next_takeover_at = now + m_takeover_backoff;
        if (outcome == write_outcome::unknown) {
            m_tenure_known = false;
        }
        break;
    }
}

void key_coordinator::step_tenure(time_point now, std::vector<coordinator_action>& out) {
    if (m_resigned) {
        return;
    }
    if (m_holds_tenure && m_authority_until != never && now >= m_authority_until &&
        m_settings.rules.stop_at_tenure_end) {
        lose_authority();
        m_tenure_known = false;
    }
    if (m_tenure_call_pending) {
        schedule_step(m_tenure_call_sent + m_settings.store_silence_timeout);
        if (m_holds_tenure && now >= m_tenure_call_sent + m_settings.store_silence_timeout) {
            m_store_degraded = true;
        }
        if (m_holds_tenure && m_authority_until != never) {
            schedule_step(m_authority_until);
        }
        return;
    }
    const auto write = [&](std::uint64_t term) {
        m_term = term;
        m_tenure_call_pending = true;
        m_tenure_call_sent = now;
        const std::uint64_t renewals = m_tenure ? m_tenure->renewals + 1 : 1;
        m_pending_tenure = tenure_record{term, m_self, m_self_at, renewals, m_epoch};
        m_tenure_condition = m_tenure_revision;
        schedule_step(now + m_settings.store_silence_timeout);
        out.emplace_back(write_tenure{m_pending_tenure, m_tenure_condition});
    };
    if (!m_tenure_known) {
        if (now < m_tenure_poll_at) {
            schedule_step(m_tenure_poll_at);
            return;
        }
        m_tenure_call_pending = true;
        m_tenure_call_sent = now;
        out.emplace_back(read_tenure{});
        schedule_step(now + m_settings.store_silence_timeout);
        return;
    }
    if (m_holds_tenure) {
        if (now >= m_renew_at) {
            write(m_term);
        } else {
            schedule_step(m_renew_at);
            if (m_authority_until != never) {
                schedule_step(m_authority_until);
            }
        }
        return;
    }
    const bool free = is_free();
    const auto expired_at = m_settings.rules.wait_for_tenure_end
                                ? m_tenure_first_seen + m_settings.tenure + m_settings.takeover_margin
                                : m_tenure_first_seen;
    const auto free_takeover_at = m_tenure_first_seen + m_settings.free_tenure_delay;
    if (free && now < free_takeover_at) {
        schedule_step(free_takeover_at);
        return;
    }
    if ((free || now >= expired_at) && now < m_next_takeover_at) {
        schedule_step(m_next_takeover_at);
        return;
    }
    if (free || now >= expired_at) {
        // The holder may issue orders for the length of the tenure after it sent its last renewal, which was
        // before that renewal was first read here.
        m_previous_authority_until = std::min<time_point>(now, m_tenure_first_seen + m_settings.tenure);
        write(std::max(m_tenure ? m_tenure->term : 0, first_number_of(m_epoch)) + 1);
        return;
    }
    if (now >= m_tenure_poll_at) {
        m_tenure_call_pending = true;
        m_tenure_call_sent = now;
        out.emplace_back(read_tenure{});
        return;
    }
    schedule_step(std::min(expired_at, m_tenure_poll_at));
}

std::optional<write_tenure> key_coordinator::resign(time_point now) {
    const bool had_authority =
        m_holds_tenure && now < m_authority_until && m_tenure_revision.epoch() == m_epoch;
    const auto revision = m_tenure_revision;
    m_resigned = true;
    lose_authority();
    if (!had_authority) {
        return std::nullopt;
    }
    return write_tenure{{m_term, "", m_self_at, m_tenure ? m_tenure->renewals + 1 : 1, m_epoch}, revision};
}

// JSON form

std::string to_json(const tenure_record& record) {
    auto out = nlohmann::json{{"term", record.term},
                              {"holder", record.holder},
                              {"holder_at", to_string(record.holder_at)},
                              {"renewals", record.renewals}};
    if (record.epoch) {
        out["epoch"] = record.epoch->number;
    }
    return json_to_string(out);
}

result<tenure_record> tenure_from_json(const std::string& text) {
    const auto parsed = parse_json(text);
    if (!parsed) {
        return fail(error_code::protocol, "tenure: " + parsed.error().message);
    }
    try {
        const auto& value = *parsed;
        const auto at = parse_endpoint(value.at("holder_at").get<std::string>());
        if (!at) {
            return fail(error_code::protocol, "tenure: holder_at: " + at.error());
        }
        tenure_record record{value.at("term").get<std::uint64_t>(), value.at("holder").get<std::string>(),
                             *at, value.at("renewals").get<std::uint64_t>()};
        if (value.contains("epoch")) {
            record.epoch = store::epoch{value.at("epoch").get<std::uint64_t>()};
        }
        return record;
    } catch (const nlohmann::json::exception& e) {
        return fail(error_code::protocol, std::string("tenure: ") + e.what());
    }
}

} // namespace balsampost::core
