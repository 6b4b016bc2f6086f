# Instances of balsampost-entry are frozen, get SIGTERM while they are, and run on. Guards against requests that are taken after the freeze
# and cut by SIGKILL, whose time counts from SIGTERM. Sent are requests of long and short work, on kept and pipelined connections, from 3 s
# after the freeze until the end of the grace time.
source "$(dirname "$0")/../common/stop_case.sh"
stop_one 1 6000 --freeze 4000 --signal-before-end 1500 &
stop_one 2 10000 --freeze 4000 --signal-before-end 3000 &
wait
cat "$RUN_DIR"/judged-?
cat "$RUN_DIR"/counts-? > "$RUN_DIR/case.err"
