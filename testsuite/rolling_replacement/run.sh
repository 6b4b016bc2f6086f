# Every instance is stopped and started again, one after another, under load: no caller notices.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    local i
    for ((i = 0; i < DAEMONS; i++)); do
        kill -TERM "${PID[$(daemon_name "$i")]}"
        wait "${PID[$(daemon_name "$i")]}"
        start_daemon "$i"
        wait_until "instance $i serves again" all_owned
    done
}

SECONDS_OF_LOAD=14
fault_case inject no_caller_noticed
