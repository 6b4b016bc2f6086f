# The Exchange's profile: a server and its home are killed at the same moment.
USER_SET=exchange
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    kill -KILL "${PID[$(home_of "$VICTIM")]}" "${PID[$VICTIM]}"
}

fault_case inject
