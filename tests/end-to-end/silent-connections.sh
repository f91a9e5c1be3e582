#!/usr/bin/env bash
# Open connections to every target go silent while new ones work: work goes on over new ones, and the primary stays.
. "$(dirname "$0")/fleet.sh"
term_of_primary() { group_state | tr -d '\n\t ' | sed 's/.*"role":"primary","target":"[^"]*","term":\([0-9]*\).*/\1/'; }
start_fleet 3
start_callers 6 i1 i2 i3
wait_for_more 60
term=$(term_of_primary)
for it in db-a db-b db-c; do
    fault "{\"target\": \"$it\", \"fault\": \"silence\"}"
done
wait_for_more 60
stop_callers
check_calls
[ "$(term_of_primary)" = "$term" ] || fail "the primary was replaced although new connections worked"
echo PASSED
