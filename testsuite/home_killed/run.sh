# The home of a server is killed: the server keeps its keys and gets another home.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    kill -KILL "${PID[$(home_of "$VICTIM")]}"
}

fault_case inject
