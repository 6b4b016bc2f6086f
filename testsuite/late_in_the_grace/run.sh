# Four instances of balsampost-entry with different grace times are stopped while callers send requests of long work on new, kept and
# pipelined connections until the end. Judged from the callers' and the servers' side.
source "$(dirname "$0")/../common/stop_case.sh"
number=1
for grace in 3000 4000 6000 10000; do
    stop_one "$number" "$grace" &
    number=$((number + 1))
done
wait
cat "$RUN_DIR"/judged-?
cat "$RUN_DIR"/counts-? > "$RUN_DIR/case.err"
