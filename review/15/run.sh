#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
rig=target/review-3/review-3-rig
[ -x "$rig" ] && [ -x target/platform/balsampost-entry ] || exit 2
exec timeout --kill-after=5 110 "$rig" manifest-after-restore "${TROUBLE:-1}" review/15/record.txt "$PWD/target/platform/balsampost-entry"
