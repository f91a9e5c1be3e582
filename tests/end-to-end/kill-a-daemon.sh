#!/usr/bin/env bash
# A daemon is killed while callers write through it: nothing is lost, doubled or falsely refused, and service goes on.
. "$(dirname "$0")/fleet.sh"
start_fleet 3
start_callers 6 i1 i2 i3
wait_for_more 60
end i2 KILL
wait_for_more 60
stop_callers
check_calls
echo PASSED
