#!/bin/sh
# Builds the stand-ins of the cases from 4 on, and those of review/lib that they use. They are Python
# scripts that need the standard library only (3.11, for tomllib), so this only checks that they can be
# run. The daemon itself is built by the command in deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 -B -c '
import ast, pathlib, tomllib
for path in sorted(path for folder in ("lib", "5") for path in pathlib.Path(folder).glob("*.py")):
    ast.parse(path.read_text())
    print("ok", path)
'
