#!/usr/bin/env bash
# The platform's names live in platform/ alone: fails if another source of the product uses one.
set -euo pipefail
cd "$(dirname "$0")/.."
names='kv-(key|range|watch|txn|lease|keep)|Response-Seal|Prompt-Prefix|Token-Counts|Not-Executed|At-Server|Server-Limit|Server-Leaving'
names="$names|Expected-Instance|Deadline-Milliseconds|Request-Priority|path_prefix|objective_ms|gap_target_ms"
names="$names|cold_remaining_ms|loads_at_once|close_mode|fencing_token|op/config|/ramphinge/(order|report|readiness)"
if git grep -nE "$names" -- '*.cpp' '*.h' ':!platform' ':!testing'; then
    echo "names of the platform outside platform/: translate them there" >&2
    exit 1
fi
echo "platform/: $(git ls-files 'platform/*.cpp' 'platform/*.h' ':!platform/*_test.cpp' | xargs cat | wc -l) lines"
