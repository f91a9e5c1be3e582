#!/usr/bin/env bash
# SIGTERM drains a daemon under load: every request that it took is answered, it exits with 0, and the rest goes on.
source "$(dirname "$0")/callers.sh"
start_fleet

# Calls i1 alone, so that an answer cut off by the drain is seen here.
drained_caller() {
    local n answer code key
    for ((n = 1; ; n++)); do
        key="d$1-$n"
        answer=$(increment 0 "$(fleet_id "$key")" "$key")
        code=$?
        # 7 is a connection refused: the listener has closed, and nothing was sent.
        [ $code -eq 7 ] && return
        if [ $code -ne 0 ]; then
            echo "$key: curl $code" >>"$fleet_dir/cut-off.txt"
            return
        fi
        echo "$key $(outcome_of <<<"$answer")" >>"$fleet_dir/calls-d$1.txt"
    done
}

: >"$fleet_dir/cut-off.txt"
callers=()
for n in 1 2 3 4 5 6; do
    : >"$fleet_dir/calls-d$n.txt"
    drained_caller "$n" &
    callers+=($!)
done
wait_for_more 60
kill -TERM "${fleet_pids[i1]}"
wait "${fleet_pids[i1]}" || fail "the drained daemon ended with $?"
unset 'fleet_pids[i1]'
wait "${callers[@]}"
[ -s "$fleet_dir/cut-off.txt" ] && fail "requests were cut off: $(cat "$fleet_dir/cut-off.txt")"
wait_until "a write through another daemon" is_done increment 1 "$(fleet_id rest)" rest
check_calls
echo PASSED
