#!/usr/bin/env bash
# Builds the programs that the measurement needs and runs it. Arguments are
# passed to measure.py.
set -euo pipefail
cd "$(dirname "$0")/../.."

cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j4 --target buckthornvaled platform_standin \
    buckthornvale_standin_engine buckthornvale_standin_service load_bench
exec python3 tools/measure/measure.py --build build "$@"
