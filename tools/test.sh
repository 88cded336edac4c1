#!/usr/bin/env bash
# Installs, builds, runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
./tools/build.sh
ctest --test-dir "${BUILD:-build}" --output-on-failure ${CTEST_EXCLUDE:+-E "$CTEST_EXCLUDE"}
