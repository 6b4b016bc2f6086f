#!/bin/bash
# Builds the programs that the scripts of the second review start: one stand-in a case.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    case=review/$number/case.cpp
    [ ! -f "$case" ] ||
        g++ -std=c++20 -O1 -Wall -Wextra -Ireview/rig-2 "$case" -o "target/review-2/case-$number" -lpthread
done
