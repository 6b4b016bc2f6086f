# Three instances of balsampost-entry against servers that leave and pause by their own word: with the store away, with its word late,
# and with one that starts anew under its id. Counted from the servers' side by the two rules.
: "${BIN:=build/src}"
: "${OCTET:=20}"
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
"$BIN/../platform/site/balsampost-site" --store "$STORE" --servers "127.$OCTET.9" --seed "$SEED" "${fronts[@]}" 2> "$RUN_DIR/case.err"
