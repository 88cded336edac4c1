#!/usr/bin/env bash
# Counts what control costs at several sizes of the fleet: calls on the platform, processor time, memory
# and bytes of each daemon, idle but for its control work. Prints CSV: one row a size.
#   tools/bench-fleet.sh [DAEMONS-PER-ZONE...]   (three zones; default 2 4 8 16)
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
run=$(mktemp -d)
source tools/lib/fleet.sh
trap 'fleet_stop 2>/dev/null; rm -rf "$run"' EXIT
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(2 4 8 16)
span=20

calls() { curl -s "http://$platform/counters" -X POST -d '{}' | jq .calls; }
ticks() { local t=0 p; for p in "${daemon_pids[@]}"; do t=$((t + $(awk '{print $14 + $15}' "/proc/$p/stat"))); done; echo $t; }
bytes() { ctl --json status | jq '[.[].status.controlBytes | .peersOut + .peersIn + .probes] | add'; }

echo "daemons,hosts,calls_per_s,calls_per_s_per_daemon,cpu_percent_per_daemon,rss_mb_per_daemon,control_bytes_per_s_per_daemon,change_in_force_ms"
for size in "${sizes[@]}"; do
    fleet_config zones="a b c" daemons="$size" hosts=6 services=0 base=15500 \
        engine="--load-ms 0" settings='{"enginesHonourFencing":true,"timelineFile":""}'
    fleet_start
    fleet_configuration 3 2 >"$run/config.json"
    ctl apply "$run/config.json" >/dev/null
    wait_for replicas replicas_ready 9
    daemon_pids=()
    for zone in "${zone_list[@]}"; do
        for ((n = 0; n < size; ++n)); do daemon_pids+=("${fleet_pids[$zone-d$n]}"); done
    done
    sleep 3
    count=$((3 * size))
    c0=$(calls) t0=$(ticks) b0=$(bytes)
    sleep $span
    c1=$(calls) t1=$(ticks) b1=$(bytes)
    rss=0
    for p in "${daemon_pids[@]}"; do rss=$((rss + $(awk '/VmRSS/ {print $2}' "/proc/$p/status"))); done
    worst=0
    for share in 1001 1002 1003 1004 1005 1006 1007 1008 1009 1010; do
        jq --argjson s $share '.accounts[1].parameters={tokens:$s}' "$run/config.json" >"$run/c.json"
        ms=$(ctl --json apply "$run/c.json" | jq '.inForceMs')
        worst=$(jq -n --argjson a "$worst" --argjson b "$ms" '[$a, $b] | max')
    done
    jq -nr --argjson n $count --argjson calls $((c1 - c0)) --argjson ticks $((t1 - t0)) \
        --argjson bytes $((b1 - b0)) --argjson rss $rss --argjson span $span --argjson worst "$worst" '
        [$n, 18, ($calls / $span), ($calls / $span / $n), ($ticks / $span / $n),
         ($rss / 1024 / $n), ($bytes / $span / $n), $worst] | map(. * 1000 | round / 1000) | @csv'
    fleet_stop 2>/dev/null
done
