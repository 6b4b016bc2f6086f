#!/usr/bin/env bash
# One run of one fault; prints its figures in a line. Settings: USER_SET, FAULT, SEED, RUN_DIR, OCTET, BIN.
cd "$(dirname "$0")/.." || exit 1
source testsuite/common/deployment.sh
trap stop_deployment EXIT
start_deployment > /dev/null || exit 1
KEYED=${SERVICES%% *}
VICTIM=$KEYED-1
moves_total() {
    local i n=0 v
    for ((i = 0; i < DAEMONS; i++)); do
        v=$(curl -s --max-time 1 "http://$(daemon_address "$i"):7404/metrics" | awk '/^balsampost_ownership_moves/ {print $2}')
        v=${v%.*}
        n=$((n + ${v:-0}))
    done 2> /dev/null
    echo "$n"
}
load --rate 300 --seconds 6 --seed "$SEED" --keys 200 --format json > "$RUN_DIR/verdict.json" &
loader=$!
sleep 2
case $FAULT in
server_killed) kill -KILL "${PID[$VICTIM]}" ;;
home_killed) kill -KILL "${PID[$(home_of "$VICTIM")]}" ;;
coordinator_killed) kill -KILL "${PID[$(holder_of "$KEYED")]}" ;;
server_and_home_killed) kill -KILL "${PID[$(home_of "$VICTIM")]}" "${PID[$VICTIM]}" ;;
store_out_server_killed) faults '{"down":true}'; sleep 0.3; kill -KILL "${PID[$VICTIM]}"; sleep 2; faults '{"down":false}' ;;
server_drained) cli drain "$VICTIM" > /dev/null ;;
instance_drained) kill -TERM "${PID[$(holder_of "$KEYED")]}" ;;
esac
wait "$loader"
sleep 0.3
field() { grep -o "\"$1\":[0-9]*" "$RUN_DIR/verdict.json" | cut -d: -f2; }
echo "$(field unavailable_ms_max) $(field not_run) $(field unknown) $(field lost) $(field doubled) $(field owners_overlap) $(moves_total)"
