# A small fleet on loopback for demos, measurements and failure runs: the stand-in platform, engine
# hosts, plain services, and daemons. Sourced by other scripts; needs $build and $run (a scratch
# folder). All processes end with fleet_stop, which the sourcing script's exit trap calls.
#
#   fleet_config zones="a b" daemons=2 hosts=4 services=1 base=20000 [engine="..."] [settings='{...}']
#   fleet_start
#   fleet_apply config.json
#   ...
#   fleet_stop

# The demo's only operator key and shared key; real ones come from "ramphingectl new-key".
operator_key=demo-operator-key
shared_key=demo-shared-key-0123456789

declare -A fleet_pids=()

fleet_config() {
    zones="a b" daemons=1 hosts=2 services=1 base=20000 engine="" settings='{}' member_lag=500
    domains=1 links=0
    local assignment
    for assignment in "$@"; do
        printf -v "${assignment%%=*}" '%s' "${assignment#*=}"
    done
    zone_list=($zones)
    platform="127.0.0.1:$base"
    mkdir -p "$run"
}

# Ports must stay below the range that outgoing connections use (32768): base is at most 27000.
# Ports: daemons from base+100 (callers, administration, peers in steps of 1000), hosts from base+500.
daemon_index() { # ZONE_INDEX NUMBER
    echo $(($1 * daemons + $2))
}
caller_of() { echo "127.0.0.1:$((base + 100 + $1))"; }
admin_of() { echo "127.0.0.1:$((base + 1100 + $1))"; }
peer_of() { echo "127.0.0.1:$((base + 2100 + $1))"; }
# With links=1 daemons reach the platform and each other through paths that can be cut, named
# ZONE/DAEMON/platform and ZONE/DAEMON/peers (towards that daemon).
link_control() { echo "127.0.0.1:$((base + 3000))"; }
platform_seen_by() { [ "$links" = 1 ] && echo "127.0.0.1:$((base + 3100 + $1))" || echo "$platform"; }
peers_seen_of() { [ "$links" = 1 ] && echo "127.0.0.1:$((base + 4100 + $1))" || peer_of "$1"; }

fleet_cut() { # PATH-PREFIX true|false
    curl -sf -X POST -d "{\"path\":\"$1\",\"cut\":$2}" "http://$(link_control)/cut" >/dev/null
}
fleet_links_start() {
    local z n i paths=()
    for z in "${!zone_list[@]}"; do
        for ((n = 0; n < daemons; ++n)); do
            i=$(daemon_index "$z" "$n")
            paths+=(--path "${zone_list[$z]}/d$n/platform=$(platform_seen_by "$i")=$platform")
            paths+=(--path "${zone_list[$z]}/d$n/peers=$(peers_seen_of "$i")=$(peer_of "$i")")
        done
    done
    fleet_spawn links "$build/fake-link" --control "$(link_control)" "${paths[@]}"
}

fleet_callers() { # all callers' addresses, comma-separated
    local i all=()
    for ((i = 0; i < ${#zone_list[@]} * daemons; ++i)); do all+=("$(caller_of "$i")"); done
    (IFS=,; echo "${all[*]}")
}
fleet_admins() {
    local i all=()
    for ((i = 0; i < ${#zone_list[@]} * daemons; ++i)); do all+=("$(admin_of "$i")"); done
    (IFS=,; echo "${all[*]}")
}

fleet_spawn() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$run/$name.out" 2>"$run/$name.err" &
    fleet_pids[$name]=$!
}

fleet_signal() { # SIGNAL NAME...
    local signal=$1 name
    shift
    for name in "$@"; do kill "-$signal" "${fleet_pids[$name]}" 2>/dev/null || true; done
}

members_json() {
    local z h s zone
    for z in "${!zone_list[@]}"; do
        zone=${zone_list[$z]}
        for ((h = 0; h < hosts; ++h)); do
            echo "{\"host\":\"$zone-h$h\",\"address\":\"127.0.0.1\",\"port\":$((base + 500 + z * 100 + h)),\"zone\":\"$zone\",\"domain\":\"$zone-d$((h % domains))\",\"kind\":\"engine\"}"
        done
        for ((s = 0; s < services; ++s)); do
            echo "{\"host\":\"$zone-s$s\",\"address\":\"127.0.0.1\",\"port\":$((base + 590 + z * 100 + s)),\"zone\":\"$zone\",\"kind\":\"service\",\"service\":\"records\"}"
        done
    done | jq -s .
}

fleet_host_start() { # ZONE_INDEX NUMBER
    local zone=${zone_list[$1]}
    # shellcheck disable=SC2086
    fleet_spawn "$zone-h$2" "$build/fake-engine" --listen "127.0.0.1:$((base + 500 + $1 * 100 + $2))" \
        --host "$zone-h$2" --log "$run/executions.jsonl" $engine
}
fleet_service_start() { # ZONE_INDEX NUMBER
    local zone=${zone_list[$1]}
    fleet_spawn "$zone-s$2" "$build/fake-service" --listen "127.0.0.1:$((base + 590 + $1 * 100 + $2))" \
        --host "$zone-s$2" --log "$run/executions.jsonl"
}
fleet_daemon_settings() { # ZONE_INDEX NUMBER
    local i
    i=$(daemon_index "$1" "$2")
    jq -n --arg daemon "${zone_list[$1]}-d$2" --arg zone "${zone_list[$1]}" --arg zones "$zones" \
        --arg callers "$(caller_of "$i")" --arg admin "$(admin_of "$i")" --arg peers "$(peer_of "$i")" \
        --arg platform "$(platform_seen_by "$i")" --arg seen "$(peers_seen_of "$i")" --arg key "$shared_key" \
        --arg operator "$(printf %s "$operator_key" | "$build/ramphingectl" hash-key)" \
        --arg timeline "$run/timeline.jsonl" --argjson more "$settings" \
        '{daemon:$daemon, zone:$zone, zones:($zones|split(" ")), callers:$callers,
          administration:$admin, peers:$peers, advertisedPeers:$seen, platform:$platform, sharedKey:$key,
          bootstrapOperatorKeySha256:$operator, timelineFile:$timeline} + $more'
}
fleet_daemon_start() { # ZONE_INDEX NUMBER
    local name="${zone_list[$1]}-d$2"
    fleet_daemon_settings "$1" "$2" >"$run/$name.json"
    fleet_spawn "$name" "$build/ramphinged" --settings "$run/$name.json"
}

fleet_start() {
    local z n
    members_json >"$run/members.json"
    fleet_spawn platform "$build/fake-platform" --listen "$platform" --members "$run/members.json" \
        --member-lag-ms "$member_lag"
    for z in "${!zone_list[@]}"; do
        for ((n = 0; n < hosts; ++n)); do fleet_host_start "$z" "$n"; done
        for ((n = 0; n < services; ++n)); do fleet_service_start "$z" "$n"; done
    done
    [ "$links" = 1 ] && fleet_links_start
    wait_for "the platform" curl -sf -X POST -d '{"mode":"up"}' "http://$platform/faults"
    for z in "${!zone_list[@]}"; do
        for ((n = 0; n < daemons; ++n)); do fleet_daemon_start "$z" "$n"; done
    done
    wait_for "registration of all daemons" all_registered
}

all_serving() { # every daemon's callers' port is open
    local i
    for ((i = 0; i < ${#zone_list[@]} * daemons; ++i)); do
        curl -sf "http://$(caller_of "$i")/health" >/dev/null || return 1
    done
}

wait_for() { # WHAT COMMAND...
    local what=$1 i
    shift
    for ((i = 0; i < 200; ++i)); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "timed out waiting for $what" >&2
    return 1
}

ctl() { # quietly: the fleet's own key and servers
    RAMPHINGE_KEY=$operator_key RAMPHINGE_SERVERS=$(fleet_admins) "$build/ramphingectl" "$@"
}
all_registered() {
    [ "$(ctl --json status | jq '[.[].status.registration] | map(select(. == "registered")) | length')" \
        = $((${#zone_list[@]} * daemons)) ]
}
replicas_ready() { # COUNT
    [ "$(ctl --json status | jq '[.[].status | select(. != null)][0].plans | [.[].replicas[] | select(.phase == "ready")] | length')" = "$1" ]
}

fleet_stop() {
    local name
    for name in "${!fleet_pids[@]}"; do
        kill -CONT "${fleet_pids[$name]}" 2>/dev/null || true
        kill -KILL "${fleet_pids[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    fleet_pids=()
}

# A configuration for the fleet: model chat@v1 with REPLICAS in each zone of HOSTS_PER_REPLICA hosts,
# service records under /records, accounts "school" and "app" with keys school-key and app-key.
fleet_configuration() { # REPLICAS HOSTS_PER_REPLICA [TOKENS_PER_REPLICA]
    local replicas
    replicas=$(jq -n --arg zones "$zones" --argjson n "$1" '[($zones|split(" "))[] | {(.): $n}] | add')
    jq -n --argjson replicas "$replicas" --argjson hosts "$2" --argjson tokens "${3:-10000}" \
        --arg school "$(printf school-key | "$build/ramphingectl" hash-key)" \
        --arg app "$(printf app-key | "$build/ramphingectl" hash-key)" '
        {models:[{name:"chat", version:"v1", hostsPerReplica:$hosts, replicas:$replicas, tokensPerSecond:$tokens}],
         services:[{name:"records", pathPrefix:"/records", unrepeatableMethods:["POST"]}],
         templates:[{name:"standard", parameters:{tokens:1000},
            body:{models:[{model:"chat@v1", tokensPerSecond:"${tokens}"}], services:["records"]}}],
         accounts:[{name:"school", team:"schools", template:"standard", apiKeysSha256:[$school]},
                   {name:"app", team:"apps", template:"standard", apiKeysSha256:[$app]}]}'
}
