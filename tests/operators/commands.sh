#!/usr/bin/env bash
# Every command of the operators' tool against three real daemons.
set -uo pipefail
source "$(dirname "$0")/../end-to-end/callers.sh" || exit 1

export PARSLEYPADDLE_KEY=$fleet_key

# expect EXIT-CODE COMMAND...: runs the tool against i1; its output is in out.txt and err.txt.
expect() {
    local wanted=$1 code
    shift
    "$fleet_tool" "$@" --daemon "127.0.0.1:${fleet_controls[0]}" >"$fleet_dir/out.txt" 2>"$fleet_dir/err.txt"
    code=$?
    [ "$code" -eq "$wanted" ] || fail "$*: exit code $code, expected $wanted: $(cat "$fleet_dir/out.txt" "$fleet_dir/err.txt")"
}
shows() { grep -qF -- "$1" "$fleet_dir/out.txt" || fail "expected in the output: $1; found: $(cat "$fleet_dir/out.txt")"; }
tells() { grep -qF -- "$1" "$fleet_dir/err.txt" || fail "expected in the messages: $1; found: $(cat "$fleet_dir/err.txt")"; }

start_fleet
# The platform's list lags, and the tool sees what the daemons see.
knows_all() { [ "$("$fleet_tool" status --daemon "127.0.0.1:$1" | grep -c serving)" -eq 3 ]; }
for it in "${fleet_controls[@]}"; do wait_until "daemon $it knows the others" knows_all "$it"; done

echo "configuration"
expect 0 config show
shows 'version: 1'
sed 's/^  deadline: 5s/  deadline: 4s/' "$fleet_dir/out.txt" >"$fleet_dir/changed.yaml"
expect 0 config check "$fleet_dir/changed.yaml"
expect 10 config diff "$fleet_dir/changed.yaml"
shows 'defaults/deadline: 5s -> 4s'
expect 0 config apply "$fleet_dir/changed.yaml" --author k.marinova
shows 'version 2 is in force on 3 of 3 daemons'
expect 4 config apply "$fleet_dir/fleet.yaml" --base 1 --author i.petrov
tells 'version 2 by k.marinova'
expect 0 config history --json
shows '"author" : "k.marinova"'
echo 'defaults: {deadline: 4}' >"$fleet_dir/wrong.yaml"
expect 3 config check "$fleet_dir/wrong.yaml"
shows 'wrong.yaml:1: defaults.deadline: "4", expected a duration'
expect 3 config apply "$fleet_dir/wrong.yaml" --author k.marinova

echo "exceptions"
expect 3 exception add --id slow --class proofs --setting greatest-age --value 1m --author k.marinova
tells 'reason_missing'
expect 0 exception add --id slow --class proofs --setting greatest-age --value 1m --reason 'slow links' --author k.marinova
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
for it in i1 i2 i3 orders-1-a orders-1-b orders-1-c; do shows "$it"; done
shows 'serving'
expect 0 status --json
[ "$(grep -c '"version" : 6' "$fleet_dir/out.txt")" -eq 3 ] || fail "not every daemon has version 6: $(cat "$fleet_dir/out.txt")"
id=$(fleet_id explained)
is_done increment 1 "$id" explained-key || fail "the write was not done"
expect 0 explain "$id"
shows 'i2'
expect 9 explain no-such-request
fault '{"target": "orders-1-a", "fault": "cut", "on": true}'
wait_until "a change of primary" is_done increment 1 "$(fleet_id after-cut)" after-cut
expect 0 explain group orders-1
shows 'promoted'

echo "access"
PARSLEYPADDLE_KEY=guess expect 7 status
grep -q guess "$fleet_dir/out.txt" "$fleet_dir/err.txt" && fail "the key was printed"
metric() { curl -sf -m 5 "127.0.0.1:${fleet_ports[0]}/metrics" | awk -v name="$1" '$1 == name { print $2 }'; }
[ "$(metric parsleypaddle_keys_refused_total)" -ge 1 ] || fail "the refused key was not counted"
[ "$(metric parsleypaddle_configuration_version)" = 6 ] || fail "the version is not in the metrics"
for it in "${fleet_ports[@]}"; do curl -sf -m 5 "127.0.0.1:$it/metrics"; done >"$fleet_dir/metrics.txt"
grep -q '^parsleypaddle_class_total_milliseconds_count{class="counter"} [1-9]' "$fleet_dir/metrics.txt" || fail "no histogram of the class"
grep -q '^parsleypaddle_shop_run_milliseconds_count{shop="shop-1"} [1-9]' "$fleet_dir/metrics.txt" || fail "no run time of the shop"
PARSLEYPADDLE_KEY='' expect 0 status --key-file "$fleet_dir/keys.txt"
expect 2 status --colour
expect 0 --help

echo "drain"
"$fleet_tool" drain --daemon "127.0.0.1:${fleet_controls[2]}" >"$fleet_dir/out.txt" 2>&1 || fail "drain: $(cat "$fleet_dir/out.txt")"
shows 'i3 is draining'
wait "${fleet_pids[i3]}" || fail "i3 ended with an error"
unset 'fleet_pids[i3]'
expect 6 config apply "$fleet_dir/changed.yaml" --base 6 --timeout 1s --author k.marinova
shows 'not reached: i3'
echo PASSED
