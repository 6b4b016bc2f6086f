# Plays crowds of untrusted callers against one instance of balsampost-entry each, with small limits. Sourced by a case's run.sh,
# which then calls play_crowds TARGET CROWD..., where a crowd may be two kinds joined by "+". With CROWD_STOP=1 the
# instance is stopped while the crowd is connected. The kinds and their sizes are fixed in platform/site/crowd/.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 1
: "${BIN:=build/src}" "${OCTET:=20}" "${RUN_DIR:=$(mktemp -d)}"
ENTRY=${ENTRY:-$BIN/../platform/balsampost-entry}
CROWD=${CROWD:-$BIN/../platform/site/balsampost-crowd}
MEMORY_MB=64
DESCRIPTORS=1024
ADDRESS="127.$OCTET.8.11"
STORE="127.$OCTET.8.1:7400"
entry=""
mkdir -p "$RUN_DIR"
exec 2> "$RUN_DIR/case.err"
stop_entry() { [ -z "$entry" ] || { kill -KILL "$entry"; wait "$entry"; } 2> /dev/null; }
trap stop_entry EXIT
cat > "$RUN_DIR/entry.ini" << SETTINGS
[instance]
name = entry-1
region = r
failure_domain = a
address = $ADDRESS
[listen]
callers = $ADDRESS:7401
readiness = $ADDRESS:7402
peers = $ADDRESS:7403
metrics = $ADDRESS:7404
[store]
address = $STORE
[resources]
memory_mb = $MEMORY_MB
descriptors = $DESCRIPTORS
[regions]
a = r
[platform bounds]
drain=2000ms
grace=3s
SETTINGS
play_crowds() { # TARGET CROWD...
    local target=$1 crowd kind kinds held stop=""
    shift
    [ -z "${CROWD_STOP:-}" ] || stop=--stop
    for crowd in "$@"; do
        kinds=()
        for kind in ${crowd//+/ }; do kinds+=(--crowd "$kind"); done
        "$ENTRY" --config "$RUN_DIR/entry.ini" > "$RUN_DIR/entry.log" 2>&1 &
        entry=$!
        echo "$target, $crowd" >&2
        held=$(ulimit -S -n "$(ulimit -H -n)"; "$CROWD" --store "$STORE" --front "$ADDRESS:7401" --readiness "$ADDRESS:7402" \
            --metrics "$ADDRESS:7404" --servers "127.$OCTET.9" --callers "127.$OCTET.7" --target "$target" --pid "$entry" \
            --memory-mb "$MEMORY_MB" --descriptors "$DESCRIPTORS" "${kinds[@]}" $stop)
        if [ -n "$stop" ] && [ "${held%%,*}" = ended ]; then
            wait "$entry"
            held="$held, exit code $?"
        else
            stop_entry
        fi
        entry=""
        echo "$target, $crowd: $held"
    done
}
