# Starts of balsampost-entry beside others: while the predecessor still drains on the same addresses, with the metrics port taken by
# another program, and with signals right after the start and before it serves. No store: the listeners and the log are looked at.
: "${BIN:=build/src}"
: "${OCTET:=20}"
ENTRY=${ENTRY:-$BIN/../platform/balsampost-entry}
pids=()
stop_all() { kill "${pids[@]}" 2> /dev/null; wait "${pids[@]}" 2> /dev/null; }
trap stop_all EXIT

settings() { # NAME ADDRESS METRICS
    cat > "$RUN_DIR/$1.ini" << SETTINGS
[instance]
name = $1
region = r
failure_domain = a
address = $2
[listen]
callers = $2:7401
readiness = $2:7402
peers = $2:7403
metrics = $3
[store]
address = 127.$OCTET.8.1:7400
[regions]
a = r
[platform bounds]
grace=4s
SETTINGS
}
start() { # NAME LOG
    "$ENTRY" --config "$RUN_DIR/$1.ini" > "$RUN_DIR/$2.log" 2>&1 &
    pid=$!
    pids+=("$pid")
}
connects() { (exec 3<> "/dev/tcp/$1/$2") 2> /dev/null; }
within() { # SECONDS COMMAND...
    local tries=$(($1 * 50))
    shift
    while ! "$@"; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || return 1
        sleep 0.02
    done
}
logged() { grep -q "\"name\":\"$2\"" "$RUN_DIR/$1.log"; }
status_of() { # PID
    wait "$1"
    status=$?
}
yes_if() { if "$@"; then echo yes; else echo no; fi; }

address=127.$OCTET.8.11
settings overlap "$address" "$address:7404"
start overlap predecessor
predecessor=$pid
within 10 connects "$address" 7401
kill "$predecessor"
start overlap successor
successor=$pid
within 10 logged successor listen_retried
echo "the predecessor drains when the successor starts: $(yes_if kill -0 "$predecessor")"
status_of "$predecessor"
echo "the predecessor's status: $status"
echo "the successor serves: $(yes_if within 10 logged successor started)"
echo "the successor's callers connect: $(yes_if within 10 connects "$address" 7401)"
echo "lines about its readiness address: $(grep -c '"name":"listen_retried","listener":"readiness"' "$RUN_DIR/successor.log")"
kill "$successor"

settings holder "127.$OCTET.8.12" "127.$OCTET.8.12:7404"
settings metrics "127.$OCTET.8.13" "127.$OCTET.8.12:7401"
start holder holder
holder=$pid
within 10 logged holder started
start metrics metrics
echo "with the metrics port taken it serves: $(yes_if within 10 logged metrics started)"
echo "lines about the metrics port: $(within 10 logged metrics listen_retried; grep -c listen_retried "$RUN_DIR/metrics.log")"
kill "$holder"
status_of "$holder"
echo "metrics once the port is free: $(yes_if within 10 connects "127.$OCTET.8.12" 7401)"
kill "$pid"

# The entry is at the first read of its settings, a pipe, when the signal comes.
settings signals "127.$OCTET.8.14" "127.$OCTET.8.14:7404"
mkfifo "$RUN_DIR/pipe.ini"
start_with_signal() { # SIGNAL LOG
    start pipe "$2"
    exec 4> "$RUN_DIR/pipe.ini"
    kill -"$1" "$pid"
    cat "$RUN_DIR/signals.ini" >&4 2> /dev/null
    exec 4>&-
}
start_with_signal HUP hup
echo "it serves after a SIGHUP before its settings: $(yes_if within 10 logged hup started)"
kill "$pid"
status_of "$pid"
start_with_signal TERM term
status_of "$pid"
echo "SIGTERM before its settings: status $status, events $(grep -c '"name":"stop' "$RUN_DIR/term.log")"

settings waiting "127.$OCTET.8.11" "127.$OCTET.8.15:7404"
status_of "$successor"
start waiting before
holder=$pid
within 10 logged before started
start waiting waiting
within 10 logged waiting listen_retried
kill -HUP "$pid"
kill "$pid"
status_of "$pid"
echo "SIGTERM before it serves: status $status, events $(grep -c '"name":"stop' "$RUN_DIR/waiting.log")"
kill "$holder"
