# Writes of tables take effect, but their answers are lost, while a server is killed.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    faults '{"lose_write_answers":4,"lose_only":"table"}'
    kill -KILL "${PID[$VICTIM]}"
}

fault_case inject
