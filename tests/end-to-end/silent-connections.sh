#!/usr/bin/env bash
# Open connections to every target go silent while new ones work: work goes on over new ones, and the primary stays.
source "$(dirname "$0")/callers.sh"
start_fleet
start_callers 6
wait_for_more 60
before=$(target_roles | grep primary)
for it in a b c; do
    fault "{\"target\": \"orders-1-$it\", \"fault\": \"silence\"}"
done
wait_for_more 60
stop_callers
check_calls
after=$(target_roles | grep primary)
[ "$after" = "$before" ] || fail "the primary was replaced although new connections worked: $before, then $after"
echo PASSED
