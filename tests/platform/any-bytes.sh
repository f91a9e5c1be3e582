#!/usr/bin/env bash
# Real daemons between targets and callers that have a codec of their own and send texts of all bytes: every answer is its caller's own, and
# targets run what callers sent and nothing else; first with targets that answer once, then with targets that answer twice now and then.
# Usage: any-bytes.sh [forwarding] [prepared] [SEED [SECONDS [EVERY...]]]. EVERY: which answers are sent twice, 0 for none. With "forwarding", in a
# fleet whose targets accept too few connections for every daemon. With "prepared", callers prepare more statements than a connection keeps, and a
# daemon is killed halfway. PLATFORM_DAEMON names the daemon under test, WIRE_LOAD the load.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib/platform-fleet.sh"

wire_load=${WIRE_LOAD:-$platform_root/build/tests/wire/wire-load}
daemons=3
max_connections=34
load_options=()
if [ "${1:-}" = forwarding ]; then
    daemons=12
    max_connections=10
    shift
fi
if [ "${1:-}" = prepared ]; then
    load_options=(--prepare-often)
    shift
fi
seed=${1:-$RANDOM}
seconds=${2:-6}
shift $(($# < 2 ? $# : 2))
second_answers=("$@")
[ $# -eq 0 ] && second_answers=(0 9)

fail() {
    echo "FAILED: $1"
    tail -n 5 "$fleet_dir"/*.log
    exit 1
}

platform_before_daemons() {
    local ports
    ports=$(IFS=,; echo "${caller_ports[*]}")
    "$wire_load" --targets-at "$targets_at" --callers-at "$ports" --seed "$seed" --seconds "$seconds" --second-answer-every "$every" \
        --max-connections "$max_connections" "${load_options[@]}" >"$fleet_dir/load.txt" 2>&1 &
    fleet_pids[load]=$!
    fleet_wait 50 grep -q ready "$fleet_dir/load.txt"
}

configure() {
    local route='"prefix":"/","timeout-ms":1000,"target-latency-ms":400,"priority":1,"max-staleness-ms":2500,"service":"standin-group"'
    curl -s -m 2 -X POST --data-binary @- "http://127.0.0.1:$platform_port/standin/config" <<JSON
{"version":2,"routes":[{"host":"orders","kind":"primary",$route},{"host":"proofs","kind":"read_your_writes",$route},{"host":"prices","kind":"bounded_staleness",$route}],
 "services":[{"name":"standin-group","max-connections":$max_connections}],"limits":{"transaction-idle-ms":3000}}
JSON
}
is_in_force() {
    local n
    for ((n = 0; n < daemons; n++)); do
        grep -q 'configuration_in_force.*"version":"2"' "$fleet_dir/daemon-$n.log" || return 1
    done
}

for every in "${second_answers[@]}"; do
    echo "seed $seed, $daemons daemons, every ${every}th answer twice (0: none)"
    # Daemons draw their ports before the targets listen, so the targets' are drawn elsewhere.
    targets_at=$(platform_free_base 10000)
    platform_standin_options=(--targets-at "$targets_at")
    platform_start "$daemons" || fail "the fleet does not start"
    configure
    fleet_wait 60 is_in_force || fail "no daemon has the configuration"
    # Daemons learn of each other with the next renewal of the lease rows; until then they count too few to need homes.
    [ "$daemons" -gt 3 ] && sleep 5
    kill -HUP "${fleet_pids[load]}"
    if [ "${#load_options[@]}" -gt 0 ]; then
        sleep $((seconds / 2))
        kill -KILL "${fleet_pids[daemon-1]}"
        platform_start_daemon 1
    fi
    wait "${fleet_pids[load]}"
    status=$?
    unset 'fleet_pids[load]'
    cat "$fleet_dir/load.txt"
    [ "$status" -eq 0 ] || fail "the load found trouble (exit status $status)"
    fleet_stop
done
echo "ok: every answer was its caller's own, and targets ran what callers sent"
