# Starts a small fleet of real processes on loopback: one database group, the platform and daemons. To be sourced.
# Everything started is ended by its id when the script ends.
set -uo pipefail

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
BUILD=${BUILD:-$ROOT/build}
WORK=$(mktemp -d)
export PARSLEYPADDLE_KEY=end-to-end-key
export PARSLEYPADDLE_KEYS=$'peer end-to-end-key\ntoken t1 end-to-end-token-secret-of-32-bytes\n'
declare -A PIDS=() LISTEN=() CONTROL=() DOMAIN=()
DAEMONS=()
GROUP_CONTROL=
PLATFORM=

stop_all() {
    local name
    for name in "${!PIDS[@]}"; do
        kill -CONT "${PIDS[$name]}" 2>/dev/null
        kill -KILL "${PIDS[$name]}" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$WORK"
}
trap stop_all EXIT

fail() {
    echo "FAILED: $*" >&2
    local log
    for log in "$WORK"/*.log; do
        echo "--- ${log##*/}" >&2
        tail -n 15 "$log" >&2
    done
    exit 1
}

# wait_until DESCRIPTION COMMAND...: tries the command until it succeeds, a bounded number of times.
wait_until() {
    local description=$1 n
    shift
    for ((n = 0; n < 400; n++)); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    fail "$description did not come about"
}

free_port() {
    local port
    while :; do
        port=$((20000 + RANDOM % 12000))
        (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || break
    done
    echo "$port"
}

# start NAME COMMAND...: runs it in the background, output to NAME.log.
start() {
    local name=$1
    shift
    "$@" >"$WORK/$name.log" 2>&1 &
    PIDS[$name]=$!
}

# end NAME SIGNAL: sends a signal and waits until the process is gone. Returns its exit code.
end() {
    local pid=${PIDS[$1]} code
    kill "-$2" "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
    code=$?
    unset "PIDS[$1]"
    return $code
}

# start_group [SERVICE]: the database group; its targets are db-a (the first primary), db-b and db-c.
start_group() {
    {
        echo "database: orders-db"
        echo "service: ${1:-{ slots: 5, connections: 60, connect_time_ms: 10, service_time_ms: 0.2 }}"
        echo "targets:"
        for it in db-a db-b db-c; do
            echo "  - { id: $it, port: 0 }"
        done
    } >"$WORK/group.yaml"
    start group "$BUILD/src/standin_program/parsleypaddle-standin" group --settings "$WORK/group.yaml"
    wait_until "the group's start" grep -q '^ready' "$WORK/group.log"
    GROUP_CONTROL=$(awk '$1 == "control" { print $2 }' "$WORK/group.log")
}

target_address() { awk -v id="$1" '$1 == "target" && $2 == id { print $3 }' "$WORK/group.log"; }

fault() { curl -sf -m 10 -d "$1" "$GROUP_CONTROL/fault" >/dev/null || fail "fault $1 was refused"; }

group_state() { curl -sf -m 10 "$GROUP_CONTROL/state"; }

# state_section NAME: lines "KEY VALUE" of a map in the group's state.
state_section() { group_state | sed -n "/\"$1\" :/,/}/p" | sed -n 's/^[[:space:]]*"\([^"]*\)" : "\{0,1\}\([^",]*\)"\{0,1\},\{0,1\}$/\1 \2/p'; }

start_platform() {
    PLATFORM=127.0.0.1:$(free_port)
    start platform "$BUILD/src/standin_program/parsleypaddle-standin" platform --port "${PLATFORM#*:}"
    wait_until "the platform's start" curl -s -m 5 "$PLATFORM/instances"
}

# start_daemon NAME FAILURE-DOMAIN: a daemon; publish_instances tells the others of it.
start_daemon() {
    local name=$1
    DOMAIN[$name]=$2
    LISTEN[$name]=127.0.0.1:$(free_port)
    CONTROL[$name]=127.0.0.1:$(free_port)
    DAEMONS+=("$name")
    cat >"$WORK/$name.yaml" <<END
instance: $name
failure-domain: $2
listen: { host: 127.0.0.1, port: ${LISTEN[$name]#*:} }
control: { host: 127.0.0.1, port: ${CONTROL[$name]#*:} }
platform: { host: 127.0.0.1, port: ${PLATFORM#*:} }
log-level: ${LOG_LEVEL:-info}
END
    start "$name" "$BUILD/src/daemon/parsleypaddled" --settings "$WORK/$name.yaml"
    wait_until "the start of $name" curl -sf -m 5 "${LISTEN[$name]}/health"
}

publish_instances() {
    local name entries=()
    for name in "${DAEMONS[@]}"; do
        entries+=("{\"instance\": \"$name\", \"failure_domain\": \"${DOMAIN[$name]}\", \"host\": \"127.0.0.1\", \"port\": ${LISTEN[$name]#*:}, \"control_port\": ${CONTROL[$name]#*:}, \"leaving\": false}")
    done
    local IFS=,
    curl -sf -m 10 -d "{\"instances\": [${entries[*]}], \"leaving_targets\": []}" "$PLATFORM/instances" >/dev/null || fail "the instance list was refused"
}

# apply_configuration [SLOTS [CONNECTIONS]]: puts the group and two classes in force on every daemon.
apply_configuration() {
    {
        printf 'classes:\n'
        printf '  - { name: fitting, urgency: urgent, greatest-age: 0ms, deadline: 5s }\n'
        printf '  - { name: history, urgency: deferrable, greatest-age: 10s, deadline: 5s }\n'
        printf 'groups:\n  - database: orders-db\n    slots: %s\n    connections: %s\n    targets:\n' "${1:-5}" "${2:-60}"
        local domains=(plateau almadies yoff) n=0 it address
        for it in db-a db-b db-c; do
            address=$(target_address "$it")
            printf '      - { id: %s, host: %s, port: %s, failure-domain: %s }\n' "$it" "${address%:*}" "${address#*:}" "${domains[n++]}"
        done
    } >"$WORK/fleet.yaml"
    "$BUILD/src/tool/parsleypaddle" config apply "$WORK/fleet.yaml" --base "${BASE:-0}" --daemon "${CONTROL[${DAEMONS[0]}]}" --author end-to-end >"$WORK/apply.log" 2>&1 \
        || fail "the configuration was not put in force: $(cat "$WORK/apply.log")"
}

# start_fleet NUMBER: group, platform and daemons i1, i2, ..., configured and answering.
start_fleet() {
    local domains=(plateau almadies yoff) n name
    start_group
    start_platform
    for ((n = 0; n < $1; n++)); do
        start_daemon "i$((n + 1))" "${domains[n % 3]}"
    done
    publish_instances
    apply_configuration
    for name in "${DAEMONS[@]}"; do
        wait_until "the first write through $name" is_done increment "$name" "$(new_id "first-$name")" first-write
    done
}

new_id() { echo "$(date +%s%3N)-$1-$RANDOM$RANDOM"; }

# increment DAEMON REQUEST-ID KEY: adds 1 to a record, not repeatable; prints the answer.
increment() {
    curl -s -m "${CALL_LIMIT:-20}" -H 'Content-Type: application/json' "${LISTEN[$1]}/v1/statements" -d "{
        \"version\": 1, \"shop\": \"shop-1\", \"request_id\": \"$2\", \"class\": \"fitting\", \"database\": \"orders-db\", \"mode\": \"write\",
        \"repeatable\": false, \"deadline_ms\": ${DEADLINE:-5000},
        \"statement\": \"UPDATE records SET value = value + \$2 WHERE key = \$1\", \"parameters\": [\"$3\", \"1\"]}"
}

outcome_of() { sed -n 's/.*"outcome"[[:space:]]*:[[:space:]]*"\([a-z_]*\)".*/\1/p' | head -n 1; }
is_done() { [ "$("$@" | outcome_of)" = done ]; }

# caller NUMBER DAEMON...: sends increments one after the other until the file "stop" is there, each under its own key.
# A request that got no answer, or an unknown one, is asked again with its id at the next daemon, 10 times at most.
# Writes lines "KEY OUTCOME"; the outcome is "unanswered" when no daemon answered.
caller() {
    local number=$1 n=0 try key id outcome
    shift
    local daemons=("$@")
    while [ ! -e "$WORK/stop" ]; do
        n=$((n + 1))
        key="c$number-$n"
        id=$(new_id "$key")
        outcome=
        for ((try = 0; try < 10; try++)); do
            outcome=$(increment "${daemons[(number + try) % ${#daemons[@]}]}" "$id" "$key" | outcome_of)
            [ -n "$outcome" ] && [ "$outcome" != unknown ] && break
        done
        echo "$key ${outcome:-unanswered}" >>"$WORK/calls-$number.txt"
    done
}

# start_callers NUMBER DAEMON...: that many callers at once.
start_callers() {
    local count=$1 n
    shift
    CALLERS=()
    rm -f "$WORK/stop"
    for ((n = 1; n <= count; n++)); do
        : >"$WORK/calls-$n.txt"
        caller "$n" "$@" &
        CALLERS+=($!)
    done
}

calls_with() { cat "$WORK"/calls-*.txt | awk -v outcome="$1" '$2 == outcome' | wc -l; }
has_done() { [ "$(calls_with done)" -ge "$1" ]; }

# Waits for that many more calls that were done.
wait_for_more() { wait_until "$1 more calls" has_done $(($(calls_with done) + $1)); }

stop_callers() {
    touch "$WORK/stop"
    wait "${CALLERS[@]}"
}

# Judges every call by the records that survive: done is there once, not run is not there, nothing is there twice.
check_calls() {
    state_section records >"$WORK/records.txt"
    cat "$WORK"/calls-*.txt >"$WORK/calls.txt"
    awk -v verdicts="$WORK/verdicts.txt" '
        NR == FNR { value[$1] = $2; next }
        { ++count[$2] }
        $2 == "done" && !($1 in value) { print "lost: " $1 }
        $2 == "not_run" && $1 in value { print "refused as not run, but ran: " $1 }
        $1 in value && value[$1] != 1 { print "ran " value[$1] " times: " $1 }
        END { for (it in count) printf "%s %d, ", it, count[it] > verdicts }
    ' "$WORK/records.txt" "$WORK/calls.txt" >"$WORK/faults.txt"
    echo "calls: $(sed 's/, $//' "$WORK/verdicts.txt")"
    [ -s "$WORK/faults.txt" ] && fail "$(cat "$WORK/faults.txt")"
    [ "$(calls_with unanswered)" -eq 0 ] || fail "$(calls_with unanswered) calls had no answer from any daemon"
    [ "$(calls_with done)" -gt 0 ] || fail "no call was done"
}
