#!/usr/bin/env bash
# A daemon that a fatal signal ends says so: starts one whose store nobody serves, sends it SIGSEGV, and
# looks at its last lines and at how it ended. Ends only the daemon that it started.
#
#   tools/check-crash-report.sh BINARY
set -euo pipefail
binary=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cat >"$folder/daemon.json" <<JSON
{ "fleet": true, "daemon": "d1", "zone": "north", "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0",
  "store": "127.0.0.1:1" }
JSON
"$binary" --settings "$folder/daemon.json" >"$folder/log" 2>&1 &
pid=$!
for _ in $(seq 200); do
    grep -q '"message":"started"' "$folder/log" && break
    sleep 0.05
done
kill -SEGV "$pid"
set +e
wait "$pid"
code=$?
set -e
fail() { echo "$1"; cat "$folder/log"; exit 1; }
segmentation_fault=139 # 128 and the signal's number, as the shell tells it.
[ "$code" = "$segmentation_fault" ] || fail "the daemon ended with status $code, not by the signal"
tail -2 "$folder/log" | head -1 | jq -e '.message == "crashed" and .signal == 11 and .daemon == "d1"
    and .coroutines > 5 and .open_requests == 0' >/dev/null \
    || fail "the last line but one does not tell of the signal"
tail -1 "$folder/log" | jq -e '.message == "crash_frames" and (.frames | length) > 3' >/dev/null \
    || fail "the last line does not tell the calls"
echo "1 passed, 0 failed"
