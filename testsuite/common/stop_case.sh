# Stops one instance of balsampost-entry under the load of balsampost-stop-run. Sourced by the cases of planned stops.
: "${BIN:=build/src}"
: "${OCTET:=20}"
ENTRY=${ENTRY:-$BIN/../platform/balsampost-entry}
# Leaves the judgement in judged-NUMBER and the counts in counts-NUMBER.
stop_one() { # NUMBER GRACE_MS [OPTION OF STOP-RUN...]
    local number=$1 grace=$2 address="127.$OCTET.8.1$1" store="127.$OCTET.8.$1:7400" pid
    shift 2
    cat > "$RUN_DIR/entry-$number.ini" << SETTINGS
[instance]
name = entry-$number
region = r
failure_domain = a
address = $address
[listen]
callers = $address:7401
readiness = $address:7402
peers = $address:7403
metrics = $address:7404
[store]
address = $store
[regions]
a = r
[platform bounds]
grace=${grace}ms
SETTINGS
    (
        "$ENTRY" --config "$RUN_DIR/entry-$number.ini" > "$RUN_DIR/entry-$number.log" 2>&1 &
        echo $! > "$RUN_DIR/entry-$number.pid"
        wait $!
        echo "exit code $?" > "$RUN_DIR/entry-$number.exit"
    ) &
    until [ -s "$RUN_DIR/entry-$number.pid" ]; do sleep 0.05; done
    pid=$(cat "$RUN_DIR/entry-$number.pid")
    "$BIN/../platform/site/balsampost-stop-run" --store "$store" --front "$address:7401" --servers "127.$OCTET.2$number" --grace "$grace" \
        --pid "$pid" "$@" > "$RUN_DIR/judged-$number" 2> "$RUN_DIR/counts-$number" || kill "$pid" 2> /dev/null
    wait
    cat "$RUN_DIR/entry-$number.exit" >> "$RUN_DIR/judged-$number"
}
