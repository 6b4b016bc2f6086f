# Three instances of balsampost-entry, one of whose failure domains is evacuated: the store is away right after the request, and the
# servers count what arrives after the bound. The store comes back, and the evacuation is withdrawn.
: "${BIN:=build/src}"
: "${OCTET:=21}"
: "${SEED:=1}"
ENTRY=${ENTRY:-$BIN/../platform/balsampost-entry}
STORE="127.$OCTET.8.1:7400"
domains=(- a b c)
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
failure_domain = ${domains[n]}
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
b = r
c = r
[platform bounds]
drain=2000ms
grace=6s
evacuation=5s
SETTINGS
    "$ENTRY" --config "$RUN_DIR/entry-$n.ini" > "$RUN_DIR/entry-$n.log" 2>&1 &
    pids+=($!)
done
"$BIN/../platform/site/balsampost-evacuation-run" --store "$STORE" --servers "127.$OCTET.9" --seed "$SEED" "${fronts[@]}" 2> "$RUN_DIR/case.err"
