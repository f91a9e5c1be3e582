#!/usr/bin/env bash
# Every command of the operators' tool against three real daemons.
. "$(dirname "$0")/../end-to-end/fleet.sh"

TOOL=$BUILD/src/tool/parsleypaddle
export PARSLEYPADDLE_KEY=operators-peer-key
export PARSLEYPADDLE_KEYS=$'peer operators-peer-key\ntoken t1 operators-token-secret-of-32-bytes\n'

# expect EXIT-CODE COMMAND...: runs the tool against i1; its output is in out.txt and err.txt.
expect() {
    local wanted=$1 code
    shift
    "$TOOL" "$@" --daemon "${CONTROL[i1]}" >"$WORK/out.txt" 2>"$WORK/err.txt"
    code=$?
    [ "$code" -eq "$wanted" ] || fail "$*: exit code $code, expected $wanted: $(cat "$WORK/out.txt" "$WORK/err.txt")"
}
shows() { grep -qF -- "$1" "$WORK/out.txt" || fail "expected in the output: $1; found: $(cat "$WORK/out.txt")"; }
tells() { grep -qF -- "$1" "$WORK/err.txt" || fail "expected in the messages: $1; found: $(cat "$WORK/err.txt")"; }

start_fleet 3
# The platform's list lags, and the tool sees what the daemons see.
knows_all() { [ "$("$TOOL" status --daemon "${CONTROL[$1]}" | grep -c serving)" -eq 3 ]; }
for it in "${DAEMONS[@]}"; do wait_until "$it knows the others" knows_all "$it"; done

echo "configuration"
expect 0 config show
shows 'version: 1'
sed 's/^  deadline: 5s/  deadline: 4s/' "$WORK/out.txt" >"$WORK/changed.yaml"
expect 0 config check "$WORK/changed.yaml"
expect 10 config diff "$WORK/changed.yaml"
shows 'defaults/deadline: 5s -> 4s'
expect 0 config apply "$WORK/changed.yaml" --author k.marinova
shows 'version 2 is in force on 3 of 3 daemons'
expect 4 config apply "$WORK/fleet.yaml" --base 1 --author i.petrov
tells 'version 2 by k.marinova'
expect 0 config history --json
shows '"author" : "k.marinova"'
echo 'defaults: {deadline: 4}' >"$WORK/wrong.yaml"
expect 3 config check "$WORK/wrong.yaml"
shows 'wrong.yaml:1: defaults.deadline: "4", expected a duration'
expect 3 config apply "$WORK/wrong.yaml" --author k.marinova

echo "exceptions"
expect 3 exception add --id slow --class history --setting greatest-age --value 1m --author k.marinova
tells 'reason_missing'
expect 0 exception add --id slow --class history --setting greatest-age --value 1m --reason 'slow links' --author k.marinova
expect 0 exception list
shows 'slow links'
expect 0 exception remove slow --author k.marinova
expect 9 exception remove slow --author k.marinova

echo "groups"
expect 0 group add spare-db --slots 2 --connections 10 --target spare-a=127.0.0.1:1@plateau --author k.marinova
expect 0 group list --json
shows '"spare-db"'
expect 0 group remove spare-db --author k.marinova

echo "status and explain"
expect 0 status
for it in i1 i2 i3 db-a db-b db-c; do shows "$it"; done
shows 'serving'
expect 0 status --json
[ "$(grep -c '"version" : 6' "$WORK/out.txt")" -eq 3 ] || fail "not every daemon has version 6: $(cat "$WORK/out.txt")"
id=$(new_id explained)
is_done increment i2 "$id" explained-key || fail "the write was not done"
expect 0 explain "$id"
shows 'i2'
expect 9 explain no-such-request
fault '{"target": "db-a", "fault": "cut", "on": true}'
wait_until "a change of primary" is_done increment i2 "$(new_id after-cut)" after-cut
expect 0 explain group orders-db
shows 'promoted'

echo "access"
PARSLEYPADDLE_KEY=guess expect 7 status
grep -q guess "$WORK/out.txt" "$WORK/err.txt" && fail "the key was printed"
metric() { curl -sf -m 5 "${LISTEN[i1]}/metrics" | awk -v name="$1" '$1 == name { print $2 }'; }
[ "$(metric parsleypaddle_keys_refused_total)" -ge 1 ] || fail "the refused key was not counted"
[ "$(metric parsleypaddle_configuration_version)" = 6 ] || fail "the version is not in the metrics"
curl -sf -m 5 "${LISTEN[i2]}/metrics" | grep -q '^parsleypaddle_class_total_milliseconds_count{class="fitting"} [1-9]' || fail "no histogram of the class"
for it in i1 i2 i3; do curl -sf -m 5 "${LISTEN[$it]}/metrics"; done | grep -q '^parsleypaddle_shop_run_milliseconds_count{shop="shop-1"} [1-9]' || fail "no run time of the shop"
echo 'peer operators-peer-key' >"$WORK/key.txt"
PARSLEYPADDLE_KEY='' expect 0 status --key-file "$WORK/key.txt"
expect 2 status --colour
expect 0 --help

echo "drain"
"$TOOL" drain --daemon "${CONTROL[i3]}" >"$WORK/out.txt" 2>&1 || fail "drain: $(cat "$WORK/out.txt")"
shows 'i3 is draining'
wait "${PIDS[i3]}" || fail "i3 ended with an error"
unset 'PIDS[i3]'
expect 6 config apply "$WORK/changed.yaml" --base 6 --timeout 1s --author k.marinova
shows 'not reached: i3'
echo PASSED
