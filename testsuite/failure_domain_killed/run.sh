# Everything in one failure domain is killed: instance and servers.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    local number name
    kill -KILL "${PID[$(daemon_name 1)]}"
    while read -r number name _; do
        [ "$((number % 6))" = 1 ] && kill -KILL "${PID[$name]}"
    done < <(server_list)
}

fault_case inject
