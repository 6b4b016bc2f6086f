# Publication of objects: two operators race, an answer is lost, the store is out, an instance was away, all restart.
source "$(dirname "$0")/../common/fault_case.sh"
OTHER_SERVERS=1 KEYED_SERVERS=2
start_deployment || exit 1
versions() { for ((i = 0; i < DAEMONS; i++)); do status_of "$i" | awk 'NR == 1 {print $4}'; done | sort -u | tr '\n' ' '; }
in_force() { [ "$(versions)" = "$1 " ]; }
changed() { # DEADLINE_MS: a copy of the objects with another deadline
    rm -rf "$RUN_DIR/objects"
    mkdir "$RUN_DIR/objects"
    cp "examples/$USER_SET"/*.ini "$RUN_DIR/objects"
    sed -i "s/^deadline_ms = 60000/deadline_ms = $1/" "$RUN_DIR/objects/routes.ini"
}

changed 50001
cli --wait 12000 apply "$RUN_DIR/objects"
echo "two operators who both saw version 2"
cli apply "$RUN_DIR/objects" 2
cli apply "$RUN_DIR/objects" 2 2>&1 | sed 's/(.*)/(somebody)/'
wait_until "version 3" in_force 3 && echo "in force everywhere: $(versions)"

echo "the answer is lost after the effect"
faults '{"lose_write_answers":1,"lose_only":"config/current"}'
changed 50002
cli --wait 12000 apply "$RUN_DIR/objects"

echo "the store is out"
faults '{"down":true}'
cli apply "$RUN_DIR/objects" > "$RUN_DIR/out.txt" 2>&1
echo "exit $?: $(grep -c 'cannot read the published objects' "$RUN_DIR/out.txt")"
echo "in force everywhere: $(versions)"
faults '{"down":false}'

echo "an instance was away"
kill -STOP "${PID[$(daemon_name 4)]}"
changed 50003
cli apply "$RUN_DIR/objects"
sleep 1
kill -CONT "${PID[$(daemon_name 4)]}"
wait_until "version 5" in_force 5 && echo "in force everywhere: $(versions)"

echo "all instances restart while the store is out: none serves without its objects"
faults '{"down":true}'
for ((i = 0; i < DAEMONS; i++)); do kill -KILL "${PID[$(daemon_name "$i")]}"; done
sleep 0.3
for ((i = 0; i < DAEMONS; i++)); do start_daemon "$i"; done
sleep 1.5
for ((i = 0; i < DAEMONS; i++)); do
    curl -s -o /dev/null "http://$(daemon_address "$i"):7401/homes/a"
    echo "callers refused: $?"
done | sort -u
faults '{"down":false}'
wait_until "version 5" in_force 5 && echo "in force everywhere: $(versions)"
wait_until "owners are back" all_owned && echo "recovered"
