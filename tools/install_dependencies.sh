#!/usr/bin/env bash
# Installs the packages that the build needs and that are missing.
set -euo pipefail

packages=(
    g++ cmake ninja-build pkg-config ccache curl python3
    libasio-dev libwebsocketpp-dev nlohmann-json3-dev libcpp-httplib-dev
    libabsl-dev libtomlplusplus-dev libgflags-dev liblog4cxx-dev
    libgtest-dev libgmock-dev libbenchmark-dev prometheus-cpp-dev
    libxxhash-dev libhttp-parser-dev libssl-dev libboost-dev libpcg-cpp-dev
)
# Only CI runs the formatter, the linter and libFuzzer.
if [ "${CI:-}" = true ]; then
    packages+=(clang clang-format clang-tidy libfuzzer-14-dev libclang-rt-14-dev)
fi

missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
        "${missing[@]}" >/dev/null
fi
