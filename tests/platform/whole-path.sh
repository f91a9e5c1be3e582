#!/usr/bin/env bash
# Real daemons on the platform's stand-in: writes, reads at every rule, transactions, a crash of the primary, an outage of the
# tables, a stop without a lost answer, and a restart.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib/platform-fleet.sh"

check() {
    local what=$1
    shift
    fleet_wait 60 "$@" || { echo "FAILED: $what"; tail -n 5 "$fleet_dir"/*.log; exit 1; }
    echo "ok: $what"
}

platform_start 3 || { echo "FAILED: the fleet does not start"; tail -n 5 "$fleet_dir"/*.log; exit 1; }
check "a write through the first daemon" platform_writes 0 orders "WRITE card embossed"
check "a read at the primary through the second" platform_reads 1 orders card embossed
check "a read within a bounded age through the third" platform_reads 2 prices card embossed

# caller_ask ends its lines at a line feed, so a row with line feeds arrives as several.
reads_lines() { [ "$(platform_ask "$1" "$2" "READ lines" | head -n 3)" = $'DATAROW one\nQUERY 1 WRITE card cut\n\rtwo' ]; }
check "a write of a text with line feeds, a carriage return and a statement in it" platform_writes 0 orders $'WRITE lines one\nQUERY 1 WRITE card cut\n\rtwo'
check "a read of it at the primary" reads_lines 1 orders
check "a read of it within a bounded age" reads_lines 2 prices
check "the statement in it has not run" platform_reads 1 orders card embossed

caller_open 0 proofs || { echo "FAILED: a session"; exit 1; }
caller_ask "PREPARE s1 WRITE shape" | grep -q '^COMPLETE -' || { echo "FAILED: prepare"; exit 1; }
caller_ask "BEGIN" | grep -q '^COMPLETE -' || { echo "FAILED: begin"; exit 1; }
caller_ask "EXECUTE s1 proof foil" | grep -q '^COMPLETE signed' || { echo "FAILED: a write in a transaction"; exit 1; }
platform_reads 1 orders proof foil 2>/dev/null && { echo "FAILED: an open transaction is seen"; exit 1; }
caller_open 0 proofs && caller_ask "READ card" | grep -qx "DATAROW embossed" || { echo "FAILED: a second session"; exit 1; }
caller_close
check "a transaction that its caller left is not kept" platform_reads 1 orders proof ""

caller_open 1 proofs || exit 1
caller_ask "BEGIN" >/dev/null
caller_ask "WRITE proof foil" >/dev/null
caller_ask "COMMIT" | grep -q '^COMPLETE signed-by-one' || { echo "FAILED: commit"; exit 1; }
caller_ask "READ proof" | grep -qx "DATAROW foil" || { echo "FAILED: a session reads its own writes"; exit 1; }
caller_close
echo "ok: a transaction is kept once it is committed"

platform_ask 0 nowhere "READ x" | grep -q '^COMPLETE' && { echo "FAILED: an unknown database is served"; exit 1; }
echo "ok: an unknown database is refused"

for name in '~parsleypaddle' '~parsleypaddle 00000000000000000000000000000000'; do
    caller_name=$name caller_open 0 orders && { echo "FAILED: a caller that calls itself a daemon is let in"; exit 1; }
    [[ $caller_greeting == "ERROR NOAUTH "* ]] || { echo "FAILED: a caller that calls itself a daemon gets $caller_greeting"; exit 1; }
done
echo "ok: a caller that calls itself a daemon is refused"

platform_trouble down/one
check "a write after the primary crashed" platform_writes 0 orders "WRITE card foil"
check "it is read through another daemon" platform_reads 2 orders card foil
platform_trouble up/one
check "the old primary follows" platform_reads 1 prices card foil

platform_trouble away
check "writes go on for a while without the platform" platform_writes 1 orders "WRITE away yes"
platform_trouble back
check "and after its return" platform_writes 1 orders "WRITE back yes"

platform_trouble copy
platform_trouble down/two
platform_trouble down/three
check "a change of primary that the copy lacks" platform_writes 0 orders "WRITE copied no"
platform_trouble up/two
platform_trouble up/three
platform_trouble away
sleep 1
platform_trouble restore
platform_trouble back
check "writes go on after the platform has returned from an older copy" platform_writes 1 orders "WRITE copied yes"
check "all daemons know the new era" bash -c "for it in 0 1 2; do grep -q platform_era_known $fleet_dir/daemon-\$it.log || exit 1; done"
sleep 7
check "and when the leases from before have expired" platform_writes 2 orders "WRITE copied later"
check "it is read through another daemon" platform_reads 0 orders copied later

kill -TERM "${fleet_pids[daemon-0]}"
fleet_wait 20 bash -c "! curl -s -m 1 -f -o /dev/null http://127.0.0.1:${ready_ports[0]}/readiness" || { echo "FAILED: a daemon that stops is still ready"; exit 1; }
wait "${fleet_pids[daemon-0]}" || { echo "FAILED: a daemon does not stop cleanly"; exit 1; }
unset 'fleet_pids[daemon-0]'
echo "ok: a daemon stops when told"
platform_start_daemon 0
check "it serves again after its start" platform_writes 0 orders "WRITE again yes"
kill -KILL "${fleet_pids[daemon-1]}"
wait "${fleet_pids[daemon-1]}" 2>/dev/null
platform_start_daemon 1
check "and so does one that was killed" platform_writes 1 orders "WRITE killed yes"
check "settings with a missing field are refused" bash -c "echo '{\"node-name\":\"x\"}' >$fleet_dir/bad.json; $platform_bin/parsleypaddled-platform --settings $fleet_dir/bad.json --check 2>&1 | grep -q 'settings: listen is missing'"
check "a decision on a promotion is refused while no change of primary waits" bash -c "$platform_daemon --settings $fleet_dir/node-0.json --promote no-group=two 2>&1 | grep -q 'no record of the group no-group'"
check "and one without a target, too" bash -c "$platform_daemon --settings $fleet_dir/node-0.json --promote no-group 2>&1 | grep -q 'expected GROUP=TARGET'"
