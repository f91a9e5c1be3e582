#!/usr/bin/env bash
# Runs the commands of docs/TUTORIAL.md in one shell, block by block, and checks what they lead to.
set -uo pipefail
cd "$(dirname "$0")/../.."
commands=$(mktemp)
output=$(mktemp)
trap 'rm -f "$commands" "$output"' EXIT

# Set-up and build are left out: the tests run on what is built already.
awk '/^```sh$/ { inside = 1; next } /^```$/ { inside = 0 } inside && !/^\.\/scripts\/(setup|build)$/' docs/TUTORIAL.md >"$commands"
if ! bash -e "$commands" >"$output" 2>&1; then
    echo "FAILED: a command of the tutorial" >&2
    cat "$output" >&2
    exit 1
fi

expect() {
    grep -qE "$1" "$output" && return
    echo "FAILED: nothing in the output matches $1" >&2
    cat "$output" >&2
    exit 1
}
expect 'version 1 is in force on 3 of 3 daemons'
expect '"rows":\[\["two boxes"\]\]'
expect 'greatest-age: 2s -> 3s'
expect 'version 2 is in force on 3 of 3 daemons'
expect 'slow-link'
expect 'done, *|done +at'
echo PASSED
