# One instance of balsampost-entry with 256 descriptors and 400 idle connections on each of its three listeners: callers and the
# probe of readiness must get answers, and the process must not use its core for nothing.
: "${BIN:=build/src}"
: "${OCTET:=20}"
ENTRY=${ENTRY:-$BIN/../platform/balsampost-entry}
STORE="127.$OCTET.8.1:7400"
ADDRESS="127.$OCTET.8.11"
FLOOD=400
pids=()
stop_all() { kill "${pids[@]}" 2> /dev/null; wait "${pids[@]}" 2> /dev/null; }
trap stop_all EXIT
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
descriptors = 4100
[regions]
a = r
[platform bounds]
drain=2000ms
grace=6s
SETTINGS
(ulimit -n 256 && exec "$ENTRY" --config "$RUN_DIR/entry.ini") > "$RUN_DIR/entry.log" 2>&1 &
entry=$!
pids+=("$entry")

cpu_ticks() { awk '{print $14 + $15}' "/proc/$entry/stat"; }
status_of() { # PORT PATH: the status of the answer on a new connection, or "none" after 2 s
    timeout 2 bash -c "exec 3<>/dev/tcp/$ADDRESS/$1 && printf 'GET $2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n' >&3 && head -n 1 <&3" 2> /dev/null |
        awk 'NR == 1 {print $2} END {if (NR == 0) print "none"}'
}
for _ in $(seq 100); do
    [ "$(status_of 7402 /)" = none ] || break
    sleep 0.1
done
ulimit -S -n "$(ulimit -H -n)"
for port in 7401 7402 7404; do
    for _ in $(seq $FLOOD); do
        exec {fd}<> "/dev/tcp/$ADDRESS/$port"
    done
done
before=$(cpu_ticks)
sleep 5
used=$(($(cpu_ticks) - before))
echo "ticks of CPU time in 5 s among idle connections: $used" >&2
echo "CPU time among idle connections: $([ "$used" -lt $(($(getconf CLK_TCK) * 5 / 4)) ] && echo "less than a quarter" || echo "too much")"
for where in "7402 /" "7404 /metrics" "7401 /plain/x"; do
    start=$(date +%s%N)
    status=$(status_of $where)
    echo "$where: $status after $((($(date +%s%N) - start) / 1000000)) ms" >&2
    echo "${where% *}: $([ "$status" = none ] && echo "no answer" || echo "an answer")"
done
"$BIN/../platform/site/balsampost-site" --store "$STORE" --servers "127.$OCTET.9" --front "$ADDRESS:7401" 2> "$RUN_DIR/case.err" |
    grep -e 'instances that serve' -e 'answers of another' -e 'served at the end'
ls "/proc/$entry/fd" | wc -l >&2
echo "the bounds are logged: $(grep -c '"limits_in_force"' "$RUN_DIR/entry.log")"
