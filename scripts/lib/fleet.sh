# Starts a small fleet on loopback for the demo, the tutorial and the end-to-end tests, and stops what it started.
# Sourced. fleet_start DAEMONS makes a folder with settings, a stand-in group, a stand-in platform and daemons.

fleet_root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
fleet_bin=${FLEET_BIN:-$fleet_root/build/src}
fleet_daemon=$fleet_bin/daemon/parsleypaddled
fleet_tool=$fleet_bin/tool/parsleypaddle
fleet_standin=$fleet_bin/standin_program/parsleypaddle-standin
fleet_key=fleet-peer-key-0123456789
fleet_domains=(sof-a sof-b plv-a pern-a)
# How the stand-in's targets serve, and how many slots and connections the daemons are told that a target has.
fleet_service=${FLEET_SERVICE:-"{ slots: 3, connections: 40, connect_time_ms: 10, service_time_ms: 0.2 }"}
fleet_slots=${FLEET_SLOTS:-3}
fleet_connections=${FLEET_CONNECTIONS:-40}
declare -A fleet_pids=()

fleet_stop() {
    local name
    for name in "${!fleet_pids[@]}"; do
        kill -CONT "${fleet_pids[$name]}" 2>/dev/null || true
        kill "${fleet_pids[$name]}" 2>/dev/null || true
    done
    for name in "${!fleet_pids[@]}"; do
        wait "${fleet_pids[$name]}" 2>/dev/null || true
    done
    fleet_pids=()
    if [ -n "${fleet_dir:-}" ] && [ -z "${FLEET_KEEP:-}" ]; then
        rm -rf "$fleet_dir"
    fi
}

# Prints N different ports that nobody listens at.
fleet_free_ports() {
    local count=$1 port
    local -A taken=()
    while [ "$count" -gt 0 ]; do
        port=$((20000 + RANDOM % 12000))
        [ -n "${taken[$port]:-}" ] && continue
        (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue
        taken[$port]=yes
        echo "$port"
        count=$((count - 1))
    done
}

# Tries a command until it succeeds, at most so many times, a fifth of a second apart.
fleet_wait() {
    local tries=$1
    shift
    while [ "$tries" -gt 0 ]; do
        "$@" >/dev/null 2>&1 && return 0
        tries=$((tries - 1))
        read -r -t 0.2 <> <(:) || true
    done
    return 1
}

fleet_is_ready() { [ "$(curl -s -m 1 "http://127.0.0.1:$1/health")" = ready ]; }
fleet_is_up() { curl -s -m 1 -o /dev/null "http://127.0.0.1:$1$2"; }

fleet_run() {
    local name=$1
    shift
    "$@" >"$fleet_dir/$name.log" 2>&1 &
    fleet_pids[$name]=$!
}

fleet_start_daemon() { fleet_run "$1" "$fleet_daemon" --settings "$fleet_dir/$1.yaml"; }

fleet_write_group() {
    cat >"$fleet_dir/group.yaml" <<EOF
database: orders-1
control_port: $fleet_group_control
service: $fleet_service
targets:
  - { id: orders-1-a, port: ${fleet_targets[0]}, delay_ms: 0.5, apply_lag_ms: 5 }
  - { id: orders-1-b, port: ${fleet_targets[1]}, delay_ms: 0.5, apply_lag_ms: 5 }
  - { id: orders-1-c, port: ${fleet_targets[2]}, delay_ms: 0.5, apply_lag_ms: 5 }
EOF
}

fleet_write_document() {
    cat >"$fleet_dir/fleet.yaml" <<EOF
version: 0
defaults:
  greatest-age: 2s
classes:
  - { name: counter, urgency: urgent, weight: 2, greatest-age: 500ms, deadline: 2s }
  - { name: proofs, urgency: deferrable, greatest-age: 10s, deadline: 5s }
groups:
  - database: orders-1
    slots: $fleet_slots
    connections: $fleet_connections
    targets:
      - { id: orders-1-a, host: 127.0.0.1, port: ${fleet_targets[0]}, failure-domain: sof-a }
      - { id: orders-1-b, host: 127.0.0.1, port: ${fleet_targets[1]}, failure-domain: sof-b }
      - { id: orders-1-c, host: 127.0.0.1, port: ${fleet_targets[2]}, failure-domain: plv-a }
EOF
}

fleet_write_daemon() {
    local n=$1
    cat >"$fleet_dir/i$((n + 1)).yaml" <<EOF
instance: i$((n + 1))
failure-domain: ${fleet_domains[$((n % 4))]}
listen: { host: 127.0.0.1, port: ${fleet_ports[$n]} }
control: { host: 127.0.0.1, port: ${fleet_controls[$n]} }
platform: { host: 127.0.0.1, port: $fleet_platform }
key-file: $fleet_dir/keys.txt
EOF
}

# The platform's list of the daemons whose numbers (from 0) are given.
fleet_list() {
    local n sep=''
    printf '{"leaving_targets":[],"instances":['
    for n in "$@"; do
        printf '%s{"instance":"i%d","failure_domain":"%s","host":"127.0.0.1","port":%d,"control_port":%d,"leaving":false}' \
            "$sep" $((n + 1)) "${fleet_domains[$((n % 4))]}" "${fleet_ports[$n]}" "${fleet_controls[$n]}"
        sep=,
    done
    printf ']}'
}

fleet_start() {
    local daemons=$1 n
    fleet_dir=$(mktemp -d)
    trap fleet_stop EXIT
    mapfile -t fleet_free < <(fleet_free_ports $((5 + 2 * daemons)))
    fleet_platform=${fleet_free[0]}
    fleet_group_control=${fleet_free[1]}
    fleet_targets=("${fleet_free[@]:2:3}")
    fleet_ports=("${fleet_free[@]:5:daemons}")
    fleet_controls=("${fleet_free[@]:$((5 + daemons)):daemons}")
    printf 'peer %s\ntoken k1 token-secret-0123456789\n' "$fleet_key" >"$fleet_dir/keys.txt"
    printf '%s' "$fleet_key" >"$fleet_dir/operator.key"
    fleet_write_group
    fleet_write_document
    fleet_list $(seq 0 $((daemons - 1))) >"$fleet_dir/instances.json"
    fleet_run platform "$fleet_standin" platform --port "$fleet_platform" --instances "$fleet_dir/instances.json"
    fleet_run group "$fleet_standin" group --settings "$fleet_dir/group.yaml"
    fleet_wait 50 fleet_is_up "$fleet_platform" /state || return 1
    fleet_wait 50 fleet_is_up "$fleet_group_control" /state || return 1
    for n in $(seq 0 $((daemons - 1))); do
        fleet_write_daemon "$n"
        fleet_start_daemon "i$((n + 1))"
    done
    for n in $(seq 0 $((daemons - 1))); do
        fleet_wait 50 fleet_is_up "${fleet_ports[$n]}" /health || return 1
    done
}

# The operators' tool, speaking to every daemon of the fleet.
fleet_operate() {
    local it options=()
    for it in "${fleet_controls[@]}"; do
        options+=(--daemon "127.0.0.1:$it")
    done
    "$fleet_tool" "${options[@]}" --key-file "$fleet_dir/operator.key" "$@"
}

# Sends a statement: fleet_ask DAEMON(from 0) MODE REQUEST-ID KEY [VALUE] [further JSON fields]. Prints the answer.
fleet_ask() {
    local n=$1 mode=$2 id=$3 key=$4 value=${5:-} more=${6:-}
    local statement='SELECT value FROM records WHERE key = $1' parameters="[\"$key\"]"
    if [ "$mode" = write ]; then
        statement='INSERT INTO records (key, value) VALUES ($1, $2)'
        parameters="[\"$key\",\"$value\"]"
    fi
    curl -s -m 15 -H 'Content-Type: application/json' "http://127.0.0.1:${fleet_ports[$n]}/v1/statements" -d "{\"version\":1,\"shop\":\"print-shop-7\",
        \"session\":\"clerk-1\",\"request_id\":\"$id\",\"class\":\"counter\",\"database\":\"orders-1\",\"statement\":\"$statement\",
        \"parameters\":$parameters,\"mode\":\"$mode\",\"deadline_ms\":8000 $more}"
}

# A new request id.
fleet_id() { echo "$(date +%s%3N)-$1"; }

# The text of one field of an answer.
fleet_field() { sed -E "s/.*\"$1\":\"?([^\",}]*)\"?[,}].*/\1/"; }

fleet_fault() { curl -s -m 5 "http://127.0.0.1:$fleet_group_control/fault" -d "$1" >/dev/null; }
fleet_state() { curl -s -m 5 "http://127.0.0.1:$fleet_group_control/state"; }
