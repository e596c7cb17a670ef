#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs what the build of
# the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
for it in review/[0-9]*/case.cc; do
  number="$(basename "$(dirname "$it")")"
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview -I/usr/include/jsoncpp \
    "$it" -o "target/review/case-$number" -ljsoncpp
done
