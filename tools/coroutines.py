#!/usr/bin/env python3
"""What coroutines must keep to, and where to look when one goes on with something that is gone.

  tools/coroutines.py check   fails where a coroutine may wait in a catch block, in a destructor, or
                              by a Yield that is kept (run by CI)
  tools/coroutines.py list    prints every place that may outlive a wait, for reading

The caught exceptions of a program are listed for each thread, and all coroutines of a loop share one.
A wait in a catch block, or in a destructor that runs while an exception unwinds, lets another
coroutine add to that list and take from it: the exception that is freed in the end is the wrong one.
"""

import re
import subprocess
import sys

SOURCES = ["ramphinge/*.cpp", "ramphinge/*.h", "platform/*.cpp", "platform/*.h", "daemon/*.cpp",
           "daemon/*.h", "ctl/*.cpp", "testing/*.cpp", "testing/*.h"]
# Handlers that are kept and called later.
KEPT = re.compile(r"\b(async_\w+|spawnCoroutine|watchCaller|set_\w+_handler|onChange|post|defer|"
                  r"dispatch|keep|delayed_send|delayed_anon_send|set_down_handler)\s*\(")
CAPTURES = re.compile(r"\[((?:&|this|=|\w)[^\[\]\n]*)\]\s*(?:\(|mutable|\{)")


def blank(match):
    return re.sub(r"[^\n]", " ", match.group(0))


def code_of(path):
    """The file's text without comments and literals, all else at its place."""
    text = open(path, encoding="utf-8").read()
    pattern = r"//[^\n]*|/\*.*?\*/|R\"\((?:.|\n)*?\)\"|\"(?:\\.|[^\"\\\n])*\"|'(?:\\.|[^'\\\n])+'"
    return re.sub(pattern, blank, text, flags=re.S)


def body_from(code, start):
    """The block whose brace opens at or after `start`: (begin, end), or None."""
    begin = code.find("{", start)
    depth = 0
    for at in range(begin, len(code)):
        depth += {"{": 1, "}": -1}.get(code[at], 0)
        if depth == 0:
            return begin, at + 1
    return None


def line_of(code, at):
    return code.count("\n", 0, at) + 1


def yields_of(code):
    """A pattern of the names that Yields have in this file."""
    names = set(re.findall(r"\bYield\s*&?\s+(\w+)", code)) | {"yield"}
    return re.compile(r"\b(" + "|".join(sorted(names)) + r")\b")


def forbidden(path, code):
    waits = yields_of(code)
    places = [(match.start(), "catch block") for match in re.finditer(r"\bcatch\s*\(", code)]
    places += [(match.start(), "destructor")
               for match in re.finditer(r"~\w+\(\)\s*(?:noexcept|override|\s)*\{", code)]
    for start, kind in places:
        begin, end = body_from(code, code.find(")", start))
        for wait in waits.finditer(code, begin, end):
            yield f"{path}:{line_of(code, wait.start())}: a wait in a {kind}"
    for member in re.finditer(r"\bYield\s*[&*]?\s+m_\w+", code):
        yield f"{path}:{line_of(code, member.start())}: a Yield that is kept"


def functions_that_wait(code):
    for match in re.finditer(r"\bYield(?:\s*&)?\s+\w+\s*\)\s*(?:const|override|\s)*\{", code):
        span = body_from(code, match.end() - 1)
        if span:
            yield span


def alive_over_a_wait(path, code):
    """References, pointers, iterators and loops that are used on both sides of a wait."""
    waits = yields_of(code)
    local = re.compile(r"(?:&|\*)\s*(\w+)\s*=[^=]|\bauto\s+(\w+)\s*=[^=;]*"
                       r"(?:find|begin|lower_bound|emplace|insert)\s*\(")
    loop = re.compile(r"\bfor\s*\([^;()]*:[^;]*?\)\s*(?=[\w{])")
    for begin, end in functions_that_wait(code):
        for match in local.finditer(code, begin, end):
            name = match.group(1) or match.group(2)
            wait = waits.search(code, match.end(), end)
            used = wait and re.search(rf"\b{name}\b", code[wait.end():end])
            if used:
                yield f"{path}:{line_of(code, match.start())}: {name} is used after a wait"
        for match in loop.finditer(code, begin, end):
            brace = code.find("{", match.end() - 1)
            semicolon = code.find(";", match.end())
            span = body_from(code, brace) if 0 <= brace < semicolon else (match.end(), semicolon)
            if span and waits.search(code, span[0], span[1]):
                yield f"{path}:{line_of(code, match.start())}: a loop over a range waits"


def kept_handlers(path, code):
    for match in KEPT.finditer(code):
        capture = CAPTURES.search(code, match.end(), match.end() + 240)
        if capture:
            what = " ".join(capture.group(1).split())
            yield f"{path}:{line_of(code, match.start())}: {match.group(1)} keeps [{what}]"


def main():
    mode = sys.argv[1] if len(sys.argv) == 2 else ""
    if mode not in ("check", "list"):
        print(__doc__)
        return 2
    listed = subprocess.run(["git", "ls-files", *SOURCES], check=True, capture_output=True,
                            text=True).stdout.split()
    found = []
    for path in listed:
        code = code_of(path)
        found += forbidden(path, code)
        if mode == "list":
            found += kept_handlers(path, code)
            found += alive_over_a_wait(path, code)
    print("\n".join(found), end="\n" if found else "")
    return 1 if mode == "check" and found else 0


if __name__ == "__main__":
    sys.exit(main())
