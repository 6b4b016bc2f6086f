# The coordinator of the keyed cell is killed: its standby takes over.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    kill -KILL "${PID[$(holder_of "$KEYED")]}"
}

fault_case inject
