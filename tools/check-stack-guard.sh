#!/usr/bin/env bash
# A coroutine that needs more than its stack ends the process by SIGSEGV in the page below the stack,
# with a report of where; it writes nothing into what lies beside. Where the process may map nothing more,
# coroutines start all the same: a daemon of some thousands of open streams must not end for that.
#
#   tools/check-stack-guard.sh PROGRAM     (built from testing/stack_overflow.cpp)
set -uo pipefail
log=$(mktemp)
trap 'rm -f "$log"' EXIT
"$1" depth >"$log" 2>&1
code=$?
fail() { echo "$1"; cat "$log"; exit 1; }
segmentation_fault=139 # 128 and the signal's number, as the shell tells it.
[ "$code" = "$segmentation_fault" ] || fail "the program ended with status $code, not by the signal"
grep -q "written beyond the stack" "$log" && fail "the coroutine wrote beyond its stack"
# SEGV_ACCERR: the page is there, and nobody may write to it.
not_permitted=2
tail -2 "$log" | head -1 | jq -e --argjson code "$not_permitted" \
    '.message == "crashed" and .signal == 11 and .code == $code' >/dev/null \
    || fail "the report does not tell of a write into a guard page"
tail -1 "$log" | jq -e '.message == "crash_frames" and (.frames | length) > 10' >/dev/null \
    || fail "the report does not tell the calls"
"$1" mappings >"$log" 2>&1 || fail "coroutines don't start where nothing more can be mapped"
grep -q "ended: 1000 of 1000" "$log" || fail "not all coroutines ran to their end"
echo "2 passed, 0 failed"
