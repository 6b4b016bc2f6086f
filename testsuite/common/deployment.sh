# Functions that start one deployment on loopback and stop exactly what they started. Sourced by the cases, the demo
# and the benches. Settings: USER_SET (mackinlay|exchange), DAEMONS, KEYED_SERVERS, OTHER_SERVERS, BIN, RUN_DIR, OCTET.

: "${BIN:=build/src}"
: "${USER_SET:=mackinlay}"
: "${DAEMONS:=6}"
: "${KEYED_SERVERS:=6}"
: "${OTHER_SERVERS:=3}"
: "${OCTET:=20}"              # Second octet of every address, so that runs do not meet.
: "${SERVICE_MS:=4}"
: "${SERVER_OPTIONS:=}"
: "${SERVICES:=}"             # Space-separated; the first is divided by key.

case "$USER_SET" in
mackinlay) REGIONS=(lothian strathclyde grampian); SLOTS=6; CONNECTIONS=130
    : "${SERVICES:=vacancy-index placement-desk document-store home-directory}" ;;
exchange) REGIONS=(perth southwest goldfields); SLOTS=3; CONNECTIONS=50
    : "${SERVICES:=gallery ledger atelier archive}" ;;
esac
SERVICES=${SERVICES:-}
TOKEN=operator-token-for-tests
PLATFORM="127.$OCTET.0.1:7400"
declare -A PID=()             # Process ids by name: platform, daemon and server names.

program() { echo "$BIN/$(echo "$1" | tr - _)/$1"; }
daemon_name() { echo "entry-$1"; }
daemon_address() { echo "127.$OCTET.$((10 + $1 % 3)).$((10 + $1))"; }
daemon_domain() { echo "${REGIONS[$(($1 % 3))]}-$([ $((($1 / 3) % 2)) = 0 ] && echo a || echo b)"; }
server_address() { echo "127.$OCTET.$((10 + $1 % 3)).$((100 + $1))"; }
entry_options() { for ((i = 0; i < DAEMONS; i++)); do echo "--entry $(daemon_address "$i"):7401"; done; }
admin_options() { for ((i = 0; i < DAEMONS; i++)); do echo "--instance $(daemon_address "$i"):7404"; done; }

# Names and numbers of all servers, one "number name service" a line.
server_list() {
    local number=0 service count
    for service in $SERVICES; do
        count=$OTHER_SERVERS
        [ "$service" = "${SERVICES%% *}" ] && count=$KEYED_SERVERS
        for ((s = 0; s < count; s++)); do
            echo "$number $service-$s $service"
            number=$((number + 1))
        done
    done
}

write_members() {
    local separator="" number name service
    {
        echo '{"version":1,"instances":['
        for ((i = 0; i < DAEMONS; i++)); do
            echo "$separator{\"name\":\"$(daemon_name "$i")\",\"region\":\"${REGIONS[$((i % 3))]}\",\"failure_domain\":\"$(daemon_domain "$i")\",\"address\":\"$(daemon_address "$i"):7402\"}"
            separator=,
        done
        echo '],"servers":['
        separator=""
        while read -r number name service; do
            echo "$separator{\"name\":\"$name\",\"service\":\"$service\",\"region\":\"${REGIONS[$((number % 3))]}\",\"failure_domain\":\"$(daemon_domain "$number")\",\"address\":\"$(server_address "$number"):7500\"}"
            separator=,
        done < <(server_list)
        echo ']}'
    } > "$RUN_DIR/members.json"
}

write_settings() { # INDEX
    cat > "$RUN_DIR/$(daemon_name "$1").ini" <<EOF
[instance]
name = $(daemon_name "$1")
region = ${REGIONS[$(($1 % 3))]}
failure_domain = $(daemon_domain "$1")
cluster = test
[listen]
callers = $(daemon_address "$1"):7401
peer = $(daemon_address "$1"):7402
data = $(daemon_address "$1"):7403
admin = $(daemon_address "$1"):7404
[platform]
addresses = $PLATFORM
[security]
keys = k1:a-shared-secret-for-tests
operator_token = $TOKEN
${EXTRA_SETTINGS:-}
EOF
}

start_platform() {
    "$(program balsampost-platform)" --listen "$PLATFORM" --members "$RUN_DIR/members.json" \
        >> "$RUN_DIR/platform.log" 2>&1 &
    PID[platform]=$!
}

start_daemon() { # INDEX
    write_settings "$1"
    "$(program balsampostd)" --config "$RUN_DIR/$(daemon_name "$1").ini" >> "$RUN_DIR/$(daemon_name "$1").log" 2>&1 &
    PID[$(daemon_name "$1")]=$!
}

start_server() { # NUMBER NAME
    # shellcheck disable=SC2086
    "$(program balsampost-server)" --name "$2" --listen "$(server_address "$1"):7500" --audit "$RUN_DIR/$2.audit" \
        --slots "$SLOTS" --connections "$CONNECTIONS" --service-ms "$SERVICE_MS" $SERVER_OPTIONS \
        >> "$RUN_DIR/$2.log" 2>&1 &
    PID[$2]=$!
}

start_deployment() {
    mkdir -p "$RUN_DIR"
    find "$RUN_DIR" -type f ! -name case.err -delete
    write_members
    start_platform
    local number name service
    while read -r number name service; do start_server "$number" "$name"; done < <(server_list)
    for ((i = 0; i < DAEMONS; i++)); do start_daemon "$i"; done
    wait_until "the platform answers" platform_answers
    cli apply "${OBJECTS:-examples/$USER_SET}" > "$RUN_DIR/apply.txt"
    wait_until "every slice has an owner everywhere" all_owned
}

platform_answers() { (exec 3<> "/dev/tcp/${PLATFORM%:*}/${PLATFORM#*:}") 2> /dev/null; }

# shellcheck disable=SC2046
cli() { "$(program balsampost)" --platform "$PLATFORM" $(admin_options) --token "$TOKEN" "$@"; }

status_of() { # INDEX
    "$(program balsampost)" --instance "$(daemon_address "$1"):7404" status 2> /dev/null
}

# Every live daemon sees all servers with a home, and every slice of the keyed service owned.
all_owned() {
    local i owned
    for ((i = 0; i < DAEMONS; i++)); do
        kill -0 "${PID[$(daemon_name "$i")]}" 2> /dev/null || continue
        owned=$("$(program balsampost)" --instance "$(daemon_address "$i"):7404" owners "${SERVICES%% *}" 2> /dev/null |
            awk '{n += $NF} END {print n + 0}')
        [ "$owned" = "${SLICES:-256}" ] || return 1
        "$(program balsampost)" --instance "$(daemon_address "$i"):7404" owners 2> /dev/null |
            grep -q 'home  slices' && return 1
    done
    return 0
}

wait_until() { # WHAT COMMAND... ; bounded by 60 s
    local what=$1 tries=0
    shift
    until "$@"; do
        tries=$((tries + 1))
        if [ "$tries" -gt 600 ]; then
            echo "timed out: $what" >&2
            return 1
        fi
        sleep 0.1
    done
}

# shellcheck disable=SC2046
load() { "$(program balsampost-load)" --user "$USER_SET" $(entry_options) --audits "$RUN_DIR" "$@"; }

faults() { # JSON
    curl -s -X POST --data "$1" "http://$PLATFORM/faults" > /dev/null
}

# The name of the daemon that holds the first cell, and that is home of SERVER.
holder_of() { cli status | awk -v c="$1/0" '$1 == "cell" && $2 == c {print $4}'; }
standby_of() { cli status | awk -v c="$1/0" '$1 == "cell" && $2 == c {print $6}'; }
home_of() { cli owners | awk -v s="$1" '$2 == s {print $4}'; }

stop_deployment() {
    local name
    for name in "${!PID[@]}"; do
        kill -CONT "${PID[$name]}" 2> /dev/null
        kill -KILL "${PID[$name]}" 2> /dev/null
    done
    for name in "${!PID[@]}"; do
        wait "${PID[$name]}" 2> /dev/null
    done
    PID=()
}
