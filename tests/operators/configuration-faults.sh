#!/usr/bin/env bash
# Changes of configuration on real daemons while the platform is down, answers get lost and operators collide.
set -uo pipefail
source "$(dirname "$0")/../end-to-end/callers.sh" || exit 1

export PARSLEYPADDLE_KEY=$fleet_key

platform_fault() { curl -sf -m 10 -d "$1" "127.0.0.1:$fleet_platform/fault" >/dev/null || fail "fault $1 was refused"; }

# apply_age SECONDS BASE DAEMON(from 0): the exit code of applying another default.
apply_age() {
    sed "s/^  greatest-age: 2s/  greatest-age: ${1}s/" "$fleet_dir/fleet.yaml" >"$fleet_dir/age-$1.yaml"
    "$fleet_tool" config apply "$fleet_dir/age-$1.yaml" --base "$2" --author "operator-$1" --daemon "127.0.0.1:${fleet_controls[$3]}" >"$fleet_dir/apply-$1.txt" 2>&1
}

# is_age SECONDS: whether that default is in force on every daemon.
is_age() {
    local it
    for it in "${fleet_controls[@]}"; do
        "$fleet_tool" config show --daemon "127.0.0.1:$it" >"$fleet_dir/shown.txt"
        grep -q "^  greatest-age: ${1}s" "$fleet_dir/shown.txt" || return 1
    done
}

start_fleet
# The platform's list lags, and the tool sees what the daemons see.
knows_all() { [ "$("$fleet_tool" status --daemon "127.0.0.1:$1" | grep -c serving)" -eq 3 ]; }
for it in "${fleet_controls[@]}"; do wait_until "daemon $it knows the others" knows_all "$it"; done

echo "two operators at once"
apply_age 3 1 0 &
first=$!
apply_age 4 1 1 &
second=$!
wait "$first"
codes=$?
wait "$second"
codes="$codes $?"
[ "$codes" = '0 4' ] || [ "$codes" = '4 0' ] || fail "exit codes $codes: $(cat "$fleet_dir"/apply-[34].txt)"
[ "$codes" = '0 4' ] && won=3 lost=4 || won=4 lost=3
grep -q "version 2 by operator-$won" "$fleet_dir/apply-$lost.txt" || fail "the other operator was not told: $(cat "$fleet_dir/apply-$lost.txt")"
is_age "$won" || fail "not in force everywhere"

echo "answers lost after their effect"
platform_fault '{"lose_answers": 1}'
apply_age 5 2 0
[ $? -eq 11 ] || fail "with the object's answer lost: $(cat "$fleet_dir/apply-5.txt")"
is_age "$won" || fail "the configuration changed"
platform_fault '{"lose_row_answers": 2}'
apply_age 5 2 0 || fail "with the row's answer lost: $(cat "$fleet_dir/apply-5.txt")"
grep -q 'version 3 is in force on 3 of 3' "$fleet_dir/apply-5.txt" || fail "not in force everywhere: $(cat "$fleet_dir/apply-5.txt")"

echo "the platform down: refused as not made, and nothing reverts"
platform_fault '{"down": true}'
apply_age 6 3 0
[ $? -eq 11 ] || fail "$(cat "$fleet_dir/apply-6.txt")"
is_age 5 || fail "the configuration changed"

echo "callers are answered meanwhile, and the change is made once the platform is back"
is_done increment 0 "$(fleet_id down)" while-down || fail "a write with the platform down was not done"
platform_fault '{"down": false}'
apply_age 6 3 0 || fail "$(cat "$fleet_dir/apply-6.txt")"
is_age 6 || fail "not in force everywhere"
echo PASSED
