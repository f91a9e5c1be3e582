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

echo "a daemon that starts meanwhile learns the fleet and the configuration from a seed peer"
mapfile -t extra < <(fleet_free_ports 2)
sed -e 's/instance: i1/instance: i4/' -e "s/port: ${fleet_ports[0]} /port: ${extra[0]} /" -e "s/port: ${fleet_controls[0]} /port: ${extra[1]} /" \
    "$fleet_dir/i1.yaml" >"$fleet_dir/i4.yaml"
echo "seed-peers: [{ host: 127.0.0.1, port: ${fleet_controls[1]} }]" >>"$fleet_dir/i4.yaml"
fleet_start_daemon i4
wait_until "the start of i4" fleet_is_ready "${extra[0]}"
fleet_ports+=("${extra[0]}")
fleet_controls+=("${extra[1]}")
is_age 5 || fail "i4 has another configuration"
is_done increment 3 "$(fleet_id through-i4)" through-i4 || fail "a write through i4 was not done"

platform_fault '{"down": false}'
apply_age 6 3 0 || fail "$(cat "$fleet_dir/apply-6.txt")"
grep -q 'version 4 is in force on 3 of 3' "$fleet_dir/apply-6.txt" || fail "not in force on those listed: $(cat "$fleet_dir/apply-6.txt")"
# The platform's list does not name i4, so that the tool did not wait for it.
wait_until "the change at i4" is_age 6
echo PASSED
