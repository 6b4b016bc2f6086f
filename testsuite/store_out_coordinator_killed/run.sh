# The store is out when the coordinator is killed: rights lapse safely until the store is back.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    faults '{"down":true}'
    sleep 0.5
    kill -KILL "${PID[$(holder_of "$KEYED")]}"
    sleep 3
    faults '{"down":false}'
}

fault_case inject
