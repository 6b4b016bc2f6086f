#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md into bench/capacity.txt and renews the page's table. The quiet deployments
# are real daemons on loopback; the rest are core states. Usage: bench/capacity.sh BUILD_DIR
set -u
cd "$(dirname "$0")/.." || exit 1
export BIN=${1:-build}/src
OUT=bench/capacity.txt
QUIET_SECONDS=6

quiet() { # DAEMONS OCTET: "instances cpu_permille_mean cpu_permille_max bytes_mean bytes_max rss_kb_max store_reads store_writes"
    (
        DAEMONS=$1 OCTET=$2 RUN_DIR=$(mktemp -d)
        source testsuite/common/deployment.sh
        trap 'stop_deployment; rm -rf "$RUN_DIR"' EXIT
        start_deployment > /dev/null 2>&1 || exit 1
        sleep 3
        # Processor ticks (10 ms) and control bytes of each daemon.
        sample() {
            local i
            for ((i = 0; i < DAEMONS; i++)); do
                echo "$(awk '{print $14 + $15}' "/proc/${PID[$(daemon_name "$i")]}/stat") $(curl -s "http://$(daemon_address "$i"):7404/metrics" | awk '/^balsampost_control_bytes/ {n += $2} END {print n}')"
            done
        }
        calls() { curl -s "http://$PLATFORM/calls"; }
        sample > "$RUN_DIR/a"; calls > "$RUN_DIR/ca"
        sleep "$QUIET_SECONDS"
        sample > "$RUN_DIR/b"; calls > "$RUN_DIR/cb"
        rss=$(for ((i = 0; i < DAEMONS; i++)); do awk '/VmRSS/ {print $2}' "/proc/${PID[$(daemon_name "$i")]}/status"; done | sort -n | tail -1)
        paste -d' ' "$RUN_DIR/a" "$RUN_DIR/b" | awk -v n="$1" -v s="$QUIET_SECONDS" -v rss="$rss" \
            -v calls="$(paste -d' ' "$RUN_DIR/ca" "$RUN_DIR/cb")" '
            {c = ($3 - $1) * 10 / s; b = ($4 - $2) / s; ct += c; bt += b; if (c > cm) cm = c; if (b > bm) bm = b}
            END {split(calls, k, " "); printf "%d %.1f %.1f %.0f %.0f %d %.1f %.1f\n", n, ct / NR, cm, bt / NR, bm, rss, (k[6] - k[2]) / s, (k[8] - k[4]) / s}'
    )
}

{
    echo "# commit before $(git rev-parse --short HEAD), $(nproc) cores; core_bench, then quiet deployments of ${QUIET_SECONDS} s"
    "${1:-build}"/bench/core_bench
    echo "# quiet INSTANCES CPU_PERMILLE_MEAN CPU_PERMILLE_MAX CONTROL_BYTES_MEAN CONTROL_BYTES_MAX RSS_KB_MAX STORE_READS STORE_WRITES"
    octet=60
    for daemons in 3 6 12 24 48; do
        octet=$((octet + 1))
        echo "quiet $(quiet "$daemons" "$octet")"
    done
} > "$OUT.new" && mv "$OUT.new" "$OUT"
bash bench/capacity_table.sh write
