# Runs one fault under load and prints what must hold whatever the timing. Sourced by a case's run.sh, which then calls
# fault_case with the name of a function that brings the fault about.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 1
: "${RUN_DIR:=$(mktemp -d)}"
: "${RATE:=150}" "${SECONDS_OF_LOAD:=7}" "${SEED:=1}"
source testsuite/common/deployment.sh
trap stop_deployment EXIT

KEYED=${SERVICES%% *}
VICTIM=$KEYED-1

mkdir -p "$RUN_DIR"
# Kills that bash reports would differ from run to run.
exec 2> "$RUN_DIR/case.err"

fault_case() { # INJECT [CHECK]
    start_deployment || exit 1
    # READY: a function that must succeed before the load starts, for a case that needs more than all owners.
    [ -z "${READY:-}" ] || wait_until "$READY" "$READY" || exit 1
    load --rate "$RATE" --seconds "$SECONDS_OF_LOAD" --seed "$SEED" --keys 200 --format json > "$RUN_DIR/verdict.json" &
    local loader=$!
    sleep 1.5
    "$1"
    wait "$loader"
    invariants "$RUN_DIR/verdict.json"
    wait_until "every slice has an owner again" all_owned && echo "recovered"
    if [ -n "${2:-}" ]; then "$2"; fi
}

invariants() { # VERDICT
    local field
    for field in lost doubled falsely_not_run crossed truncated owners_overlap; do
        grep -o "\"$field\":[0-9]*" "$1" | tr -d '"'
    done
    [ "$(verdict_field answered "$1")" -gt 0 ] && echo "callers were answered"
}

verdict_field() { # FIELD VERDICT
    grep -o "\"$1\":[0-9]*" "${2:-$RUN_DIR/verdict.json}" | cut -d: -f2
}

# For planned changes: no caller may notice.
no_caller_noticed() {
    echo "not_run=$(verdict_field not_run) unknown=$(verdict_field unknown)"
}
