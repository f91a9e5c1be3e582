#!/usr/bin/env bash
# scripts/configuration-delays finds the daemon that was late, and counts a process from its start.
set -euo pipefail
cd "$(dirname "$0")/../.."
log=$(mktemp)
trap 'rm -f "$log"' EXIT
line() {
    printf '{"at_ms":%s,"event":"%s","instance":"%s"%s}\n' "$1" "$2" "$3" "${4:-}"
}
{
    for it in one two three; do line 1000 started "$it"; done
    for it in one two three; do line 2000 configuration_in_force "$it" ',"version":"4"'; done
    line 3000 configuration_in_force one ',"version":"7"'
    line 3040 configuration_in_force two ',"version":"7"'
    line 9100 configuration_in_force three ',"version":"9"'
    line 9110 configuration_in_force one ',"version":"9"'
    line 9120 configuration_in_force two ',"version":"9"'
    line 20000 started four
    line 20100 configuration_in_force four ',"version":"9"'
} >"$log"
result=$(scripts/configuration-delays --bound 5000 "$log")
expect() {
    grep -qF -- "$1" <<<"$result" || { printf 'missing: %s\n%s\n' "$1" "$result"; exit 1; }
}
expect "version 7: in force everywhere after 6100 ms"
expect "version 9: in force everywhere after 100 ms"
expect "6100 ms  version 7  three"
expect "3 versions, 4 processes, 1 pairs over half of the bound of 5000 ms, 1 over it"
echo "configuration-delays: as expected"
