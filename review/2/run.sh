#!/usr/bin/env bash
# 1: a rule was broken, 0: they held, 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
# Runs two variants of the entry, one after the other: LOST, then DRAIN. VARIANT=NAME runs that one alone.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform/balsampost-entry ] && [ -x target/review/case2 ] || exit 2
record=review/2/record.txt
: > $record
result=0
for variant in ${VARIANT:-nested surrogate}; do
    VARIANT=$variant timeout 55 target/review/case2 $record.part
    ended=$?
    { echo "VARIANT=$variant"; cat $record.part; } >> $record
    rm -f $record.part
    case $ended in
        0) ;;
        1) result=1 ;;
        *) exit 2 ;;
    esac
done
exit $result
