#!/usr/bin/env bash
# Runs clang-tidy on all sources with the compile commands of a build directory.
# Usage: lint.sh BUILD [--deep]
set -euo pipefail
cd "$(dirname "$0")/.."

build=$1
options=()
# Limits how many nodes the static analyzer explores per function. Without a
# limit the analyzer takes three quarters of the run time, mostly in library
# headers. --deep removes the limit.
if [ "${2:-}" != --deep ]; then
    for analyzer_arg in -analyzer-config max-nodes=50000; do
        options+=(--extra-arg=-Xclang "--extra-arg=$analyzer_arg")
    done
fi
git ls-files 'packages/*/src/*.cpp' 'platform/src/*.cpp' 'standins/*.cpp' 'bench/*.cpp' |
    xargs -r -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet "${options[@]}" \
        2> >(grep -v ' warnings\? generated' >&2)
