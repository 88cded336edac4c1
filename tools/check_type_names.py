#!/usr/bin/env python3
"""Finds types of one name that are defined twice in what is linked together.

The linker takes one half of each, without a word: a daemon then ended by std::bad_alloc when it first
read a registration. Looks at every type outside of functions, in all named namespaces and in other
types, of headers and sources; and, as names in headers are read without their namespaces, at equal
names of headers in different ones. A source's own types belong into an anonymous namespace, which a
header must not have.

    check_type_names.py FILE...
"""

import re
import sys
from collections import defaultdict
from pathlib import Path

COMMENT_OR_TEXT = re.compile(
    r'//[^\n]*|/\*.*?\*/|R"(\w*)\(.*?\)\1"|"(?:\\.|[^"\\\n])*"|(?<![0-9A-Fa-f])\'(?:\\.|[^\'\\\n])+\'', re.S
)
PREPROCESSOR = re.compile(r"^[ \t]*#(?:[^\n\\]|\\.|\\\n)*", re.M)
TOKEN = re.compile(
    r"\bnamespace\s+(?P<namespace>[\w:]+)\s*\{"
    r"|\bnamespace\s*(?P<anonymous>\{)"
    r"|\b(?:struct|class|union|enum(?:\s+(?:class|struct))?)\s+(?P<type>\w+(?:::\w+)*(?:\s*<[^;{}()]*>)?)"
    r"(?:\s+final)?\s*(?::[^;{}()]*)?\{"
    r"|(?P<open>\{)|(?P<close>\})"
)
ANONYMOUS, OTHER = "(anonymous)", "(other)"


def definitions(text: str):
    """The types outside of functions, as the names of their scopes with their own at the end."""
    text = PREPROCESSOR.sub("", COMMENT_OR_TEXT.sub('""', text))
    scopes: list[str] = []
    for token in TOKEN.finditer(text):
        if token["close"]:
            if scopes:
                scopes.pop()
            continue
        if token["namespace"]:
            scopes.append(token["namespace"])
        elif token["anonymous"]:
            scopes.append(ANONYMOUS)
        elif token["type"]:
            name = re.sub(r"\s+", "", token["type"])
            if OTHER not in scopes:
                yield [*scopes, name]
            scopes.append(name)
        else:
            scopes.append(OTHER)


def main(files: list[str]) -> int:
    qualified: dict[str, set[str]] = defaultdict(set)
    plain: dict[str, set[str]] = defaultdict(set)  # Of headers, at the top level of a namespace.
    found = []
    for file in files:
        for scopes in definitions(Path(file).read_text()):
            is_header = file.endswith(".h")
            if ANONYMOUS in scopes:
                if is_header:
                    found.append(f"{scopes[-1]}: in an anonymous namespace of {file}")
                continue
            qualified["::".join(scopes)].add(file)
            if is_header and all(scope.islower() or "_" in scope for scope in scopes[:-1]):
                plain[scopes[-1]].add(file)
    for name, places in {**plain, **qualified}.items():
        if len(places) > 1:
            found.append(f"{name}: {' and '.join(sorted(places))}")
    if found:
        print("types of one name:")
        print("\n".join(sorted(found)))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
