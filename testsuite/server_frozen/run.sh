# A backend server is frozen past its lease and then goes on as if nothing had happened.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    kill -STOP "${PID[$VICTIM]}"
    sleep 2
    kill -CONT "${PID[$VICTIM]}"
}

fault_case inject
