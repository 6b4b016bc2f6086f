# Four instances of balsampost-entry with different grace times are stopped while callers send requests of long work on new, kept and
# pipelined connections until the end. Judged from the callers' and the servers' side.
: "${BIN:=build/src}"
: "${OCTET:=20}"
ENTRY=${ENTRY:-$BIN/../platform/balsampost-entry}
run_one() { # NUMBER GRACE_MS
    local address="127.$OCTET.8.1$1" store="127.$OCTET.8.$1:7400" pid
    cat > "$RUN_DIR/entry-$1.ini" << SETTINGS
[instance]
name = entry-$1
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
grace=$2ms
SETTINGS
    (
        "$ENTRY" --config "$RUN_DIR/entry-$1.ini" > "$RUN_DIR/entry-$1.log" 2>&1 &
        echo $! > "$RUN_DIR/entry-$1.pid"
        wait $!
        echo "exit code $?" > "$RUN_DIR/entry-$1.exit"
    ) &
    until [ -s "$RUN_DIR/entry-$1.pid" ]; do sleep 0.05; done
    pid=$(cat "$RUN_DIR/entry-$1.pid")
    "$BIN/../platform/site/balsampost-stop-run" --store "$store" --front "$address:7401" --servers "127.$OCTET.2$1" --grace "$2" \
        --pid "$pid" > "$RUN_DIR/judged-$1" 2> "$RUN_DIR/counts-$1" || kill "$pid" 2> /dev/null
    wait
    cat "$RUN_DIR/entry-$1.exit" >> "$RUN_DIR/judged-$1"
}
number=1
for grace in 3000 4000 6000 10000; do
    run_one "$number" "$grace" &
    number=$((number + 1))
done
wait
cat "$RUN_DIR"/judged-?
cat "$RUN_DIR"/counts-? > "$RUN_DIR/case.err"
