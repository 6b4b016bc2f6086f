#!/usr/bin/env bash
# The demonstration: six daemons in three regions with two failure domains each, two services, load for 15 seconds, one
# server and one daemon killed in it. Usage: demo.sh BUILD_DIR
set -u
cd "$(dirname "$0")/../.." || exit 1
export BIN=${1:-build}/src
RUN_DIR=$(mktemp -d)
OCTET=90
SERVICES="vacancy-index placement-desk document-store home-directory"
source testsuite/common/deployment.sh
trap 'stop_deployment; rm -rf "$RUN_DIR"' EXIT
start_deployment || { echo "demo: FAILED to start"; exit 1; }
echo "six daemons and $(server_list | wc -l) backend servers are up; load runs for 15 s"
load --rate 200 --seconds 15 --format json > "$RUN_DIR/verdict.json" 2> "$RUN_DIR/load.err" &
loader=$!
sleep 5
victim=vacancy-index-1
echo "killing backend server $victim"
{ kill -KILL "${PID[$victim]}" && wait "${PID[$victim]}"; } 2> /dev/null
sleep 4
home=$(home_of vacancy-index-2)
echo "killing daemon $home, the home of vacancy-index-2"
{ kill -KILL "${PID[$home]}" && wait "${PID[$home]}"; } 2> /dev/null
wait "$loader"
sound=$?
field() { grep -o "\"$1\":[0-9]*" "$RUN_DIR/verdict.json" | cut -d: -f2; }
line=""
for name in requests answered not_run unknown lost doubled crossed truncated owners_overlap unavailable_ms_max; do
    printf '  %-20s %s\n' "$name" "$(field $name)"
    line="$line $name=$(field $name)"
done
printf '  %-20s %s\n' p50_us "$(field p50_us)" p99_us "$(field p99_us)"
if [ "$sound" -eq 0 ]; then echo "demo: ok$line"; else echo "demo: FAILED$line"; exit 1; fi
