# Runs the case of a folder. Sourced by the run.sh of each case, which sets
# `number`.
set -euo pipefail
case_folder="$(cd "$(dirname "$0")" && pwd)"
cd "$case_folder/../.."
program="target/review/case$number"
if [ ! -x "$program" ] ||
    [ ! -x target/packages/gateway/buckthornvale-gateway ]; then
    echo "build first: the build line of deploy/system.toml, review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
code=0
FOLDER="$folder" RECORD="$case_folder/record.txt" TROUBLE="${TROUBLE:-1}" \
    timeout --kill-after=5 115 "$program" || code=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$folder"/*.log "$KEEP_LOGS"/
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
