# Uploads at several times the regional budget: what crosses stays within it, and control is unharmed.
source "$(dirname "$0")/../common/fault_case.sh"
KEYED_SERVERS=3 OTHER_SERVERS=3
OBJECTS=$(mktemp -d)
trap 'stop_deployment; rm -rf "$OBJECTS"' EXIT
cp examples/mackinlay/*.ini "$OBJECTS"
sed -i 's/^megabits_per_second = 4000/megabits_per_second = 16/' "$OBJECTS/regions.ini"
# Keyed reads have no choice of region: every key's owner serves all entries.
sed -i '/^\[profile mackinlay\]/a churn_per_minute = 1' "$OBJECTS/services.ini"
start_deployment || exit 1
crossed() {
    local i n=0 v
    for ((i = 0; i < DAEMONS; i++)); do
        v=$(curl -s "http://$(daemon_address "$i"):7404/metrics" | awk '/^balsampost_region_bytes/ {printf "%d", $2}')
        n=$((n + ${v:-0}))
    done
    echo "$n"
}
before=$(crossed)
began=$(date +%s%N)
# 100 reads a second of 200,000 bytes, two thirds of them across a link: 13 MB/s where reads have 3 MB/s over three pairs.
asked=()
for ((i = 0; i < 500; i++)); do
    timeout 5 curl -s -o /dev/null --max-time 3 "http://$(daemon_address $((i % DAEMONS))):7401/vacancies/k$i?size=200000" &
    asked+=($!)
    sleep 0.01
done
wait "${asked[@]}"
bytes=$(($(crossed) - before))
milliseconds=$((($(date +%s%N) - began) / 1000000))
# Reads have half of 2 MB/s each way over each of three pairs; a burst and the last message of each bucket come on top.
bound=$((6000 * milliseconds + 600000 + 36 * 200000))
[ "$bytes" -gt 2000000 ] && echo "bytes crossed"
[ "$bytes" -le "$bound" ] && echo "within the budget" || echo "crossed $bytes bytes in $milliseconds ms, bound $bound"
all_owned && echo "owners stayed"
cli status | grep -c 'pending' | sed 's/^/pending: /'
