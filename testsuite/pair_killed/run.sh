# Coordinator and standby are killed together: another instance takes over once the platform's list says so.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    local holder standby
    holder=$(holder_of "$KEYED")
    standby=$(standby_of "$KEYED")
    kill -KILL "${PID[$holder]}" "${PID[$standby]}"
    sleep 1
    curl -s -X DELETE "http://$PLATFORM/members/$holder" > /dev/null
    curl -s -X DELETE "http://$PLATFORM/members/$standby" > /dev/null
}

fault_case inject
