#!/usr/bin/env bash
# The primary is cut off from everyone and replaced; it comes back and stays a replica. No acknowledged write is lost.
. "$(dirname "$0")/fleet.sh"
is_role() { group_state | tr -d '\n\t ' | grep -q "\"role\":\"$2\",\"target\":\"$1\""; }
is_replaced() { is_role db-b primary || is_role db-c primary; }
start_fleet 3
start_callers 6 i1 i2 i3
wait_for_more 60
is_role db-a primary || fail "db-a is not the first primary"
fault '{"target": "db-a", "fault": "cut", "on": true}'
wait_until "a change of primary" is_replaced
wait_for_more 60
fault '{"target": "db-a", "fault": "cut", "on": false}'
wait_until "the old primary's return as a replica" is_role db-a replica
wait_for_more 60
stop_callers
check_calls
echo PASSED
