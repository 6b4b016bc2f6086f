# The store is out when a server is killed: its keys move on the standby's word.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    faults '{"down":true}'
    sleep 0.5
    kill -KILL "${PID[$VICTIM]}"
    sleep 3
    faults '{"down":false}'
}

fault_case inject
