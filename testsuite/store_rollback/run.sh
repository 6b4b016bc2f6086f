# Three instances of balsampost-entry while the store comes back from older copies, once and in a row; keyed servers and a manifest are
# added around it. The servers audit their keys.
: "${BIN:=build/src}"
: "${OCTET:=22}"
: "${SEED:=1}"
ENTRY=${ENTRY:-$BIN/../platform/balsampost-entry}
STORE="127.$OCTET.8.1:7400"
fronts=()
pids=()
stop_all() { kill "${pids[@]}" 2> /dev/null; wait "${pids[@]}" 2> /dev/null; }
trap stop_all EXIT
for n in 1 2 3; do
    address="127.$OCTET.8.1$n"
    fronts+=(--front "$address:7401")
    cat > "$RUN_DIR/entry-$n.ini" << SETTINGS
[instance]
name = entry-$n
region = r
failure_domain = a
address = $address
[listen]
callers = $address:7401
readiness = $address:7402
peers = $address:7403
metrics = $address:7404
[store]
address = $STORE
[regions]
a = r
[platform bounds]
drain=2000ms
grace=6s
SETTINGS
    "$ENTRY" --config "$RUN_DIR/entry-$n.ini" > "$RUN_DIR/entry-$n.log" 2>&1 &
    pids+=($!)
done
"$BIN/../platform/site/balsampost-rollback-run" --store "$STORE" --servers "127.$OCTET.9" --seed "$SEED" "${fronts[@]}" 2> "$RUN_DIR/case.err"
