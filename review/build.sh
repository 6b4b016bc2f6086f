#!/usr/bin/env bash
# Builds the cases' programs, with the stand-ins in them, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread -c review/common/stand_ins.cpp -o target/review/stand_ins.o
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread "$source" target/review/stand_ins.o -o "target/review/case$number"
done
