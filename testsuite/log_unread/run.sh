# One instance of balsampost-entry whose log goes to a pipe that nobody reads: it must answer, and end by itself within its grace.
: "${BIN:=build/src}"
: "${OCTET:=20}"
ENTRY=${ENTRY:-$BIN/../platform/balsampost-entry}
ADDRESS="127.$OCTET.8.11"
CONNECTIONS=25
REQUESTS=16 # On each; their lines, of 300 bytes, are more than the 64 KiB of a pipe.
entry=
trap '[ -z "$entry" ] || kill -9 "$entry" 2> /dev/null' EXIT
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
address = 127.$OCTET.8.1:7400
[regions]
a = r
[platform bounds]
drain=2000ms
grace=6s
SETTINGS
mkfifo "$RUN_DIR/log"
exec 9<> "$RUN_DIR/log"
"$ENTRY" --config "$RUN_DIR/entry.ini" > "$RUN_DIR/log" 2> "$RUN_DIR/case.err" &
entry=$!

readiness() { # The status, or nothing
    timeout 2 bash -c "exec 3<>/dev/tcp/$ADDRESS/7402 && printf 'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n' >&3 && head -n 1 <&3" 2> /dev/null |
        awk '{print $2}'
}
for _ in $(seq 100); do
    [ -z "$(readiness)" ] || break
    sleep 0.1
done
callers=()
for _ in $(seq $CONNECTIONS); do
    (
        exec 3<> "/dev/tcp/$ADDRESS/7401"
        for _ in $(seq $REQUESTS); do
            printf 'GET / HTTP/1.1\r\nHost: h\r\n\r\n' >&3
        done
        timeout 2 grep -c -m "$REQUESTS" '^HTTP/1.1 503' <&3
    ) > "$RUN_DIR/answers.$((${#callers[@]}))" &
    callers+=($!)
done
wait "${callers[@]}"
echo "requests answered: $(cat "$RUN_DIR"/answers.* | awk '{n += $1} END {print n}')"
echo "readiness: $(readiness)"
kill -TERM "$entry"
for _ in $(seq 60); do
    kill -0 "$entry" 2> /dev/null || break
    sleep 0.1
done
if kill -0 "$entry" 2> /dev/null; then
    echo "still there at the end of the grace"
else
    wait "$entry"
    echo "ended by itself: $?"
fi
