# What docs/CALLERS.md promises: whole bodies both ways within bounded memory, outcomes, deadlines, traces.
source "$(dirname "$0")/../common/fault_case.sh"
EXTRA_SETTINGS=$'[trace]\nsample_permille = 0\n'
KEYED_SERVERS=2 OTHER_SERVERS=2 SERVICE_MS=1000
start_deployment || exit 1
ENTRY="http://$(daemon_address 0):7401"
memory_kb() { awk '/VmHWM/ {print $2}' "/proc/${PID[$(daemon_name "$1")]}/status"; }

before=$(memory_kb 0)
head -c 50000000 /dev/zero | tr '\0' 'u' > "$RUN_DIR/upload"
curl -s -T "$RUN_DIR/upload" "$ENTRY/documents/big" | grep -o 'received=[0-9]*'
curl -s -T - "$ENTRY/documents/big" < "$RUN_DIR/upload" | grep -o 'received=[0-9]*'
grown=$(($(memory_kb 0) - before))
[ "$grown" -lt 8192 ] && echo "upload of 50 MB: bounded memory" || echo "upload of 50 MB: grew by $grown KB"
curl -s -H 'X-Request-Tag: tag' "$ENTRY/vacancies/k?size=20000000" | wc -c
curl -s -D - -o /dev/null "$ENTRY/vacancies/k" | tr -d '\r' | grep -i '^balsampost'
curl -s -I "$ENTRY/vacancies/k?size=5000" | tr -d '\r' | grep -iE '^(HTTP|content-length)'
curl -s -o /dev/null -w '%{http_code} %{num_connects}\n' "$ENTRY/homes/a" "$ENTRY/homes/b" | tail -n 1

echo "a caller that leaves cancels its request"
curl -s --max-time 0.5 -X POST "$ENTRY/placements" -H 'X-Request-Tag: left' > /dev/null
sleep 1.5
cat "$RUN_DIR"/placement-desk-*.audit | grep -c ' left ' | sed 's/^/runs: /'

echo "spans of one request"
trace=0af7651916cd43dd8448eb211c80319c
curl -s -o /dev/null -H "traceparent: 00-$trace-b7ad6b7169203331-01" "$ENTRY/vacancies/k"
cli trace "$trace" | grep -o '"name":"[a-z_]*"' | sort

echo "servers are frozen while one runs a request that may not be repeated"
curl -s -D - --max-time 8 -H 'Balsampost-Deadline-Ms: 2500' -X POST "$ENTRY/placements" > "$RUN_DIR/frozen.txt" &
asked=$!
sleep 0.5
for n in 0 1; do kill -STOP "${PID[placement-desk-$n]}"; done
wait "$asked"
tr -d '\r' < "$RUN_DIR/frozen.txt" | grep -iE '^(HTTP|balsampost-outcome)'
