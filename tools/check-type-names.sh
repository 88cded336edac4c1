#!/usr/bin/env bash
# Two types of one name in the project's namespace make a program of which the linker takes one half of
# each, without a word: a daemon then ended by std::bad_alloc when it first read a registration. Fails if
# a name is defined at the top level of two headers, or of a header and a source file.
set -euo pipefail
cd "$(dirname "$0")/.."
found=$(git ls-files 'ramphinge/*.h' 'platform/*.h' 'daemon/*.h' 'ctl/*.h' 'testing/*.h' \
    | xargs grep -HoE '^(struct|class|enum class) [A-Z][A-Za-z]+$|^(struct|class|enum class) [A-Z][A-Za-z]+ (:|\{)' \
    | sed -E 's/^([^:]*):(struct|class|enum class) ([A-Za-z]+).*/\3 \1/' | sort -u \
    | awk '{ if ($1 == name) print $1 ": " file " and " $2; name = $1; file = $2 }')
[ -z "$found" ] || { echo "types of one name in two headers:"; echo "$found"; exit 1; }
