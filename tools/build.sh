#!/usr/bin/env bash
# Installs and builds. The build folder may be given in BUILD (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
./tools/install.sh
build=${BUILD:-build}
cmake -S . -B "$build" -G Ninja >"${TMPDIR:-/tmp}/ramphinge-cmake.log" 2>&1 \
    || { cat "${TMPDIR:-/tmp}/ramphinge-cmake.log"; exit 1; }
cmake --build "$build" -- -j "${JOBS:-$(nproc)}"
