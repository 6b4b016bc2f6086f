# Servers that check the order-giver: a home that was frozen and replaced is refused when it returns.
SERVER_OPTIONS=--verifies-grants
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    local home
    home=$(home_of "$VICTIM")
    kill -STOP "${PID[$home]}"
    sleep 2
    kill -CONT "${PID[$home]}"
}

fault_case inject
