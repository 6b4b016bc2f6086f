#!/usr/bin/env bash
# Turns bench/capacity.txt into the table of docs/CAPACITY.md. "check" compares, "write" replaces.
set -u
cd "$(dirname "$0")/.." || exit 1
PAGE=docs/CAPACITY.md
table() {
    echo "| slope | per unit | base | unit | worst residual | measured up to |"
    echo "|---|---|---|---|---|---|"
    awk '$1 == "slope" {printf "| `%s` | %s | %s | %s | %.1f %% of the largest | %s |\n", $2, $3, $4, $6, $5 * 100, $7}' bench/capacity.txt
    echo
    echo "| instances, quiet | cpu mean, permille of a core | cpu max | control bytes/s mean | control bytes/s max | memory max, KB | store reads/s, all | store writes/s, all |"
    echo "|---|---|---|---|---|---|---|---|"
    awk '$1 == "quiet" {printf "| %s | %s | %s | %s | %s | %s | %s | %s |\n", $2, $3, $4, $5, $6, $7, $8, $9}' bench/capacity.txt
}
page() {
    awk -v table="$(table)" '
        /<!-- measured -->/ {print; print table; inside = 1; next}
        /<!-- end -->/ {inside = 0}
        !inside {print}' "$PAGE"
}
case ${1:-check} in
check) page | diff -u "$PAGE" - > /dev/null && echo "the page agrees with the measurements" ;;
write) page > "$PAGE.new" && mv "$PAGE.new" "$PAGE" ;;
esac
