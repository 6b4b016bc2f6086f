#!/usr/bin/env bash
# Four instances of balsampost-entry in a minute of seeded trouble: starts, stops, signals, links, the store and crowds overlap.
: "${BIN:=build/src}"
: "${OCTET:=20}"
: "${SEED:=1}"
ENTRY=${ENTRY:-$BIN/../platform/balsampost-entry}
"$BIN/../platform/site/balsampost-soak" --entry "$ENTRY" --folder "$RUN_DIR/soak" --loopback "127.$OCTET" --seed "$SEED" --seconds 60 2> "$RUN_DIR/case.err"
rc=$?
if [ "$rc" -ne 0 ]; then
    grep -E '^(FAULT|OVERDUE|LOST|TWICE|REFUSED|MIXED|UNASKED|HUNG|DENIED|OWNER) ' "$RUN_DIR/soak/findings.txt" >> "$RUN_DIR/case.err"
    rm -rf "$BIN/../soak_short" && cp -r "$RUN_DIR/soak" "$BIN/../soak_short"
fi
exit "$rc"
