# A server is drained by the operator: no caller notices, and it ends up with no slice.
source "$(dirname "$0")/../common/fault_case.sh"

inject() {
    cli drain "$VICTIM" > /dev/null
}

owns_nothing() {
    no_caller_noticed
    cli owners "$KEYED" | awk -v s="$VICTIM" '$2 == s {print "slices of the drained server: " $NF}'
}

fault_case inject owns_nothing
