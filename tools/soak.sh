#!/usr/bin/env bash
# The fault soak: real daemons on loopback, harmed from outside, judged by what callers and servers saw.
#
#   tools/soak.sh                       the seeds that ever failed and a few more, short: what CI plays
#   tools/soak.sh --seeds 1-50,c1-50 --jobs 5 [--keep FOLDER]     longer, by hand
#   tools/soak.sh --seeds fresh:10,cfresh:10 --jobs 5             seeds that nobody has played
# A "c" before a seed: single daemons are cut off, and the rest is calmer. An "r": daemons follow relays,
# and servers start again under their names. A "u": upstreams and callers are unruly (they answer twice,
# in part or too early; leave, pipeline, don't read), and configurations follow each other ten a second.
# An "l": servers limit the rate that they accept from all daemons together.
# A "b": servers ask daemons to back off, leave by their answers alone, or limit their rate.
# A "p": daemons are partitioned from all servers, while callers, the store and other daemons reach them.
# A "q": requests that share a part of their prompts crash each server that runs them, none like another.
# An "s": daemons with little processor time, of which one gets most new connections.
# A "k": kept connections before daemons with little processor time, while configurations grow.
# An "m": servers turn most requests away while daemons start again and again.
# A "t": lists of tenants become empty and come back, and accounts lose all their keys.
# An "n": lists of tenants are left out, and come back without keys while daemons are cut off from the store.
# An "e": servers send bytes without end, in every part of an answer.
# A "w": another writer puts entries into the store that nobody can use.
# An "h": three requests crash each server that runs them and come again at any daemon.
# An "o": requests that may run at most once, at servers that are processes and answer faultily.
# An "x": servers are killed in the middle of answers without a length, a service with one server among them.
# An "a": clients that don't behave, at every port, beside kills, releases and outages of the store.
# Before the courses, in CI, servers that close inside their answers' heads: platform/soak/cut_heads.py, by hand with --step 1.
# And: broken answers (platform/soak/broken_answers.py), requests late in a planned stop (platform/soak/late_requests.py).
set -euo pipefail
cd "$(dirname "$0")/.."
binary=${BUILD:-build}/ramphinged
if [ $# -gt 0 ]; then
    exec python3 platform/soak/soak.py --binary "$binary" "$@"
fi
failed_once=$(grep -oE '^[cruhlbpqsmktnexwoa]?[0-9]+' platform/soak/regressions.txt | paste -sd,)
python3 platform/soak/cut_heads.py --binary "$binary" --step 9
python3 platform/soak/broken_answers.py --binary "$binary" --rounds 1
python3 platform/soak/late_requests.py --binary "$binary"
exec python3 platform/soak/soak.py --binary "$binary" --seeds "1,2,c2,q1,q2,t1,x1,a1,a2,$failed_once" --jobs 3 --seconds 8
