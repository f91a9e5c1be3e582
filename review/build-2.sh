#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10. Run in the root of the repository, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++17 -O1 -g -Wall -Wextra -o target/review-2/rig review/rig-2/*.cpp $(pkg-config --cflags --libs jsoncpp) -pthread
