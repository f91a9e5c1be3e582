# Callers that write through a fleet of real processes while a script causes failures, and the judgement of every call by
# the records that survive. To be sourced; KEEP=FOLDER keeps the logs and the calls there.
set -uo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../../scripts/lib/fleet.sh"

fail() {
    echo "FAILED: $*" >&2
    local log
    for log in "$fleet_dir"/*.log; do
        echo "--- ${log##*/}" >&2
        tail -n 15 "$log" >&2
    done
    exit 1
}

keep_and_stop() {
    touch "$fleet_dir/stop"
    [ -n "${KEEP:-}" ] && cp -r "$fleet_dir" "$KEEP"
    fleet_stop
}

# wait_until DESCRIPTION COMMAND...: tries the command until it succeeds, a bounded number of times.
wait_until() {
    local description=$1
    shift
    fleet_wait 150 "$@" || fail "$description did not come about"
}

# start_fleet: three daemons i1, i2, i3, configured and answering.
start_fleet() {
    fleet_start 3 || fail "the fleet did not start"
    trap keep_and_stop EXIT
    fleet_operate config apply "$fleet_dir/fleet.yaml" --author end-to-end >/dev/null || fail "the configuration was not accepted"
    local n
    for n in 0 1 2; do
        wait_until "the first write through i$((n + 1))" is_done increment "$n" "$(fleet_id "first-$n")" first-write
    done
}

fault() { curl -sf -m 10 -d "$1" "http://127.0.0.1:$fleet_group_control/fault" >/dev/null || fail "fault $1 was refused"; }

# state_section NAME: lines "KEY VALUE" of a map in the group's state.
state_section() { fleet_state | sed -n "/\"$1\" :/,/}/p" | sed -n 's/^[[:space:]]*"\([^"]*\)" : "\{0,1\}\([^",]*\)"\{0,1\},\{0,1\}$/\1 \2/p'; }

# Lines "TARGET ROLE TERM" of every target.
target_roles() { fleet_state | tr -d '\n\t ' | grep -o '"role":"[a-z]*","target":"[^"]*","term":[0-9]*' | sed -E 's/"role":"([a-z]*)","target":"([^"]*)","term":([0-9]*)/\2 \1 \3/'; }
is_role() { target_roles | grep -q "^$1 $2 "; }

# increment DAEMON(from 0) REQUEST-ID KEY [ATTEMPT]: adds 1 to a record, not repeatable; prints the answer.
increment() {
    curl -s -m "${CALL_LIMIT:-20}" -H 'Content-Type: application/json' "http://127.0.0.1:${fleet_ports[$1]}/v1/statements" -d "{
        \"version\": 1, \"shop\": \"shop-1\", \"request_id\": \"$2\", \"attempt\": ${4:-1}, \"class\": \"counter\", \"database\": \"orders-1\",
        \"mode\": \"write\", \"repeatable\": false, \"deadline_ms\": ${DEADLINE:-5000},
        \"statement\": \"UPDATE records SET value = value + \$2 WHERE key = \$1\", \"parameters\": [\"$3\", \"1\"]}"
}

outcome_of() { sed -n 's/.*"outcome"[[:space:]]*:[[:space:]]*"\([a-z_]*\)".*/\1/p' | head -n 1; }
is_done() { [ "$("$@" | outcome_of)" = done ]; }

# caller NUMBER: sends increments one after the other until the file "stop" is there, each under its own key. A request
# that got no answer, or an unknown one, is asked again with its id at the next daemon, 10 times at most. Writes lines
# "KEY OUTCOME"; the outcome is "unanswered" when no daemon answered.
caller() {
    local n=0 try key id outcome
    while [ ! -e "$fleet_dir/stop" ]; do
        n=$((n + 1))
        key="c$1-$n"
        id=$(fleet_id "$key")
        outcome=
        for ((try = 0; try < 10; try++)); do
            outcome=$(increment $((($1 + try) % 3)) "$id" "$key" $((try + 1)) | outcome_of)
            [ -n "$outcome" ] && [ "$outcome" != unknown ] && break
        done
        echo "$key ${outcome:-unanswered}" >>"$fleet_dir/calls-$1.txt"
    done
}

# start_callers NUMBER: that many callers at once, spread over the daemons.
start_callers() {
    local n
    callers=()
    for ((n = 1; n <= $1; n++)); do
        : >"$fleet_dir/calls-$n.txt"
        caller "$n" &
        callers+=($!)
    done
}

calls_with() { cat "$fleet_dir"/calls-*.txt | awk -v outcome="$1" '$2 == outcome' | wc -l; }
has_done() { [ "$(calls_with done)" -ge "$1" ]; }

# Waits for that many more calls that were done.
wait_for_more() { wait_until "$1 more calls" has_done $(($(calls_with done) + $1)); }

stop_callers() {
    touch "$fleet_dir/stop"
    wait "${callers[@]}"
}

# Judges every call by the records that survive: done is there once, not run is not there, nothing is there twice.
check_calls() {
    state_section records >"$fleet_dir/records.txt"
    cat "$fleet_dir"/calls-*.txt >"$fleet_dir/calls.txt"
    awk -v verdicts="$fleet_dir/verdicts.txt" '
        NR == FNR { value[$1] = $2; next }
        { ++count[$2] }
        $2 == "done" && !($1 in value) { print "lost: " $1 }
        $2 == "not_run" && $1 in value { print "refused as not run, but ran: " $1 }
        $1 in value && value[$1] != 1 { print "ran " value[$1] " times: " $1 }
        END { for (it in count) printf "%s %d, ", it, count[it] > verdicts }
    ' "$fleet_dir/records.txt" "$fleet_dir/calls.txt" >"$fleet_dir/faults.txt"
    echo "calls: $(sed 's/, $//' "$fleet_dir/verdicts.txt")"
    [ -s "$fleet_dir/faults.txt" ] && fail "$(cat "$fleet_dir/faults.txt")"
    [ "$(calls_with unanswered)" -eq 0 ] || fail "$(calls_with unanswered) calls had no answer from any daemon"
    [ "$(calls_with done)" -gt 0 ] || fail "no call was done"
}
