#!/usr/bin/env bash
# The test programs of a daemon's request path under the address and undefined-behaviour sanitizers: a use
# of freed memory or an overflow ends them, also where the plain programs pass by luck.
#
#   tools/sanitize.sh [NAME...]     names of tests; those that CI plays if none is given
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/lib/known_red.sh
build=${SANITIZE_BUILD:-build-sanitize}
names=("$@")
[ ${#names[@]} -gt 0 ] || names=(net quarantine dispatch fleet_control platform relay)
log="${TMPDIR:-/tmp}/ramphinge-sanitize.log"
cmake -S . -B "$build" -G Ninja -DRAMPHINGE_SANITIZE=ON >"$log" 2>&1 || { cat "$log"; exit 1; }
cmake --build "$build" -- -j "${JOBS:-$(nproc)}" "${names[@]/%/_test}" >"$log" 2>&1 \
    || { tail -50 "$log"; exit 1; }
# What coroutines hold that wait at the end of a test is not freed, by design: no check for leaks.
export ASAN_OPTIONS=detect_leaks=0:detect_stack_use_after_return=0
export UBSAN_OPTIONS=print_stacktrace=1
pattern=$(IFS='|'; echo "${names[*]}")
run_tests "$build" -j 3 -R "^($pattern)$"
