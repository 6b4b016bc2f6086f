# The store answers after three seconds while a server is lost.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    faults '{"slow_ms":3000}'
    kill -KILL "${PID[$VICTIM]}"
    sleep 3
    faults '{"slow_ms":0}'
}

fault_case inject
