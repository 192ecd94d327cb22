#!/usr/bin/env bash
# Sends a fixed number of requests to the demo fleet and writes its error budget
# burn report.
#
#   bash demo/load.sh FOLDER
#
# Writes FOLDER/burn.jsonl (snapshots), FOLDER/burn.json and FOLDER/burn.html.
# Every run sends the same requests: several loops run in parallel, and each
# sends a fixed number of requests in sequence.
set -euo pipefail
if [ "$#" -ne 1 ]; then
    echo "usage: bash demo/load.sh FOLDER" >&2
    exit 2
fi
mkdir -p "$1"
output_dir=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
source demo/fleet.sh

readonly loop_count=6
readonly requests_per_loop=50
readonly request_count=$((loop_count * requests_per_loop))
snapshots=$output_dir/burn.jsonl
# The report would count snapshots of an earlier run as traffic of this run.
if [ -e "$snapshots" ]; then
    echo "$snapshots exists; choose another folder" >&2
    exit 2
fi

build_fleet
start_fleet

ctl() {
    build/packages/ctl/buckthornvalectl --platform "$platform_address" "$@"
}

take_snapshot() {
    if ! ctl report burn --record "$snapshots" \
        >/dev/null 2>"$work_dir/snapshot.log"; then
        cat "$work_dir/snapshot.log" >&2
        return 1
    fi
}

ranks=(urgent standard background)
organisations=(clearers grinders)

# send_loop NUMBER: the rank, organisation and VM of each request depend only on
# the numbers of the loop and the request.
send_loop() {
    local loop=$1 n rank organisation
    for n in $(seq 1 "$requests_per_loop"); do
        rank=${ranks[$(((loop + n) % 3))]}
        organisation=${organisations[$((loop % 2))]}
        send_request "$((n % 3 + 1))" answer "$organisation" \
            "\"rank\":\"$rank\",\"input\":{\"question\":\"round $loop-$n\"}" \
            >>"$work_dir/answers-$loop"
    done
}

echo "sending $request_count requests"
take_snapshot
loop_pids=()
for loop in $(seq 1 "$loop_count"); do
    send_loop "$loop" &
    loop_pids+=("$!")
done
# Add the loops to `pids` while they run, so that a failure of this script stops
# them too.
fleet_pids=("${pids[@]}")
pids+=("${loop_pids[@]}")
# Seconds between snapshots during the load. The VMs report only current counter
# values, so the report needs snapshots.
snapshot_period=1
is_sending() {
    local pid
    for pid in "${loop_pids[@]}"; do
        kill -0 "$pid" 2>/dev/null && return 0
    done
    return 1
}
while is_sending; do
    sleep "$snapshot_period"
    take_snapshot
done
wait "${loop_pids[@]}"
pids=("${fleet_pids[@]}")
take_snapshot

echo "outcomes:"
grep -ohE '"outcome":"[a-z_]+"' "$work_dir"/answers-* | sort | uniq -c
answered=$(cat "$work_dir"/answers-* | grep -c '"outcome":')
if [ "$answered" -ne "$request_count" ]; then
    echo "only $answered of $request_count requests were answered" >&2
    exit 1
fi
ctl report burn --from "$snapshots" --output json >"$output_dir/burn.json"
ctl report burn --from "$snapshots" --html "$output_dir/burn.html"
echo "$(wc -l <"$snapshots") snapshots in $snapshots"
