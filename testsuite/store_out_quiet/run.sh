# The platform's store is out for a while and nothing else happens.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    faults '{"down":true}'
    sleep 5
    faults '{"down":false}'
}

fault_case inject
