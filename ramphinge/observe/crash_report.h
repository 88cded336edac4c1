// Logs two last lines when a fatal signal ends the process: first the signal, the faulting address
// and the state of the process, then the stack trace. The process then ends by that signal, as it
// would have without the report.
//
// The fault may be an overflow of the stack (of a coroutine, for example), so the handler runs on
// an alternate stack and writes the line that needs no stack walk first.
//
//   installCrashReport(DaemonId("d1"));
//
// Addresses within the program are offsets into it: `addr2line -e ramphinged -f 0x1234`.

#pragma once

#include <cstddef>
#include <cstdint>

#include "ramphinge/base/ids.h"

namespace ramphinge {

// What the report says of a fatal signal. Texts are zero-terminated; characters that JSON would
// have to escape, and non-ASCII ones, are written as '?'.
struct CrashFacts
{
    const char *daemon = "";
    std::int64_t unixMilliseconds = 0;
    int signal = 0;
    int code = 0; // The cause as given by the kernel: `si_code`.
    std::uintptr_t address = 0; // Address whose access failed; SIGSEGV and SIGBUS only.
    std::uintptr_t instruction = 0; // As an offset into the program; 0 if unknown.
    int coroutines = 0;
    int openRequests = 0;
    const char *lastDecision = "";
};

// Writes the facts as one JSON line into `buffer`, truncated at `size`; returns its length.
// Async-signal-safe.
std::size_t formatCrashLine(const CrashFacts &facts, char *buffer, std::size_t size);

// Writes the stack trace as a second line, innermost frame first. Async-signal-safe.
std::size_t formatCrashFrames(const char *daemon, const std::uintptr_t *frames, std::size_t count,
                              char *buffer, std::size_t size);

// Reports SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT from now on. Call once, on the thread that
// runs the event loop: only this thread gets the alternate stack, so that a fault of another thread
// is reported only if its own stack is intact.
void installCrashReport(const DaemonId &daemon);

} // namespace ramphinge
