# Starts daemons on the platform's stand-in, on loopback, and talks to them as callers do. Sourced.

platform_root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
platform_bin=${PLATFORM_BIN:-$platform_root/build/platform}
platform_daemon=${PLATFORM_DAEMON:-$platform_bin/parsleypaddled-platform}
platform_standin_options=()
# Called once the ports are chosen and the stand-in runs, before the first daemon starts.
platform_before_daemons() { :; }
# shellcheck source=scripts/lib/fleet.sh
source "$platform_root/scripts/lib/fleet.sh"

# platform_free_base [FIRST]: four ports in a row that nobody listens at, for the tables and three targets.
platform_free_base() {
    local base=$((${1:-21000} + (RANDOM % 1000) * 8)) n
    for n in 0 1 2 3; do
        (exec 3<>"/dev/tcp/127.0.0.1/$((base + n))") 2>/dev/null && { platform_free_base "$@"; return; }
    done
    echo "$base"
}

# Prints the first ports of N different pairs that nobody listens at: the internal ports of a daemon. The other ports are drawn above them.
platform_free_pairs() {
    local count=$1 port
    local -A taken=()
    while [ "$count" -gt 0 ]; do
        port=$((18000 + (RANDOM % 1000) * 2))
        [ -n "${taken[$port]:-}" ] && continue
        (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue
        (exec 3<>"/dev/tcp/127.0.0.1/$((port + 1))") 2>/dev/null && continue
        taken[$port]=yes
        echo "$port"
        count=$((count - 1))
    done
}

# platform_start DAEMONS: the stand-in and that many daemons. Sets platform_port, and caller_ports and ready_ports by daemon.
platform_start() {
    local n
    fleet_dir=$(mktemp -d)
    trap fleet_stop EXIT
    platform_port=$(platform_free_base)
    "$platform_bin/parsleypaddle-platform-standin" --port "$platform_port" "${platform_standin_options[@]}" >"$fleet_dir/standin.log" 2>&1 &
    fleet_pids[standin]=$!
    fleet_wait 50 grep -q ready "$fleet_dir/standin.log" || return 1
    caller_ports=()
    ready_ports=()
    local ports
    mapfile -t ports < <(fleet_free_ports $(($1 * 2)))
    mapfile -t internal_ports < <(platform_free_pairs "$1")
    for ((n = 0; n < $1; n++)); do
        caller_ports+=("${ports[$((n * 2))]}")
        ready_ports+=("${ports[$((n * 2 + 1))]}")
    done
    platform_before_daemons || return 1
    for ((n = 0; n < $1; n++)); do
        platform_start_daemon "$n"
    done
    for ((n = 0; n < $1; n++)); do
        fleet_wait 50 platform_is_ready "$n" || { echo "daemon $n is not ready"; return 1; }
    done
}

# Starts daemon N, or starts it again.
platform_start_daemon() {
    local n=$1
    cat >"$fleet_dir/node-$n.json" <<JSON
{"node-name":"daemon-$n","zone":"zone-one","listen":{"frontend":"127.0.0.1:${caller_ports[$n]}","ready":"127.0.0.1:${ready_ports[$n]}"},
 "internal-port-range":[${internal_ports[$n]},$((internal_ports[n] + 1))],"bounds":{"grace-period-s":6},
 "platform":{"address":"127.0.0.1:$platform_port"},"cloud-api":{"address":"127.0.0.1:$platform_port"}}
JSON
    PARSLEYPADDLE_NODE_FILE="$fleet_dir/node-$n.json" "$platform_daemon" >>"$fleet_dir/daemon-$n.log" 2>&1 &
    fleet_pids[daemon-$n]=$!
}

platform_is_ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://127.0.0.1:${ready_ports[$1]}/readiness")" = 200 ]; }

platform_trouble() { curl -s -m 2 -X POST "http://127.0.0.1:$platform_port/standin/$1" >/dev/null; }

# caller_open DAEMON DATABASE: a session on descriptor 7. The caller gives caller_name for its name.
caller_open() {
    local line
    exec 7<>"/dev/tcp/127.0.0.1/${caller_ports[$1]}" || return 1
    printf 'STARTUP %s %s\r\n' "$2" "${caller_name:-shop}" >&7
    read -r -t 3 -u 7 line && caller_greeting=${line%$'\r'} && [[ $line == READY* ]]
}

caller_close() { exec 7>&-; }

# caller_ask TEXT: prints the answer's lines up to READY, without it.
caller_ask() {
    local line
    printf 'QUERY %s %s\r\n' "$RANDOM$RANDOM" "$1" >&7
    while read -r -t 4 -u 7 line; do
        line=${line%$'\r'}
        [[ $line == READY* ]] && return 0
        echo "$line"
    done
    return 1
}

# platform_ask DAEMON DATABASE TEXT: one statement in a session of its own.
platform_ask() {
    caller_open "$1" "$2" || return 1
    caller_ask "$3"
    caller_close
}

platform_writes() { platform_ask "$1" "$2" "$3" | grep -q '^COMPLETE signed-by-'; }
platform_reads() { platform_ask "$1" "$2" "READ $3" | grep -qx "DATAROW $4"; }
