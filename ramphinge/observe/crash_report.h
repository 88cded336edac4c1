// A last log line when the process is ended by a fatal signal: the signal, the faulting address,
// what the process was at, and the addresses of the calls that led there. The process then ends by
// that signal, as it would have without the report.
//
// The stack that the fault happened on may itself be what is broken (a coroutine's that is too
// small), so the handler runs on a stack of its own, and writes what needs no stack walk first.
//
//   installCrashReport(DaemonId("d1"));
//
// Frames are offsets into the program where they lie in it: `addr2line -e ramphinged -f 0x1234`.

#pragma once

#include <cstddef>
#include <cstdint>

#include "ramphinge/base/ids.h"

namespace ramphinge {

// What is told of a fatal signal. Texts are zero-terminated and of visible ASCII.
struct CrashFacts
{
    const char *daemon = "";
    std::int64_t unixMilliseconds = 0;
    int signal = 0;
    int code = 0; // What the kernel says of the cause: `si_code`.
    std::uintptr_t address = 0; // That was accessed; of SIGSEGV and SIGBUS.
    std::uintptr_t instruction = 0; // Of the program, as an offset; 0 where it isn't known.
    int coroutines = 0;
    int openRequests = 0;
    const char *lastDecision = "";
};

// Writes the facts as one JSON line into `buffer`, cut off at `size`; returns its length. Calls
// nothing that a signal handler may not call.
std::size_t formatCrashLine(const CrashFacts &facts, char *buffer, std::size_t size);

// Writes the calls that led to the fault as a second line, the innermost first.
std::size_t formatCrashFrames(const char *daemon, const std::uintptr_t *frames, std::size_t count,
                              char *buffer, std::size_t size);

// Reports SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT from now on. Call once, on the thread that
// runs the event loop; on other threads the report needs a stack that is sound.
void installCrashReport(const DaemonId &daemon);

} // namespace ramphinge
