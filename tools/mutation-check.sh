#!/usr/bin/env bash
# Shows that each mechanism's test fails without the mechanism: takes one out in a scratch copy, builds
# the test that guards it, and expects it to fail. Prints a row for each. Takes some minutes.
set -uo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$scratch"
cd "$scratch"
cmake -S . -B build -G Ninja >/dev/null

only=${1:-} # A part of a row's name: run just those rows.
survived=0
mutant() { # NAME FILE TEST OLD NEW
    local name=$1 file=$2 test=$3 old=$4 new=$5
    [[ "$name" == *"$only"* ]] || return 0
    cp "$file" original.txt
    OLD=$old NEW=$new perl -0pi -e 'BEGIN{$o=$ENV{OLD};$n=$ENV{NEW}} s/\Q$o\E/$n/' "$file"
    if cmp -s "$file" original.txt; then
        printf 'NOT APPLIED  %-10s %s\n' "$test" "$name"
        survived=1
        return
    fi
    if ! cmake --build build --target "${test}_test" >build.log 2>&1; then
        printf 'NO BUILD     %-10s %s\n' "$test" "$name"
        survived=1
    elif RC_PARAMS="seed=2026 max_success=2000" timeout 120 "build/${test}_test" >test.log 2>&1 </dev/null; then
        printf 'SURVIVED     %-10s %s\n' "$test" "$name"
        survived=1
    else
        printf 'killed       %-10s %s\n' "$test" "$name"
    fi
    cp original.txt "$file"
}

mutant "a new owner vouches for old keys" ramphinge/claims/claim_table.cpp claims \
    'stamp->createdAt <= m_soleOwnerSince + 2 * skew' 'false'
mutant "keys from the future are granted" ramphinge/claims/claim_table.cpp claims \
    'return !isFromTheFuture && ' 'return '
mutant "forgetting does not raise what is vouched for" ramphinge/claims/claim_table.cpp claims \
    'm_soleOwnerSince = std::max(m_soleOwnerSince, oldest.record.at);' ''
mutant "a late word of another try frees a key" ramphinge/claims/claim_table.cpp claims \
    '    if (isOtherAttempt)
        return;' ''
mutant "a replica is ready before all hosts confirm" ramphinge/replicas/planner.cpp replicas \
    'planned.phase == ReplicaPhase::Forming && allConfirm(planned)' 'planned.phase == ReplicaPhase::Forming'
mutant "a contradicted replica stays ready" ramphinge/replicas/planner.cpp replicas \
    'if (hasMissingHost(planned) || contradicted)' 'if (hasMissingHost(planned))'
mutant "a re-formed replica keeps its epoch" ramphinge/replicas/planner.cpp replicas \
    'planned.epoch = m_nextEpoch;' ''
mutant "hosts of a draining replica are taken while busy" ramphinge/replicas/planner.cpp replicas \
    'return head == nullptr || head->idle || head->replica != planned.replica;' 'return true;'
mutant "a lapsed daemon serves without half of its zone" ramphinge/membership/serving_gate.cpp membership \
    'unregistered > 0 && 2 * unregistered >= input.roster.daemons.size()' 'unregistered > 0'
mutant "old words of peers are believed" ramphinge/membership/serving_gate.cpp membership \
    'input.now - peer.heardAt < options.promise' 'true'
mutant "a cut-off zone serves what its daemon happens to have" ramphinge/membership/serving_gate.cpp membership \
    'std::max(peer.configVersion, peer.preparedVersion) > newestVersion' 'false'
mutant "a confirmed change is forgotten when cut off" ramphinge/membership/serving_gate.cpp membership \
    'const bool undecided = input.preparedVersion > input.configVersion;' 'const bool undecided = false;'
mutant "a lease is renewed after its term" ramphinge/control/registrar.cpp control \
    'if (!m_state.term.mayAct(sentAt)) {' 'if (false) {'
mutant "a late renewal counts" ramphinge/control/registrar.cpp control \
    'if (!m_state.term.mayAct(m_clock.now())) {' 'if (false) {'
mutant "no promise before registering again" ramphinge/control/registrar.cpp control \
    'if (now < m_mayRegisterFrom) {' 'if (false) {'
mutant "slots are taken over without a majority" ramphinge/control/slot_keeper.cpp control \
    '!presence.ok() || !presence.value().hasMajority()' '!presence.ok()'
mutant "a slot won back counts as never lost, whoever reigned" ramphinge/control/slot_keeper.cpp control \
    'if (last.number > 0)
        reign.soleOwnerSince = m_clock.wallNow();' ''
mutant "a copy that the record does not name is adopted" ramphinge/control/slot_keeper.cpp control \
    '&& last.copyAt == m_options.daemon && last.copyIncarnation == m_options.incarnation' ''
mutant "a copy of another reign takes grants" ramphinge/control/claim_owner.cpp control \
    'received == m_received.end() || received->second.reign != grant.reign' 'received == m_received.end()'
mutant "a change is accepted without all confirmations" ramphinge/control/config_changer.cpp control \
    'if (still.empty() && refusal.empty())' 'if (refusal.empty())'
mutant "a change needs no majority" ramphinge/control/config_changer.cpp control \
    'if (!presence.value().hasMajority()) {' 'if (false) {'
mutant "an abandoned number is used again" ramphinge/config/accepted.cpp control \
    'std::max(before, record.version)' 'before'
mutant "a taken-over account is not asked for" ramphinge/control/config_changer.cpp control \
    'theirs.value().phase != HoldingPhase::There || theirs.value().epoch != taken.epoch' 'false'
mutant "an older state of the key is taken" ramphinge/control/config_holder.cpp control \
    'if (revision <= m_revision)' 'if (false)'
mutant "orders are sent to the lease's very end" ramphinge/control/zone_planner.cpp control \
    'if (!registration.term.mayFinish(now, m_options.orderTimeout))
            return;' ''
mutant "an unsure plan is acted on" ramphinge/control/zone_planner.cpp control \
    'm_planRead = written.ok();
    if (!written.ok())
        return false;' 'm_planRead = true;'
mutant "hosts that ignore fencing are believed at once" ramphinge/control/zone_planner.cpp control \
    'if (m_options.enginesHonourFencing)
        return true;' 'return true;'
mutant "a minority forgets daemons" ramphinge/control/zone_planner.cpp control \
    '!presence.ok() || !presence.value().hasMajority() || !stored.ok()' '!presence.ok() || !stored.ok()'
mutant "repeated tokens are passed on" ramphinge/gateway/sse_relay.cpp gateway \
    'if (id <= m_position)
        return Verdict::Drop;' ''
mutant "gaps are passed over" ramphinge/gateway/sse_relay.cpp gateway \
    'if (id != m_position + 1)
        return Verdict::Broken;' ''
mutant "callers may take the unrepeatable mark off" ramphinge/gateway/caller_request.cpp gateway \
    'common.unrepeatable = unrepeatable || *mark == "true";' 'common.unrepeatable = *mark == "true";'
mutant "idle accounts save up credit" ramphinge/limits/fair_queue.cpp limits \
    'account.finish = std::max(account.finish, m_virtualTime);' ''
mutant "charges are not corrected" ramphinge/limits/fair_queue.cpp limits \
    'account.finish += static_cast<double>((actual - estimate).count()) / account.weight;' ''
mutant "stragglers are ejected without a cap" ramphinge/routing/outliers.cpp routing \
    'if (isOutlier && mayEjectOneMore(alike, now)) {' 'if (isOutlier) {'
mutant "requests sent since the report do not count" ramphinge/routing/replica_table.cpp routing \
    '    ++state.sentSinceReport;' ''
exit $survived
