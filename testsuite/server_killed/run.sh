# A backend server is killed: its keys get new owners, and nobody else's move.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    kill -KILL "${PID[$VICTIM]}"
}

fault_case inject
