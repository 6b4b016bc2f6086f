# An instance that is home and coordinator is stopped: no caller notices, and it exits 0.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    local holder
    holder=$(holder_of "$KEYED")
    kill -TERM "${PID[$holder]}"
    sleep 0.2
    kill -TERM "${PID[$holder]}"
    wait "${PID[$holder]}"
    echo "exit $?"
}

fault_case inject no_caller_noticed
