#!/usr/bin/env bash
# Changes of configuration on real daemons while the platform is down, answers get lost and operators collide.
. "$(dirname "$0")/../end-to-end/fleet.sh"

TOOL=$BUILD/src/tool/parsleypaddle
export PARSLEYPADDLE_KEY=operators-peer-key
export PARSLEYPADDLE_KEYS=$'peer operators-peer-key\ntoken t1 operators-token-secret-of-32-bytes\n'

platform_fault() { curl -sf -m 10 -d "$1" "$PLATFORM/fault" >/dev/null || fail "fault $1 was refused"; }

# apply_age SECONDS BASE DAEMON: the exit code of applying another default.
apply_age() {
    printf 'defaults: { greatest-age: %ss }\n' "$1" | cat - "$WORK/fleet.yaml" >"$WORK/age-$1.yaml"
    "$TOOL" config apply "$WORK/age-$1.yaml" --base "$2" --author "operator-$1" --daemon "${CONTROL[$3]}" >"$WORK/apply-$1.txt" 2>&1
}

# is_age SECONDS DAEMON...: whether that default is in force on those daemons.
is_age() {
    local wanted=$1 it
    shift
    for it in "$@"; do
        "$TOOL" config show --daemon "${CONTROL[$it]}" | grep -q "^  greatest-age: ${wanted}s" || return 1
    done
}

start_fleet 3
# The platform's list lags, and the tool sees what the daemons see.
knows_all() { [ "$("$TOOL" status --daemon "${CONTROL[$1]}" | grep -c serving)" -eq 3 ]; }
for it in "${DAEMONS[@]}"; do wait_until "$it knows the others" knows_all "$it"; done

echo "two operators at once"
apply_age 3 1 i1 &
first=$!
apply_age 4 1 i2 &
second=$!
wait "$first"
codes=$?
wait "$second"
codes="$codes $?"
[ "$codes" = '0 4' ] || [ "$codes" = '4 0' ] || fail "exit codes $codes: $(cat "$WORK"/apply-[34].txt)"
[ "$codes" = '0 4' ] && won=3 lost=4 || won=4 lost=3
grep -q "version 2 by operator-$won" "$WORK/apply-$lost.txt" || fail "the other operator was not told: $(cat "$WORK/apply-$lost.txt")"
is_age "$won" i1 i2 i3 || fail "not in force everywhere"

echo "answers lost after their effect"
platform_fault '{"lose_answers": 1}'
apply_age 5 2 i1
[ $? -eq 11 ] || fail "with the object's answer lost: $(cat "$WORK/apply-5.txt")"
is_age "$won" i1 i2 i3 || fail "the configuration changed"
platform_fault '{"lose_row_answers": 2}'
apply_age 5 2 i1 || fail "with the row's answer lost: $(cat "$WORK/apply-5.txt")"
grep -q 'version 3 is in force on 3 of 3' "$WORK/apply-5.txt" || fail "not in force everywhere: $(cat "$WORK/apply-5.txt")"

echo "the platform down: refused as not made, and nothing reverts"
platform_fault '{"down": true}'
apply_age 6 3 i1
[ $? -eq 11 ] || fail "$(cat "$WORK/apply-6.txt")"
is_age 5 i1 i2 i3 || fail "the configuration changed"

echo "callers are answered meanwhile, and the change is made once the platform is back"
is_done increment i1 "$(new_id down)" while-down || fail "a write with the platform down was not done"
platform_fault '{"down": false}'
apply_age 6 3 i1 || fail "$(cat "$WORK/apply-6.txt")"
is_age 6 i1 i2 i3 || fail "not in force everywhere"
echo PASSED
