# Writes of leases take effect, but their answers are lost, while the coordinator is killed.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    faults '{"lose_write_answers":4,"lose_only":"lease"}'
    kill -KILL "${PID[$(holder_of "$KEYED")]}"
}

fault_case inject
