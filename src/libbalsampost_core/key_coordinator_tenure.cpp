// Who may coordinate a keyed service: the tenure, and its stored form.
#include "balsampost/core/key_coordinator.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace balsampost::core {

void key_coordinator::tenure_read(std::uint64_t revision, std::optional<tenure_record> record,
                                  time_point now) {
    m_tenure_call = false;
    m_read_pause = milliseconds{0};
    m_poll_at = now + m_settings.poll_tenure;
    if (m_tenure_known && revision < m_tenure_revision) {
        return; // A stale read.
    }
    if (!m_tenure_known || revision != m_tenure_revision) {
        m_tenure_seen = now;
        m_tenure_revision = revision;
        m_tenure = std::move(record);
        m_tenure_known = true;
    }
    const bool mine = m_tenure && m_tenure->holder == m_self;
    if (m_holds_tenure && !mine) {
        lose_authority();
    } else if (!m_holds_tenure && mine && !m_resigned) {
        // A write of this instance took effect without an answer. Its term is this instance's; authority
        // begins with the next renewal that is answered.
        m_holds_tenure = true;
        m_term = m_tenure->term;
        m_authority_until = never;
        m_renew_at = now;
        begin_tenure();
    }
}

void key_coordinator::tenure_heard(std::uint64_t revision, time_point now) {
    if (m_holds_tenure || !m_tenure_known || revision < m_tenure_revision) {
        return;
    }
    if (revision > m_tenure_revision) {
        m_tenure_revision = revision;
        m_tenure_seen = now;
    }
    m_poll_at = std::max<time_point>(m_poll_at, now + m_settings.unheard);
}

void key_coordinator::tenure_read_failed(time_point now) {
    m_tenure_call = false;
    m_read_pause =
        std::clamp<milliseconds>(2 * m_read_pause, m_settings.retry_store, m_settings.longest_take_pause);
    m_poll_at = now + m_read_pause;
}

void key_coordinator::begin_tenure() {
    m_table_call_outdated = m_table_call;
    m_claimed = false;
    m_table_known = false;
    m_first_read = true;
}

void key_coordinator::lose_authority() {
    m_holds_tenure = false;
    if (m_authority_until != never) {
        m_earlier_authority_until =
            m_authority_until; // The same tenure may be found to be this instance's again.
    }
    m_authority_until = never;
    begin_tenure();
    m_runs.clear();
    m_orders.clear();
    m_holds.clear();
    m_unknown_holds.clear();
    m_doubts.clear();
    m_unreached.clear();
    m_fenced.clear();
}

void key_coordinator::tenure_written(write_outcome outcome, std::uint64_t revision, time_point sent,
                                     time_point now) {
    m_tenure_call = false;
    switch (outcome) {
    case write_outcome::done: {
        const bool fresh = !m_holds_tenure;
        m_tenure = m_tenure_draft;
        m_take_pause = milliseconds{0};
        m_tenure_revision = revision;
        m_tenure_seen = now;
        m_holds_tenure = true;
        m_authority_until = sent + m_settings.tenure;
        m_renew_at = std::max(now, sent + m_settings.renew_tenure);
        m_store_falters = false;
        if (fresh) {
            begin_tenure();
        }
        break;
    }
    case write_outcome::conflict:
        // Someone wrote, perhaps an earlier write of this instance: read before anything else.
        m_tenure_known = false;
        m_poll_at = now;
        m_renew_at = now;
        if (m_holds_tenure) {
            m_store_falters = true;
        }
        break;
    case write_outcome::failed:
    case write_outcome::unknown:
        m_store_falters = m_holds_tenure;
        m_poll_at = now + m_settings.retry_store;
        m_renew_at = now + m_settings.retry_store;
        m_take_pause =
            std::clamp<milliseconds>(2 * m_take_pause, m_settings.retry_store, m_settings.longest_take_pause);
        m_take_at = now + m_take_pause;
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
        m_settings.rules.end_with_tenure) {
        lose_authority();
        m_tenure_known = false;
    }
    if (m_tenure_call) {
        due(m_tenure_call_sent + m_settings.faltering);
        if (m_holds_tenure && now >= m_tenure_call_sent + m_settings.faltering) {
            m_store_falters = true;
        }
        if (m_holds_tenure && m_authority_until != never) {
            due(m_authority_until);
        }
        return;
    }
    const auto write = [&](std::uint64_t term) {
        m_term = term;
        m_tenure_call = true;
        m_tenure_call_sent = now;
        const std::uint64_t renewals = m_tenure ? m_tenure->renewals + 1 : 1;
        m_tenure_draft = tenure_record{term, m_self, m_self_at, renewals};
        due(now + m_settings.faltering);
        out.emplace_back(write_tenure{m_tenure_draft, m_tenure_revision});
    };
    if (!m_tenure_known) {
        if (now < m_poll_at) {
            due(m_poll_at);
            return;
        }
        m_tenure_call = true;
        m_tenure_call_sent = now;
        out.emplace_back(read_tenure{});
        due(now + m_settings.faltering);
        return;
    }
    if (m_holds_tenure) {
        if (now >= m_renew_at) {
            write(m_term);
        } else {
            due(m_renew_at);
            if (m_authority_until != never) {
                due(m_authority_until);
            }
        }
        return;
    }
    const bool free = !m_tenure || m_tenure->holder.empty() || m_ended_instances.contains(m_tenure->holder);
    const auto free_at = m_settings.rules.wait_for_tenure
                             ? m_tenure_seen + m_settings.tenure + m_settings.takeover_margin
                             : m_tenure_seen;
    const auto from = m_tenure_seen + m_settings.first_wait;
    if (free && now < from) {
        due(from);
        return;
    }
    if ((free || now >= free_at) && now < m_take_at) {
        due(m_take_at);
        return;
    }
    if (free || now >= free_at) {
        // It orders for the tenure's length after its last renewal was sent, which is before it was seen.
        m_earlier_authority_until = std::min<time_point>(now, m_tenure_seen + m_settings.tenure);
        write(m_tenure ? m_tenure->term + 1 : 1);
        return;
    }
    if (now >= m_poll_at) {
        m_tenure_call = true;
        m_tenure_call_sent = now;
        out.emplace_back(read_tenure{});
        return;
    }
    due(std::min(free_at, m_poll_at));
}

std::optional<write_tenure> key_coordinator::resign(time_point now) {
    const bool led = m_holds_tenure && now < m_authority_until;
    const auto revision = m_tenure_revision;
    m_resigned = true;
    lose_authority();
    if (!led) {
        return std::nullopt;
    }
    return write_tenure{{m_term, "", m_self_at, m_tenure ? m_tenure->renewals + 1 : 1}, revision};
}

// Stored form

std::string to_json(const tenure_record& record) {
    return nlohmann::json{{"term", record.term},
                          {"holder", record.holder},
                          {"holder_at", to_string(record.holder_at)},
                          {"renewals", record.renewals}}
        .dump();
}

result<tenure_record> tenure_from_json(const std::string& text) {
    try {
        const auto value = nlohmann::json::parse(text);
        const auto at = parse_endpoint(value.at("holder_at").get<std::string>());
        if (!at) {
            return fail(error_code::protocol, "tenure: holder_at: " + at.error());
        }
        return tenure_record{value.at("term").get<std::uint64_t>(), value.at("holder").get<std::string>(),
                             *at, value.at("renewals").get<std::uint64_t>()};
    } catch (const nlohmann::json::exception& e) {
        return fail(error_code::protocol, std::string("tenure: ") + e.what());
    }
}

} // namespace balsampost::core
