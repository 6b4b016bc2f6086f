#!/usr/bin/env bash
# Goodput under overload, and the cost of the way through the system against a direct call. Prints Markdown.
cd "$(dirname "$0")/.." || exit 1
RUN_DIR=$(mktemp -d)
OCTET=99 DAEMONS=2 KEYED_SERVERS=2 OTHER_SERVERS=1 SERVICE_MS=10
source testsuite/common/deployment.sh
trap 'stop_deployment; rm -rf "$RUN_DIR"' EXIT
start_deployment > /dev/null || exit 1
echo
echo "## Overload"
echo
echo "2 daemons, 2 keyed servers of 6 slots and 10 ms a request: a capacity of 1,200 requests/s; keyed requests only, keys"
echo "uniform, a deadline of 500 ms, 8 s a row. Goodput: answered requests a second."
echo
echo "| offered | goodput/s | p50 ms | p99 ms | not run | unknown | lost, doubled |"
echo "|---|---|---|---|---|---|---|"
seed=0
for factor in 0.5 1 2 4; do
    seed=$((seed + 1)) # Tags hold the seed; the audits of all rows are read together.
    rate=$(awk -v f="$factor" 'BEGIN {print 1200 * f}')
    load --rate "$rate" --seconds 8 --keyed-only --zipf 0 --deadline-ms 500 --seed "$seed" --format json > "$RUN_DIR/v.json" 2> /dev/null
    field() { grep -o "\"$1\":[0-9]*" "$RUN_DIR/v.json" | cut -d: -f2; }
    # Keyed requests are 75 of 100 drawn.
    echo "| ${factor}x drawn at $rate/s, keyed $(($(field requests) / 8))/s | $(($(field answered) / 8)) | $(($(field p50_us) / 1000)) | $(($(field p99_us) / 1000)) | $(field not_run) | $(field unknown) | $(($(field lost) + $(field doubled))) |"
done
