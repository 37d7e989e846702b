#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. Precondition: the build of the deploy file has been run.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 $(pkg-config --cflags cpp-httplib jsoncpp))
libraries=($(pkg-config --libs cpp-httplib jsoncpp) -pthread)
for source in review/[0-9]*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" -I review/standin-2 "$source" -o "target/review-2/case-$number" "${libraries[@]}" &
done
wait
