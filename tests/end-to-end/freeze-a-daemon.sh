#!/usr/bin/env bash
# A daemon is paused by SIGSTOP in the middle of its work and wakes later: what it does then doubles and loses nothing.
source "$(dirname "$0")/callers.sh"
start_fleet
CALL_LIMIT=3 DEADLINE=2000
start_callers 6
wait_for_more 60
kill -STOP "${fleet_pids[i2]}"
wait_for_more 60
kill -CONT "${fleet_pids[i2]}"
wait_for_more 60
stop_callers
wait_until "a write through the daemon that woke" is_done increment 1 "$(fleet_id woke)" woke
check_calls
echo PASSED
