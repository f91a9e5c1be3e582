#!/usr/bin/env bash
# A daemon is killed while callers write through it: nothing is lost, doubled or falsely refused, and service goes on.
source "$(dirname "$0")/callers.sh"
start_fleet
start_callers 6
wait_for_more 60
kill -KILL "${fleet_pids[i2]}"
wait "${fleet_pids[i2]}" 2>/dev/null
unset 'fleet_pids[i2]'
wait_for_more 60
stop_callers
check_calls
echo PASSED
