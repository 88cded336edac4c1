#!/usr/bin/env bash
# Runs a fleet of real processes under load while faults happen, then judges the history.
#
#   tools/failure-run.sh [--seed N] [--seconds S] [--keep FOLDER] [SCENARIO...]
#
# Scenarios: hosts daemons platform partition isolated planned pairs (default: all). Each lasts about S
# seconds (default 25). Everything ends with the script; load is bounded and stays on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
source tools/lib/fleet.sh

seed=1 seconds=25 keep=
while [ $# -gt 0 ] && [[ $1 == --* ]]; do
    case $1 in
    --seed) seed=$2 ;;
    --seconds) seconds=$2 ;;
    --keep) keep=$2 ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
    esac
    shift 2
done
scenarios=("$@")
[ ${#scenarios[@]} -gt 0 ] || scenarios=(hosts daemons platform partition isolated planned pairs)

scratch=${keep:-$(mktemp -d)}
mkdir -p "$scratch"
operators=()
trap 'kill "${operators[@]}" 2>/dev/null || true; fleet_stop 2>/dev/null; stop_strays; [ -n "$keep" ] || rm -rf "$scratch"' EXIT

# Hosts that a subshell restarted are not in our list.
stop_strays() { pkill -KILL -f "fake-engine --listen 127.0.0.1:$((base / 1000))" 2>/dev/null || true; }

now_us() { echo $(($(date +%s%N) / 1000)); }
note_fault() { echo "{\"kind\":\"$1\",\"target\":\"$2\",\"at_us\":$(now_us)}" >>"$run/faults.jsonl"; }

# Draws a number below $1 into $drawn, from the seed. (No subshell: the sequence must go on.)
RANDOM=$seed
draw() { drawn=$((RANDOM % $1)); }
draw_host() { # into $z and $h, and $name
    draw ${#zone_list[@]}
    z=$drawn
    draw "$hosts"
    h=$drawn name="${zone_list[$z]}-h$drawn"
}
draw_daemon() { # into $z and $n, and $name
    draw ${#zone_list[@]}
    z=$drawn
    draw "$daemons"
    n=$drawn name="${zone_list[$z]}-d$drawn"
}

fault_host_killed() {
    local z h name
    draw_host
    note_fault kill "$name"
    fleet_signal KILL "$name"
    sleep 4
    note_fault start "$name"
    fleet_host_start "$z" "$h"
}
fault_host_frozen() {
    local z h name
    draw_host
    note_fault freeze "$name"
    fleet_signal STOP "$name"
    sleep 3
    note_fault thaw "$name"
    fleet_signal CONT "$name"
}
fault_domain_dark() {
    local z h
    draw ${#zone_list[@]}
    z=$drawn
    for ((h = 0; h < hosts; h += domains)); do
        note_fault kill "${zone_list[$z]}-h$h"
        fleet_signal KILL "${zone_list[$z]}-h$h"
    done
    sleep 4
    for ((h = 0; h < hosts; h += domains)); do
        note_fault start "${zone_list[$z]}-h$h"
        fleet_host_start "$z" "$h"
    done
}
fault_host_leaves() {
    local z h name
    draw_host
    note_fault leave "$name"
    curl -sf -X POST -d "{\"host\":\"$name\",\"leaving\":true}" "http://$platform/members" >/dev/null
    sleep 5
    note_fault stay "$name"
    curl -sf -X POST -d "{\"host\":\"$name\",\"leaving\":false}" "http://$platform/members" >/dev/null
}
fault_daemon_killed() {
    local z n name
    draw_daemon
    fleet_signal KILL "$name"
    sleep 2
    fleet_daemon_start "$z" "$n"
    sleep 5
}
fault_daemon_frozen() { # Long enough for its lease to lapse.
    local z n name
    draw_daemon
    fleet_signal STOP "$name"
    sleep 7
    fleet_signal CONT "$name"
    sleep 2
}
fault_daemon_stopped() {
    local z n name
    draw_daemon
    fleet_signal TERM "$name"
    wait "${fleet_pids[$name]}" || { echo "$name did not stop with status 0" >&2; exit 1; }
    fleet_daemon_start "$z" "$n"
    sleep 4
}
platform_mode() { curl -sf -X POST -d "$1" "http://$platform/faults" >/dev/null; }
fault_platform_down() {
    platform_mode '{"mode":"down"}'
    sleep 7
    platform_mode '{"mode":"up"}'
    sleep 2
}
fault_platform_slow() {
    platform_mode '{"mode":"up","delay_ms":600}'
    sleep 4
    platform_mode '{"mode":"up"}'
}
fault_platform_loses_answers() {
    platform_mode '{"mode":"lose_answers"}'
    sleep 2
    platform_mode '{"mode":"up"}'
    sleep 1
}
# The first zone is cut off from the platform and from the other zones. (Its daemons dial the others',
# so that cutting the paths towards those leaves its own links.)
fault_zone_cut() {
    local z n
    for ((n = 0; n < daemons; ++n)); do fleet_cut "${zone_list[0]}/d$n/platform" true; done
    for z in "${zone_list[@]:1}"; do
        for ((n = 0; n < daemons; ++n)); do fleet_cut "$z/d$n/peers" true; done
    done
    sleep 8
    fleet_cut "" false
    sleep 3
}
fault_daemon_isolated() {
    local z n name
    draw_daemon
    fleet_cut "${zone_list[$z]}/d$n/" true
    sleep 8
    fleet_cut "" false
    sleep 3
}

random_fault() { # of the names given
    local faults=("$@")
    draw $#
    "fault_${faults[$drawn]}"
}

# Two operators change shares at the same time through different daemons, again and again.
operate() { # DAEMON SHARE-BASE
    local i share
    for ((i = 0; i < 1000; ++i)); do
        share=$(($2 + i % 50))
        jq --argjson share "$share" '.accounts[1].parameters = {tokens: $share}' "$run/config.json" \
            >"$run/change-$1.json"
        RAMPHINGE_KEY=$operator_key RAMPHINGE_SERVERS=$(admin_of "$1") timeout 20 \
            "$build/ramphingectl" apply "$run/change-$1.json" >>"$run/operator-$1.log" 2>&1 || true
        sleep 1
    done
}

begin() { # SCENARIO
    run="$scratch/$1-$seed"
    rm -rf "$run"
    fleet_config zones="a b" daemons=3 hosts=6 services=1 domains=2 links=1 \
        base=$((10000 + (seed % 3) * 5500)) engine="--token-us 2000 --fencing ${fencing:-honoured}" \
        settings="{\"enginesHonourFencing\": ${honour:-true}}"
    fleet_start
    fleet_configuration 2 2 >"$run/config.json"
    ctl apply "$run/config.json" >/dev/null
    wait_for "ready replicas" replicas_ready 4
    wait_for "open callers' ports" all_serving
    loads=()
    local common=(--target "$(fleet_callers)" --seconds "$seconds" --seed "$seed" --prefixes 40)
    "$build/ramphinge-load" "${common[@]}" --key school-key --rate 30 --tokens 40 --tries 3 \
        --history "$run/history-stream.jsonl" >"$run/load-stream.json" &
    loads+=($!)
    "$build/ramphinge-load" "${common[@]}" --key app-key --mode service --path /records/receipts \
        --rate 20 --keyed --issued a --tries 5 --history "$run/history-a.jsonl" >"$run/load-a.json" &
    loads+=($!)
    "$build/ramphinge-load" "${common[@]}" --key app-key --mode chat --rate 10 --keyed --issued b \
        --tries 5 --history "$run/history-b.jsonl" >"$run/load-b.json" &
    loads+=($!)
    operators=()
    if [ "$1" != planned ]; then
        operate 0 1000 &
        operators+=($!)
        operate 4 2000 &
        operators+=($!)
    fi
}

finish() { # SCENARIO
    local load options=() name
    for load in "${loads[@]}"; do wait "$load" || true; done
    [ ${#operators[@]} -eq 0 ] || kill "${operators[@]}" 2>/dev/null || true
    [ "$1" = planned ] && options+=(--planned-stops-only)
    wait_for "all daemons to be registered again" all_registered || failed=1
    fleet_stop 2>/dev/null
    stop_strays
    echo "-- $1, seed $seed"
    for name in stream a b; do
        jq -c --arg load "$name" '{load: $load, sent, verdicts, types}' "$run/load-$name.json"
    done
    [ ! -f "$run/operator-0.log" ] || echo "   changes accepted: $(cat "$run"/operator-*.log | grep -c accepted,)"
    "$build/history-check" --run "$run" "${options[@]}" || failed=1
}

failed=0
for scenario in "${scenarios[@]}"; do
    begin "$scenario"
    until_us=$(($(now_us) + (seconds - 6) * 1000000))
    while [ "$(now_us)" -lt "$until_us" ]; do
        sleep 1
        case $scenario in
        hosts) random_fault host_killed host_frozen domain_dark ;;
        daemons) random_fault daemon_killed daemon_frozen ;;
        platform) random_fault platform_down platform_slow platform_loses_answers ;;
        partition) fault_zone_cut ;;
        isolated) fault_daemon_isolated ;;
        planned) random_fault daemon_stopped host_leaves ;;
        pairs)
            # One fault of the daemons or the platform, and one of the hosts in a subshell beside it.
            (random_fault host_killed host_frozen domain_dark) 2>/dev/null &
            pair=$!
            RANDOM=$((RANDOM + 1)) # The subshell drew from a copy.
            random_fault daemon_killed daemon_frozen platform_down platform_loses_answers \
                daemon_isolated zone_cut
            wait $pair || true
            ;;
        *) echo "unknown scenario $scenario" >&2; exit 2 ;;
        esac
    done
    finish "$scenario"
done
exit $failed
