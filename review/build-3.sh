#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/rig-3/*.cpp -o target/review-3/review-3-rig
