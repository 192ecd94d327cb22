#!/usr/bin/env bash
# Installs what is missing, builds, starts stand-ins for the platform and the
# runners and three entry VMs on loopback, sends requests, prints the answers
# and where each stage ran, and stops what it started.
set -euo pipefail
cd "$(dirname "$0")/.."

bash tools/install_dependencies.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build

work=$(mktemp -d)
pids=()

stop_all() {
    if [ "${#pids[@]}" -gt 0 ]; then
        kill -TERM "${pids[@]}" 2>/dev/null || true
        wait "${pids[@]}" 2>/dev/null || true
    fi
    rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: runs a program until the end of the demo.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=("$!")
}

# await_line NAME PATTERN: prints the first line of NAME's output that matches.
await_line() {
    local tries=0
    until grep -m1 -E "$2" "$work/$1.out" 2>/dev/null; do
        tries=$((tries + 1))
        if [ "$tries" -gt 300 ]; then
            echo "$1 did not start; its log:" >&2
            cat "$work/$1.log" >&2
            return 1
        fi
        sleep 0.1
    done
}

port_of() {
    await_line "$1" '^listening' | sed -E 's/.*127\.0\.0\.1:([0-9]+).*/\1/'
}

# add_pool NAME KIND COUNT EXTRA-TOML FLAGS...: starts runners and writes the
# pool's settings with their ports.
domains=(north south east west)
add_pool() {
    local pool=$1 kind=$2 count=$3 extra=$4
    shift 4
    local file="$work/objects/settings/pools/$pool.toml"
    printf 'kind = "%s"\n%s\n' "$kind" "$extra" >"$file"
    for n in $(seq 1 "$count"); do
        local name="$pool-$n"
        start "$name" "build/standins/$kind/buckthornvale_standin_$kind" \
            --name "$name" "$@"
        printf '\n[[runners]]\nname = "%s"\nhost = "127.0.0.1"\nport = %s\nfailure_domain = "%s"\nslots = 4\n' \
            "$name" "$(port_of "$name")" "${domains[$((n % 4))]}" >>"$file"
    done
}

mkdir -p "$work/objects/settings"
cp -r demo/settings/. "$work/objects/settings/"
mkdir -p "$work/objects/settings/pools"
add_pool encoders engine 2 '' --work_ms 5
add_pool retrievers engine 2 '' --work_ms 8
add_pool rerankers engine 2 '' --work_ms 8
add_pool assistants engine 4 'resumes_streams = true' --token_ms 5 \
    --models assistant-small
add_pool bookings service 2 'answers_outcomes = true' --work_ms 10

start platform build/standins/platform/platform_standin \
    --load "$work/objects"
platform=127.0.0.1:$(port_of platform)
echo "platform stand-in on $platform"

http_ports=()
for n in 1 2 3; do
    cat >"$work/vm-$n.toml" <<TOML
vm = "vm-$n"
failure_domain = "${domains[$n]}"
region = "demo"
[platform]
address = "$platform"
[shutdown]
notice_ms = 200
TOML
    start "vm-$n" build/packages/daemon/buckthornvaled \
        --config "$work/vm-$n.toml"
    line=$(await_line "vm-$n" '^listening http')
    http=$(sed -E 's/.*http ([0-9.:]+) .*/\1/' <<<"$line")
    peer=$(sed -E 's/.*peer ([0-9.:]+)$/\1/' <<<"$line")
    http_ports+=("${http##*:}")
    curl -sS -o /dev/null -X POST "http://$platform/vms" -d \
        "{\"id\":\"vm-$n\",\"role\":\"entry\",\"address\":\"$http\",\"peer_address\":\"$peer\",\"failure_domain\":\"${domains[$n]}\",\"state\":\"live\"}"
done

for port in "${http_ports[@]}"; do
    for _ in $(seq 1 200); do
        curl -sf -o /dev/null "http://127.0.0.1:$port/readyz" && break
        sleep 0.1
    done
done
echo "three VMs are ready on ports ${http_ports[*]}"

# send VM PIPELINE ORGANISATION BODY-FIELDS: one request.
send() {
    local port=${http_ports[$(($1 - 1))]}
    curl -sSN -X POST "http://127.0.0.1:$port/v1/pipelines/$2/requests" \
        -H "Authorization: Bearer $3-demo-key" \
        -H 'Content-Type: application/json' \
        -d "{\"organisation\":\"$3\",\"deadline_ms\":4000,$4}"
    echo
}

echo
echo "== a four-stage request, whole answer, on VM 1"
send 1 answer clearers \
    '"rank":"urgent","input":{"question":"when is the green to be cleared?"}'
echo
echo "== the same pipeline streamed, on VM 2"
send 2 answer clearers \
    '"rank":"standard","stream":true,"input":{"question":"draft the spring round"}'
now=$(date +%s%3N)
key="demo-$now"
echo
echo "== a booking on VM 1, then sent again with its key on VM 3"
booking="\"rank\":\"urgent\",\"idempotency_key\":\"$key\",\"issued_at_ms\":$now,\"input\":{\"round\":7}"
send 1 booking grinders "$booking"
send 3 booking grinders "$booking"
echo
echo "== the outcome of that key, asked on VM 2"
curl -sS -H "Authorization: Bearer grinders-demo-key" \
    "http://127.0.0.1:${http_ports[1]}/v1/outcomes/$key?organisation=grinders&issued_at_ms=$now"
echo
echo
echo "== a wrong key is refused and was not run"
send 2 answer nobody '"rank":"urgent","input":1'
