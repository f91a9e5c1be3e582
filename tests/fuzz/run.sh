#!/usr/bin/env bash
# Fuzzes the decoders for SECONDS, which are divided among the targets: tests/fuzz/run.sh SECONDS [TARGET]
# SEED and JOBS may be set. Inputs that fail are left in build-fuzz/findings.
set -euo pipefail
cd "$(dirname "$0")/../.."
[ $# -ge 1 ] || { sed -n 2,3p "$0"; exit 2; }
cmake --preset fuzz >/dev/null
cmake --build --preset fuzz -j "${JOBS:-$(nproc)}" --target fuzz-decoders >/dev/null
program=build-fuzz/tests/fuzz/fuzz-decoders
mkdir -p build-fuzz/findings
if [ $# -gt 1 ]; then
    targets=("${@:2}")
else
    mapfile -t targets < <("$program" --list)
fi
seconds=$(($1 / ${#targets[@]}))
seed=${SEED:-$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')}
failed=0
for it in "${targets[@]}"; do
    "$program" --target "$it" --seconds "$((seconds > 0 ? seconds : 1))" --seed "$seed" --findings build-fuzz/findings || failed=$((failed + 1))
done
echo "$((${#targets[@]} - failed)) targets passed, $failed failed"
[ "$failed" -eq 0 ]
