#!/usr/bin/env bash
# Installs, builds, runs all tests. Those that KNOWN-RED.txt lists may fail; how they ended is printed.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/lib/known_red.sh
check_known_red
./tools/build.sh
run_tests "${BUILD:-build}"
