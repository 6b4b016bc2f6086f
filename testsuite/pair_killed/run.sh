# Coordinator and standby are killed together: another instance takes over once the platform's list says so.
source "$(dirname "$0")/../common/fault_case.sh"

# Whether the cell has a coordinator and a standby that both run here. Beside other load, the standby joins seconds after
# the deployment has started.
pair_runs() {
    local holder standby
    holder=$(holder_of "$KEYED")
    standby=$(standby_of "$KEYED")
    [ -n "$holder" ] && [ -n "$standby" ] && [ -n "${PID[$holder]:-}" ] && [ -n "${PID[$standby]:-}" ]
}

inject() {
    local holder standby
    holder=$(holder_of "$KEYED")
    standby=$(standby_of "$KEYED")
    kill -KILL "${PID[$holder]}" "${PID[$standby]}"
    sleep 1
    curl -s -X DELETE "http://$PLATFORM/members/$holder" > /dev/null
    curl -s -X DELETE "http://$PLATFORM/members/$standby" > /dev/null
}

READY=pair_runs
fault_case inject
