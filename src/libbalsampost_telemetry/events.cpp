// The table of all events with their levels, logged names and descriptions.
#include "balsampost/telemetry/events.h"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace balsampost::telemetry {

namespace {

constexpr auto event_table = std::to_array<event_info>({
    {event::started, severity::info, "started", "the daemon listens on all its addresses"},
    {event::stopping, severity::info, "stopping", "a stop was requested; the graceful shutdown begins"},
    {event::stopped, severity::info, "stopped", "the shutdown is complete"},
    {event::start_failed, severity::error, "start_failed", "the daemon could not start"},
    {event::drain_deadline, severity::warning, "drain_deadline",
     "the shutdown deadline passed with requests still in flight"},
    {event::listen_retried, severity::warning, "listen_retried",
     "an address cannot be bound yet; the instance tries again"},
    {event::limits_in_force, severity::info, "limits_in_force",
     "descriptors and memory that the process may use"},
    {event::handler_failed, severity::error, "handler_failed", "an exception reached the event loop"},
    {event::accept_paused, severity::warning, "accept_paused",
     "a listener accepts no connection until descriptors are free"},
    {event::accept_resumed, severity::info, "accept_resumed", "a listener accepts connections again"},
    {event::callers_limited, severity::warning, "callers_limited",
     "callers' connections were closed, or requests refused, for the limits of memory or progress"},
    {event::config_in_force, severity::info, "config_in_force",
     "this instance applies a new version of the configuration objects"},
    {event::config_unusable, severity::error, "config_unusable",
     "a published configuration version could not be parsed"},
    {event::members_changed, severity::info, "members_changed", "the platform's member list changed"},
    {event::config_value_unknown, severity::error, "config_value_unknown",
     "a field of a route has an unknown value; the strictest one is used"},
    {event::config_region_unknown, severity::error, "config_region_unknown",
     "a route names a region that no setting knows; it has no servers"},
    {event::owner_regions_changed, severity::info, "owner_regions_changed",
     "the regions in which the owners of a service's keys may be changed"},
    {event::owner_regions_unserved, severity::warning, "owner_regions_unserved",
     "no server that can own keys is in the owner regions of a service"},
    {event::store_unavailable, severity::warning, "store_unavailable",
     "the platform's store does not respond"},
    {event::store_recovered, severity::info, "store_back", "the platform's store responds again"},
    {event::peer_updates_started, severity::info, "told_by_peer",
     "store updates arrive from another instance; this instance pauses its own watch"},
    {event::peer_updates_ended, severity::info, "told_no_more",
     "store updates from another instance stopped; this instance resumes its own watch"},
    {event::evacuation_began, severity::info, "evacuation_began",
     "the operator requested the evacuation of a failure domain"},
    {event::evacuation_ended, severity::info, "evacuation_ended",
     "the operator withdrew the evacuation of a failure domain"},
    {event::evacuation_ignored, severity::error, "evacuation_ignored",
     "an evacuation is not followed: its name is that of no failure domain, or there are too many"},
    {event::evacuation_keys_moved, severity::info, "evacuation_keys_moved",
     "no server of an evacuated failure domain owns keys of a service any more"},
    {event::store_restored, severity::warning, "store_restored",
     "the store was restored from an older copy: the revisions known are void"},
    {event::history_replaced, severity::info, "history_replaced",
     "a kind was listed again after a restore of the store"},
    {event::authority_taken, severity::info, "authority_taken", "this instance became the coordinator"},
    {event::authority_lost, severity::warning, "authority_lost",
     "this instance is no longer the coordinator"},
    {event::standby_changed, severity::info, "standby_changed", "the cell's lease names another standby"},
    {event::takeover_attempted, severity::info, "takeover_tried",
     "a takeover of the coordinator role was sent to the store"},
    {event::table_in_force, severity::info, "table_in_force", "a version of the cell's table took effect"},
    {event::table_held_by_standby, severity::warning, "table_held_by_standby",
     "a table version took effect with the standby's confirmation because the store is unavailable"},
    {event::home_began, severity::info, "home_began", "this instance became the home of a server"},
    {event::home_ended, severity::info, "home_ended", "this instance is no longer the home of a server"},
    {event::server_lease_expired, severity::warning, "server_lapsed",
     "a server's lease expired; its slices can be reassigned"},
    {event::server_refused_order, severity::warning, "server_refused_order",
     "a server refused an order because a newer home controls it"},
    {event::slice_draining, severity::info, "slice_draining",
     "a slice finishes its requests before it moves"},
    {event::peer_refused, severity::warning, "peer_refused", "a peer failed to authenticate"},
    {event::peer_broke_protocol, severity::warning, "peer_broke_protocol", "a peer sent a malformed frame"},
    {event::relay_parent, severity::info, "relay_parent",
     "the relay receives its updates from another instance"},
    {event::relay_unreachable, severity::warning, "relay_unreachable", "the relay's parent does not respond"},
    {event::caller_broke_protocol, severity::debug, "caller_broke_protocol",
     "a caller sent a malformed request"},
    {event::answer_cut_off, severity::warning, "answer_cut_off",
     "a server's response ended early; the caller's connection was closed"},
    {event::duplicate_refused, severity::warning, "duplicate_refused", "a duplicate request id was refused"},
    {event::span, severity::info, "span", "one hop of a sampled request"},
    {event::request_answered, severity::info, "request_answered", "a server answered a request"},
    {event::request_refused, severity::info, "request_refused", "a request was refused without being run"},
    {event::request_failed, severity::warning, "request_failed",
     "a request failed at the entry; it may have run"},
    {event::attempt_failed, severity::info, "attempt_failed",
     "an attempt at a server did not return a usable answer"},
    {event::caller_disconnected, severity::info, "caller_left",
     "a caller closed its connection before the answer"},
    {event::request_unanswered, severity::warning, "request_unanswered",
     "a request was read and its connection ended without a whole answer"},
    {event::backends_changed, severity::info, "backends_changed", "the list of backend servers changed"},
    {event::backend_unusable, severity::warning, "backend_unusable",
     "an entry of the backend list does not describe a usable server"},
    {event::backend_connection_refused, severity::info, "backend_refuses",
     "a server refused a connection from this instance"},
    {event::server_leaving, severity::info, "server_leaving", "a server says in an answer that it leaves"},
    {event::server_paused, severity::info, "server_paused",
     "a server asks this instance to send it nothing for some time"},
    {event::server_cold, severity::info, "server_cold",
     "the publisher hands out shares of the rate of a server that is warming up"},
    {event::server_warm, severity::info, "server_warm",
     "the publisher hands out no more shares of a server: it is warm or no longer listed"},
    {event::shares_withheld, severity::info, "shares_withheld",
     "a new publisher hands out no shares until those of an earlier one have expired"},
    {event::tenure_read, severity::debug, "tenure_read", "the tenure of a keyed service was read"},
    {event::key_table_written, severity::info, "key_table_written",
     "this instance wrote a version of a key table"},
    {event::key_table_in_force, severity::info, "key_table_in_force",
     "this instance applies a new version of a key table"},
    {event::key_table_unusable, severity::error, "key_table_unusable", "a key table could not be parsed"},
    {event::order_failed, severity::info, "order_failed", "a grant or release was not confirmed"},
    {event::key_order, severity::debug, "key_order", "a grant or release was confirmed"},
    {event::report_unusable, severity::debug, "report_unusable",
     "a report from another instance could not be parsed"},
    {event::relay_lost, severity::info, "relay_lost",
     "the relay sends no more updates; this instance reports to the coordinator directly"},
    {event::report_late, severity::info, "report_late",
     "reports of an instance arrived faster than time passed; their request counts are not used"},
    {event::lines_dropped, severity::warning, "lines_dropped",
     "log lines were dropped because the output was too slow"},
});

} // namespace

std::span<const event_info> all_events() {
    return event_table;
}

const event_info& info_of(event code) {
    const auto at = std::find_if(event_table.begin(), event_table.end(),
                                 [&](const auto& info) { return info.code == code; });
    if (at == event_table.end()) {
        std::abort(); // Every event must have a row in event_table.
    }
    return *at;
}

} // namespace balsampost::telemetry
