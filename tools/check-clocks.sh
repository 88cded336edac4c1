#!/usr/bin/env bash
# What decides reads the time from base/time.h alone: its clock goes on while the machine is suspended.
# Fails if another source reads a clock of the system or sets a timer on one that stands still.
set -euo pipefail
cd "$(dirname "$0")/.."
clocks='steady_clock|steady_timer|system_clock|high_resolution_clock|CLOCK_MONOTONIC|CLOCK_REALTIME|gettimeofday'
# The report of a crash dates itself by the one call that a signal's handler may make. Test programs and
# stand-ins decide nothing of the product.
if git grep -nE "$clocks" -- '*.cpp' '*.h' ':!ramphinge/base/time.*' ':!ramphinge/observe/crash_report.cpp' \
    ':!testing'; then
    echo "a clock that stands still while the machine is suspended, or one that can be set: take base/time.h" >&2
    exit 1
fi
