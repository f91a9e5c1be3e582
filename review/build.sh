#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of the cases start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review
mkdir -p "$out"
read -ra json <<<"$(pkg-config --cflags --libs jsoncpp)"
for program in Stale Drain Configuration Promotion; do
    g++ -std=c++17 -O1 -Wall -Wextra -o "$out/${program,,}" "rig/$program.cpp" rig/Net.cpp rig/Store.cpp rig/Group.cpp rig/Fleet.cpp "${json[@]}" -pthread
done

