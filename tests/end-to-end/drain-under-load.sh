#!/usr/bin/env bash
# SIGTERM drains a daemon under load: every request that it took is answered, it exits with 0, and the rest goes on.
. "$(dirname "$0")/fleet.sh"
start_fleet 3
# One call at a time each, all through i1 alone, so that an answer cut off by the drain would be seen here.
cut_off=$WORK/cut-off.txt
: >"$cut_off"
drained_caller() {
    local n answer code key
    for ((n = 1; ; n++)); do
        key="d$1-$n"
        answer=$(increment i1 "$(new_id "$key")" "$key")
        code=$?
        # 7 is a connection refused: the listener has closed, and nothing was sent.
        [ $code -eq 7 ] && return
        if [ $code -ne 0 ]; then
            echo "$key: curl $code" >>"$cut_off"
            return
        fi
        echo "$key $(outcome_of <<<"$answer")" >>"$WORK/calls-d$1.txt"
    done
}
CALLERS=()
for n in 1 2 3 4 5 6; do
    : >"$WORK/calls-d$n.txt"
    drained_caller "$n" &
    CALLERS+=($!)
done
wait_for_more 60
end i1 TERM || fail "the drained daemon ended with $?"
wait "${CALLERS[@]}"
[ -s "$cut_off" ] && fail "requests were cut off: $(cat "$cut_off")"
wait_until "a write through another daemon" is_done increment i2 "$(new_id rest)" rest
check_calls
echo PASSED
