#!/usr/bin/env bash
# Builds the stand-ins that the cases start. Uses only packages that deploy/system.toml names.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p out
for source in *.cc; do
  g++ -std=c++20 -O1 -w $(pkg-config --cflags cpp-httplib jsoncpp) "$source" -o "out/${source%.cc}" \
    $(pkg-config --libs cpp-httplib jsoncpp) -pthread &
  pids="${pids:-} $!"
done
for pid in $pids; do wait "$pid"; done
