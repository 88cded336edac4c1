#!/usr/bin/env bash
# Installs, builds, and shows the main job on stand-ins: two zones of daemons form replicas that span
# hosts, serve streamed requests of two client accounts, survive a lost host, and stop gracefully.
# Ends by itself with status 0 and leaves no process behind.
set -euo pipefail
cd "$(dirname "$0")/.."
./tools/build.sh >/dev/null
build=${BUILD:-build}
run=$(mktemp -d)
source tools/lib/fleet.sh
trap 'fleet_stop; rm -rf "$run"' EXIT

say() { printf '\n== %s\n' "$*"; }

say "starting the platform, 2 zones x 5 engine hosts, 2 services, 4 daemons (all stand-ins local)"
fleet_config zones="north south" daemons=2 hosts=5 services=1 base=21000 engine="--token-us 3000"
fleet_start

say "applying a configuration: model chat@v1, 2 replicas of 2 hosts in each zone, 2 client accounts"
fleet_configuration 2 2 >"$run/config.json"
ctl validate "$run/config.json"
ctl apply "$run/config.json" | tail -1
wait_for "4 ready replicas" replicas_ready 4
wait_for "open callers' ports" all_serving
ctl status

say "a streamed answer for the account school, through $(caller_of 0)"
curl -sN -H 'Authorization: Bearer school-key' -d \
    '{"model":"chat","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"When is the deadline?"}]}' \
    "http://$(caller_of 0)/v1/chat/completions"

say "an unrepeatable call, tried twice with one key through two daemons: it runs once"
key=$(curl -s -X POST -H 'Authorization: Bearer app-key' "http://$(caller_of 0)/v1/idempotency-keys" | jq -r .key)
for i in 0 3; do
    curl -s -i -X POST -H 'Authorization: Bearer app-key' -H "Idempotency-Key: $key" \
        -d 'enrol' "http://$(caller_of $i)/records/receipts" | grep -iE '^HTTP|replayed|ran'
done
echo "executions at the service: $(grep -c "$key" "$run/executions.jsonl")"

say "200 requests of both accounts while an engine host is killed"
"$build/ramphinge-load" --target "$(fleet_callers)" --key school-key --rate 25 --seconds 4 --tokens 30 \
    --tries 3 >"$run/school.json" &
load1=$!
"$build/ramphinge-load" --target "$(fleet_callers)" --key app-key --rate 25 --seconds 4 --tokens 30 \
    --seed 2 --tries 3 >"$run/app.json" &
load2=$!
sleep 1.5
victim=$(ctl --json status | jq -r '[.[].status.plans.north.replicas[]][0].hosts[0]')
fleet_signal KILL "$victim"
echo "killed $victim"
wait $load1 && wait $load2
jq -c '{account:"school", sent, verdicts, first_token_ms}' "$run/school.json"
jq -c '{account:"app", sent, verdicts, first_token_ms}' "$run/app.json"
wait_for "4 ready replicas again" replicas_ready 4
ctl status | sed -n '/REPLICA/,$p'

say "graceful shutdown of one daemon with a stream open"
curl -sN -H 'Authorization: Bearer school-key' -d \
    '{"model":"chat","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"long"}]}' \
    "http://$(caller_of 1)/v1/chat/completions" >"$run/stream.txt" &
stream=$!
sleep 0.3
fleet_signal TERM north-d1
wait $stream
set +e
wait "${fleet_pids[north-d1]}"
code=$?
set -e
echo "stream: $(grep -c '^id: ' "$run/stream.txt") of 400 tokens, ended by $(tail -2 "$run/stream.txt" | head -1); daemon's exit code $code"

say "what happened to the killed host, over all daemons"
ctl timeline "$victim" 2>/dev/null | tail -8
[ "$code" = 0 ]
