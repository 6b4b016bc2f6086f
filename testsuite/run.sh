#!/usr/bin/env bash
# Runs the unit test programs and every end-to-end case, several cases at a time, and closes with the counts. A case
# passes if the output of its run.sh equals its expected.txt. A case whose folder has a file named `alone` runs after the
# others, one at a time. Usage: testsuite/run.sh BUILD_DIR [CASE...]
set -u
cd "$(dirname "$0")/.." || exit 1
BUILD=${1:?usage: testsuite/run.sh BUILD_DIR [CASE...]}
shift
export BIN=$BUILD/src
RESULTS=$(mktemp -d)
PARALLEL=4
CASE_SECONDS=180 # A hung case fails; none comes near this.
passed=0
failed=0

# RapidCheck draws from a fixed seed, so that a run is the same every time.
export RC_PARAMS="seed=20261204"
if [ $# -eq 0 ]; then
    for program in "$BUILD"/src/libbalsampost_*/*_test "$BUILD"/src/balsampostd/daemon_test "$BUILD"/platform/adapter_test; do
        [ -x "$program" ] || continue
        "$program" > "$RESULTS/unit.txt" 2>&1
        counts=$(grep '^unit: ' "$RESULTS/unit.txt" | tail -n 1)
        p=$(echo "$counts" | sed -n 's/unit: \([0-9]*\) passed.*/\1/p')
        f=$(echo "$counts" | sed -n 's/.* \([0-9]*\) failed/\1/p')
        passed=$((passed + ${p:-0}))
        failed=$((failed + ${f:-1}))
        echo "$(basename "$program"): ${p:-0} passed, ${f:-crashed} failed"
        [ "${f:-1}" = 0 ] || cat "$RESULTS/unit.txt"
    done
fi

run_case() { # CASE NUMBER
    RUN_DIR=$RESULTS/$1 OCTET=$((30 + $2)) timeout "$CASE_SECONDS" bash "testsuite/$1/run.sh" > "$RESULTS/$1.out" 2> "$RESULTS/$1.err"
    if diff -u "testsuite/$1/expected.txt" "$RESULTS/$1.out" > "$RESULTS/$1.diff"; then
        echo passed > "$RESULTS/$1.result"
    else
        echo failed > "$RESULTS/$1.result"
    fi
}

cases=("$@")
[ $# -gt 0 ] || for script in testsuite/*/run.sh; do cases+=("$(basename "$(dirname "$script")")"); done
number=0
for name in "${cases[@]}"; do
    mkdir -p "$RESULTS/$name"
    [ ! -e "testsuite/$name/alone" ] || continue
    run_case "$name" "$number" &
    number=$((number + 1))
    while [ "$(jobs -rp | wc -l)" -ge "$PARALLEL" ]; do wait -n; done
done
wait
for name in "${cases[@]}"; do
    [ -e "testsuite/$name/alone" ] || continue
    run_case "$name" "$number"
    number=$((number + 1))
done
for name in "${cases[@]}"; do
    result=$(cat "$RESULTS/$name.result")
    known=$(grep -c "^case $name:" KNOWN-RED.txt)
    if [ "$result" = passed ]; then
        passed=$((passed + 1))
        echo "case $name: passed"
    elif [ "$known" -gt 0 ]; then
        echo "case $name: FAILED, as KNOWN-RED.txt says"
        cat "$RESULTS/$name.diff"
    else
        failed=$((failed + 1))
        echo "case $name: FAILED"
        cat "$RESULTS/$name.diff" "$RESULTS/$name/case.err" "$RESULTS/$name.err" 2> /dev/null | tail -n 60
    fi
done
rm -rf "$RESULTS"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
