#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs of review/11 and later, into target/review-3/. Run after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for it in StandIn Fleet; do
    g++ -std=c++17 -O2 -Wall -Wextra -c "review/stand-in-3/$it.cpp" -o "target/review-3/$it.o" -I/usr/include/jsoncpp
done
for it in review/stand-in-3/cases/*.cpp; do
    g++ -std=c++17 -O2 -Wall -Wextra -Ireview/stand-in-3 -I/usr/include/jsoncpp "$it" target/review-3/StandIn.o target/review-3/Fleet.o \
        -o "target/review-3/$(basename "$it" .cpp)" -ljsoncpp -lpthread
done
