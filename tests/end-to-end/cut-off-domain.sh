#!/usr/bin/env bash
# The daemons of one failure domain lose the primary, which all others still reach: callers are served or truthfully
# refused at every daemon, and at the end all work again.
source "$(dirname "$0")/callers.sh"
start_fleet
start_callers 6
wait_for_more 60
fault '{"target": "orders-1-a", "fault": "cut", "clients": "sof-a/", "on": true}'
wait_for_more 100
fault '{"target": "orders-1-a", "fault": "cut", "clients": "sof-a/", "on": false}'
for n in 0 1 2; do
    wait_until "a write through i$((n + 1)) after the cut" is_done increment "$n" "$(fleet_id "after-$n")" after
done
stop_callers
check_calls
echo PASSED
