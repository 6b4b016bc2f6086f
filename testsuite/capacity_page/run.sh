# The table of docs/CAPACITY.md is the one that bench/capacity.txt gives.
cd "$(dirname "$0")/../.." || exit 1
bash bench/capacity_table.sh check
