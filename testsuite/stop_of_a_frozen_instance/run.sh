# Instances of balsampost-entry are frozen, get SIGTERM while they are, and run on. Guards against requests that are taken after the freeze
# and cut by SIGKILL, whose time counts from SIGTERM. Sent are requests of long and short work, on kept and pipelined connections, from 3 s
# after the freeze until the end of the grace time.
: "${BIN:=build/src}"
: "${OCTET:=20}"
ENTRY=${ENTRY:-$BIN/../platform/balsampost-entry}
run_one() { # NUMBER GRACE_MS FREEZE_MS SIGNAL_BEFORE_END_MS
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
        --freeze "$3" --signal-before-end "$4" --pid "$pid" > "$RUN_DIR/judged-$1" 2> "$RUN_DIR/counts-$1" || kill "$pid" 2> /dev/null
    wait
    cat "$RUN_DIR/entry-$1.exit" >> "$RUN_DIR/judged-$1"
}
run_one 1 6000 4000 1500 &
run_one 2 10000 4000 3000 &
wait
cat "$RUN_DIR"/judged-?
cat "$RUN_DIR"/counts-? > "$RUN_DIR/case.err"
