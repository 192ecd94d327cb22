# Functions for the demo scripts. They start stand-ins for the platform and the
# runners and three entry VMs on loopback, and stop them when the script exits.
# Source this file from the root of the repository; binaries are run from
# `build`.

work_dir=$(mktemp -d)
pids=()
http_ports=()
platform_address=
failure_domains=(north south east west)

stop_fleet() {
    if [ "${#pids[@]}" -gt 0 ]; then
        kill -TERM "${pids[@]}" 2>/dev/null || true
        wait "${pids[@]}" 2>/dev/null || true
    fi
    rm -rf "$work_dir"
}
trap stop_fleet EXIT

# Builds only the programs that the demos start, because building the tests
# takes much longer.
build_fleet() {
    bash tools/install_dependencies.sh
    cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
    cmake --build build --target buckthornvaled buckthornvalectl \
        platform_standin buckthornvale_standin_engine \
        buckthornvale_standin_service
}

# start_process NAME COMMAND...: starts a program that runs until the script
# exits.
start_process() {
    local name=$1
    shift
    "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.log" &
    pids+=("$!")
}

# await_line NAME PATTERN: waits for a line of NAME's output that matches
# PATTERN and prints it.
await_line() {
    local tries=0
    until grep -m1 -E "$2" "$work_dir/$1.out" 2>/dev/null; do
        tries=$((tries + 1))
        if [ "$tries" -gt 300 ]; then
            echo "$1 did not start; its log:" >&2
            cat "$work_dir/$1.log" >&2
            return 1
        fi
        sleep 0.1
    done
}

port_of() {
    await_line "$1" '^listening' | sed -E 's/.*127\.0\.0\.1:([0-9]+).*/\1/'
}

# add_pool NAME KIND COUNT EXTRA-TOML FLAGS...: starts COUNT runner stand-ins
# and writes the pool settings with their ports.
add_pool() {
    local pool=$1 kind=$2 count=$3 extra=$4
    shift 4
    local file="$work_dir/objects/settings/pools/$pool.toml"
    local n name
    printf 'kind = "%s"\n%s\n' "$kind" "$extra" >"$file"
    for n in $(seq 1 "$count"); do
        name="$pool-$n"
        start_process "$name" "build/standins/$kind/buckthornvale_standin_$kind" \
            --name "$name" "$@"
        printf '\n[[runners]]\nname = "%s"\nhost = "127.0.0.1"\nport = %s\nfailure_domain = "%s"\nslots = 4\n' \
            "$name" "$(port_of "$name")" "${failure_domains[$((n % 4))]}" >>"$file"
    done
}

start_runners() {
    mkdir -p "$work_dir/objects/settings"
    cp -r demo/settings/. "$work_dir/objects/settings/"
    mkdir -p "$work_dir/objects/settings/pools"
    add_pool encoders engine 2 '' --work_ms 5
    add_pool retrievers engine 2 '' --work_ms 8
    add_pool rerankers engine 2 '' --work_ms 8
    add_pool assistants engine 4 'resumes_streams = true' --token_ms 5 \
        --models assistant-small
    add_pool bookings service 2 'answers_outcomes = true' --work_ms 10
}

start_platform() {
    start_process platform build/standins/platform/platform_standin \
        --load "$work_dir/objects"
    platform_address=127.0.0.1:$(port_of platform)
    echo "platform stand-in on $platform_address"
}

# start_vm NUMBER: starts one entry VM and adds it to the platform's list of
# VMs.
start_vm() {
    local n=$1 line http peer
    cat >"$work_dir/vm-$n.toml" <<TOML
vm = "vm-$n"
failure_domain = "${failure_domains[$n]}"
region = "demo"
[platform]
address = "$platform_address"
[shutdown]
notice_ms = 200
TOML
    start_process "vm-$n" build/packages/daemon/buckthornvaled \
        --config "$work_dir/vm-$n.toml"
    line=$(await_line "vm-$n" '^listening http')
    http=$(sed -E 's/.*http ([0-9.:]+) .*/\1/' <<<"$line")
    peer=$(sed -E 's/.*peer ([0-9.:]+)$/\1/' <<<"$line")
    http_ports+=("${http##*:}")
    curl -sS -o /dev/null -X POST "http://$platform_address/vms" -d \
        "{\"id\":\"vm-$n\",\"role\":\"entry\",\"address\":\"$http\",\"peer_address\":\"$peer\",\"failure_domain\":\"${failure_domains[$n]}\",\"state\":\"live\"}"
}

await_ready() {
    local port tries
    for port in "${http_ports[@]}"; do
        tries=0
        until curl -sf -o /dev/null "http://127.0.0.1:$port/readyz"; do
            tries=$((tries + 1))
            if [ "$tries" -gt 200 ]; then
                echo "the VM on port $port did not become ready" >&2
                return 1
            fi
            sleep 0.1
        done
    done
    echo "three VMs are ready on ports ${http_ports[*]}"
}

start_fleet() {
    start_runners
    start_platform
    local n
    for n in 1 2 3; do
        start_vm "$n"
    done
    await_ready
}

# send_request VM PIPELINE ORGANISATION BODY-FIELDS: sends one request and
# prints the response.
send_request() {
    local port=${http_ports[$(($1 - 1))]}
    curl -sSN -X POST "http://127.0.0.1:$port/v1/pipelines/$2/requests" \
        -H "Authorization: Bearer $3-demo-key" \
        -H 'Content-Type: application/json' \
        -d "{\"organisation\":\"$3\",\"deadline_ms\":4000,$4}"
    echo
}
