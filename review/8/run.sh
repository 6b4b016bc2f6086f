#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
case=review/8
[ -x target/platform/balsampost-entry ] && [ -x target/review-2/case-8 ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 118 target/review-2/case-8 "$folder" "$case/record.txt"
code=$?
[ $code -le 1 ] && exit $code
exit 2
