#!/usr/bin/env bash
# The primary is cut off from everyone and replaced; it comes back and stays a replica. No acknowledged write is lost.
source "$(dirname "$0")/callers.sh"
is_replaced() { is_role orders-1-b primary || is_role orders-1-c primary; }
start_fleet
start_callers 6
wait_for_more 60
is_role orders-1-a primary || fail "orders-1-a is not the first primary"
fault '{"target": "orders-1-a", "fault": "cut", "on": true}'
wait_until "a change of primary" is_replaced
wait_for_more 60
fault '{"target": "orders-1-a", "fault": "cut", "on": false}'
wait_until "the old primary's return as a replica" is_role orders-1-a replica
wait_for_more 60
stop_callers
check_calls
echo PASSED
