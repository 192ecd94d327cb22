#!/usr/bin/env bash
# Runs the linter over all sources with the compile commands of a build folder.
# Usage: lint.sh BUILD [--deep]
set -euo pipefail
cd "$(dirname "$0")/.."

build=$1
options=()
# Paths that the analyzer follows through one function. Without a bound it takes
# three quarters of the whole run, most of it in headers of libraries.
if [ "${2:-}" != --deep ]; then
    for analyzer_arg in -analyzer-config max-nodes=50000; do
        options+=(--extra-arg=-Xclang "--extra-arg=$analyzer_arg")
    done
fi
git ls-files 'packages/*/src/*.cpp' 'platform/src/*.cpp' 'standins/*.cpp' 'bench/*.cpp' |
    xargs -r -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet "${options[@]}" \
        2> >(grep -v ' warnings\? generated' >&2)
