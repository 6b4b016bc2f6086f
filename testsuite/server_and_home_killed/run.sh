# A server and its home are killed at the same moment.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    kill -KILL "${PID[$(home_of "$VICTIM")]}" "${PID[$VICTIM]}"
}

fault_case inject
