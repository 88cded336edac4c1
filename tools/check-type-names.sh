#!/usr/bin/env bash
# Fails if two files define types of one name that may be linked together: see check_type_names.py.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -z 'ramphinge/*.h' 'platform/*.h' 'daemon/*.h' 'ctl/*.h' 'testing/*.h' \
    'ramphinge/*.cpp' 'platform/*.cpp' 'daemon/*.cpp' 'ctl/*.cpp' 'testing/*.cpp' \
    | xargs -0 python3 tools/check_type_names.py
