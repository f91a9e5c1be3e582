#!/usr/bin/env bash
# A daemon is paused by SIGSTOP in the middle of its work and wakes later: what it does then doubles and loses nothing.
. "$(dirname "$0")/fleet.sh"
start_fleet 3
CALL_LIMIT=3 DEADLINE=2000
start_callers 6 i1 i2 i3
wait_for_more 60
kill -STOP "${PIDS[i2]}"
wait_for_more 60
kill -CONT "${PIDS[i2]}"
wait_for_more 60
stop_callers
wait_until "a write through the daemon that woke" is_done increment i2 "$(new_id woke)" woke
check_calls
echo PASSED
