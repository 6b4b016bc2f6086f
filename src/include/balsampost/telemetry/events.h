// The numbered events that are written to the log. docs/EVENTS.md is their catalogue; telemetry_test checks
// that both list the same numbers and names.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace balsampost::telemetry {

enum class severity : std::uint8_t { debug, info, warning, error };

/// Numbers and logged names are stable, as operators' tools match them. The enumerators may differ from the
/// names.
enum class event : std::uint16_t {
    started = 100,
    stopping = 101,
    stopped = 102,
    start_failed = 103,
    drain_deadline = 104,
    listen_retried = 105,
    limits_in_force = 106,
    handler_failed = 107,
    accept_paused = 108,
    accept_resumed = 109,
    callers_limited = 110,
    config_in_force = 200,
    config_unusable = 201,
    members_changed = 202,
    config_value_unknown = 203,
    config_region_unknown = 204,
    owner_regions_changed = 205,
    owner_regions_unserved = 206,
    store_unavailable = 210,
    store_recovered = 211,
    peer_updates_started = 212,
    peer_updates_ended = 213,
    evacuation_began = 214,
    evacuation_ended = 215,
    evacuation_ignored = 216,
    evacuation_keys_moved = 217,
    store_restored = 218,
    history_replaced = 219,
    authority_taken = 300,
    authority_lost = 301,
    standby_changed = 302,
    takeover_attempted = 303,
    table_in_force = 310,
    table_held_by_standby = 311,
    home_began = 320,
    home_ended = 321,
    server_lease_expired = 322,
    server_refused_order = 323,
    slice_draining = 324,
    peer_refused = 400,
    peer_broke_protocol = 401,
    relay_parent = 410,
    relay_unreachable = 411,
    caller_broke_protocol = 500,
    answer_cut_off = 501,
    duplicate_refused = 502,
    span = 600,
    request_answered = 700,
    request_refused = 701,
    request_failed = 702,
    attempt_failed = 703,
    caller_disconnected = 704,
    request_unanswered = 705,
    backends_changed = 710,
    backend_unusable = 711,
    backend_connection_refused = 712,
    server_leaving = 713,
    server_paused = 714,
    server_cold = 715,
    server_warm = 716,
    shares_withheld = 717,
    tenure_read = 720,
    key_table_written = 721,
    key_table_in_force = 722,
    key_table_unusable = 723,
    order_failed = 724,
    key_order = 725,
    report_unusable = 726,
    relay_lost = 727,
    report_late = 728,
    lines_dropped = 730,
};

struct event_info {
    event code;
    severity level;
    /// Name as logged.
    std::string_view name;
    std::string_view description;
};

/// All events, in ascending order of their numbers.
std::span<const event_info> all_events();
/// Aborts if `code` has no entry in the table.
const event_info& info_of(event code);

} // namespace balsampost::telemetry
