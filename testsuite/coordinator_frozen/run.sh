# The coordinator is frozen until its standby has taken over, and then goes on.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    local holder
    holder=$(holder_of "$KEYED")
    kill -STOP "${PID[$holder]}"
    sleep 2
    kill -CONT "${PID[$holder]}"
}

fault_case inject
