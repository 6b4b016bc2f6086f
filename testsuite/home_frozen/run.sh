# The home of a server is frozen past its right and then goes on.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    local home
    home=$(home_of "$VICTIM")
    kill -STOP "${PID[$home]}"
    sleep 2
    kill -CONT "${PID[$home]}"
}

fault_case inject
