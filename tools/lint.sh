#!/usr/bin/env bash
# Runs clang-tidy over all sources, or those given. Results are cached by the text that each source
# includes of the project, since a whole run takes minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
[ -f "$build/compile_commands.json" ] || ./tools/build.sh >/dev/null
cache=${XDG_CACHE_HOME:-$HOME/.cache}/ramphinge-lint
mkdir -p "$cache"
export build cache
stamp=$( (cat .clang-tidy; git ls-files '*.h' | sort | xargs cat) | sha256sum | cut -c1-16)
export stamp
lint_one() {
    local key
    key=$(printf '%s %s' "$stamp" "$(sha256sum <"$1")" | sha256sum | cut -c1-32)
    [ -f "$cache/$key" ] && return 0
    clang-tidy --quiet -p "$build" "$1" 2>/dev/null && touch "$cache/$key"
}
export -f lint_one
if [ $# -eq 0 ]; then
    mapfile -t sources < <(git ls-files '*.cpp')
else
    sources=("$@")
fi
printf '%s\n' "${sources[@]}" | xargs -P "${JOBS:-$(nproc)}" -I{} bash -c 'lint_one "$1"' _ {}
