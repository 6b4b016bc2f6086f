#!/usr/bin/env bash
# Measures faults and throughput on the real programs and writes bench/RESULTS.md. Usage: bench/run.sh BUILD_DIR
set -u
cd "$(dirname "$0")/.." || exit 1
export BIN=${1:-build}/src
RUNS=${RUNS:-5}
RUN_ROOT=$(mktemp -d)
trap 'rm -rf "$RUN_ROOT"' EXIT
OUT=bench/RESULTS.md

fault_run() { # USER FAULT SEED OCTET: prints "unavailable_ms not_run unknown lost doubled overlap moves"
    USER_SET=$1 RUN_DIR=$RUN_ROOT/$1-$2-$3 OCTET=$4 SEED=$3 FAULT=$2 bash bench/fault_run.sh 2> /dev/null
}
median() { sort -n | awk '{v[NR] = $1} END {print v[int((NR + 1) / 2)]}'; }

{
    echo "# Results"
    echo
    echo "Machine: $(nproc) cores, $(awk '/MemTotal/ {printf "%d", $2 / 1048576}' /proc/meminfo) GiB; all processes on loopback, no added latency."
    echo "Command: \`make bench\` (\`RUNS=$RUNS\`); date $(date -u +%F); commit before: $(git rev-parse --short HEAD)."
    echo
    echo "## Faults"
    echo
    echo "6 daemons, 6 keyed servers and 3 of each other service, 300 requests/s for 6 s, 200 keys (Zipf 0.9), seeds 1..$RUNS."
    echo "Unavailable: longest time from a request for a key to an answer for that key, in the whole run. The bound is 1000 ms."
    echo "Ownership moves: slices whose owner changed from the fault to the end (of 256; the victim owned 42 or 43)."
    echo
    echo "| user | fault | unavailable ms, median (min..max) | not run | unknown | lost, doubled, overlaps | moves, median |"
    echo "|---|---|---|---|---|---|---|"
    octet=100
    for user in mackinlay exchange; do
        for fault in none server_killed home_killed coordinator_killed server_and_home_killed store_out_server_killed server_drained instance_drained; do
            rm -f "$RUN_ROOT/rows"
            for ((seed = 1; seed <= RUNS; seed++)); do
                octet=$((100 + (octet - 99) % 100))
                fault_run "$user" "$fault" "$seed" "$octet" >> "$RUN_ROOT/rows" &
                [ $((seed % 5)) = 0 ] && wait
            done
            wait
            printf '| %s | %s | %s (%s..%s) | %s | %s | %s | %s |\n' "$user" "$fault" \
                "$(awk '{print $1}' "$RUN_ROOT/rows" | median)" "$(awk '{print $1}' "$RUN_ROOT/rows" | sort -n | head -1)" \
                "$(awk '{print $1}' "$RUN_ROOT/rows" | sort -n | tail -1)" "$(awk '{s += $2} END {print s}' "$RUN_ROOT/rows")" \
                "$(awk '{s += $3} END {print s}' "$RUN_ROOT/rows")" "$(awk '{s += $4 + $5 + $6} END {print s}' "$RUN_ROOT/rows")" \
                "$(awk '{print $7}' "$RUN_ROOT/rows" | median)"
        done
    done
    OCTET=99 bash bench/overload.sh
} > "$OUT.new" && mv "$OUT.new" "$OUT"
