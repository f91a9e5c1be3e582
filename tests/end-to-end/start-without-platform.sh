#!/usr/bin/env bash
# While the platform is down a daemon is replaced by a new one, which learns members and configuration from a peer and serves.
source "$(dirname "$0")/callers.sh"
start_fleet
curl -sf -m 10 -d '{"down": true}' "127.0.0.1:$fleet_platform/fault" >/dev/null || fail "the fault was refused"
kill -KILL "${fleet_pids[i3]}"
wait "${fleet_pids[i3]}" 2>/dev/null
echo "seeds: [{ host: 127.0.0.1, port: ${fleet_controls[0]} }, { host: 127.0.0.1, port: ${fleet_controls[1]} }]" >>"$fleet_dir/i3.yaml"
fleet_start_daemon i3
wait_until "the new daemon is ready" fleet_is_ready "${fleet_ports[2]}"
answer=$(fleet_ask 2 write "$(fleet_id without-platform)" order-9 'one box')
[ "$(fleet_field outcome <<<"$answer")" = done ] || fail "the write was answered $answer"
answer=$(fleet_ask 0 read "$(fleet_id read-back)" order-9)
grep -q '"rows":\[\["one box"\]\]' <<<"$answer" || fail "the read found $answer"
echo PASSED
