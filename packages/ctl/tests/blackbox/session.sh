#!/usr/bin/env bash
# Runs buckthornvalectl against a platform_standin process. Guards against
# flags, exit codes and a start-up line of the stand-in that only work
# in-process, as in the unit tests.
# Usage: session.sh BUCKTHORNVALECTL PLATFORM_STANDIN
set -uo pipefail

ctl=$1
standin=$2
folder=$(mktemp -d)
standin_pid=
finish() {
    [ -n "$standin_pid" ] && kill "$standin_pid" 2>/dev/null
    rm -rf "$folder"
}
trap finish EXIT

failures=0
# expect CODE TEXT ARGUMENTS...: runs buckthornvalectl and checks that it exits
# with CODE and that its output contains TEXT.
expect() {
    local code=$1 text=$2 output actual
    shift 2
    output=$("$ctl" "$@" 2>&1)
    actual=$?
    if [ "$actual" != "$code" ] || [[ "$output" != *"$text"* ]]; then
        echo "FAILED: $* -> exit $actual, expected $code and '$text'"
        echo "$output"
        failures=$((failures + 1))
    fi
}

mkdir -p "$folder/start/settings/pools" "$folder/new/settings/pools"
cat >"$folder/start/settings/ranks.toml" <<'TOML'
[urgent]
target_ms = 500
[standard]
target_ms = 2000
[background]
target_ms = 60000
TOML
echo 'kind = "service"' >"$folder/start/settings/pools/lookup.toml"
echo 'kind = "engine"' >"$folder/new/settings/pools/writers.toml"

mkfifo "$folder/line"
"$standin" --port 0 --load "$folder/start" >"$folder/line" &
standin_pid=$!
read -r word address <"$folder/line"
if [ "$word" != listening ]; then
    echo "FAILED: the stand-in printed '$word $address'"
    exit 1
fi
platform=--platform=$address

expect 0 "usage: buckthornvalectl" --help
expect 0 "lets a VM finish" drain --help
expect 2 "there is no command" aply
expect 2 "text or json" --output=yaml status
expect 0 "2 files are valid" validate "$folder/start"
expect 0 "0 of 0 changes applied, 2 unchanged" apply "$folder/start" "$platform"
expect 1 '+kind = "engine"' diff "$folder/new" "$platform"
expect 0 "applied settings/pools/writers version" \
    apply "$folder/new" "$platform" --author=mina
expect 0 "mina" history settings/pools/writers "$platform"
expect 0 '"value": "kind = \"engine\"\n"' \
    get settings/pools/writers "$platform" --output=json
expect 8 "no such object" get settings/pools/none "$platform"
expect 8 "lists no entry VM" drain vm-1 "$platform"
echo 'kind = "motor"' >"$folder/new/settings/pools/writers.toml"
expect 3 "engine, service" apply "$folder/new" "$platform"
echo 'kind = "service"' >"$folder/new/settings/pools/writers.toml"
curl -s -d '{"lose_answers":1}' "http://$address/faults" >/dev/null
expect 0 "1 of 1 changes applied" apply "$folder/new" "$platform"
curl -s -d '{"outage":true}' "http://$address/faults" >/dev/null
expect 5 "try again later" apply "$folder/new" "$platform"

kill "$standin_pid"
wait "$standin_pid"
standin_pid=
expect 5 "not_sent" apply "$folder/new" "$platform"
[ "$failures" = 0 ] && echo "passed"
exit "$failures"
