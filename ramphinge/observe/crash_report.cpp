// Handler of fatal signals: see crash_report.h.

#include "ramphinge/observe/crash_report.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstring>
#include <ctime>

#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <ucontext.h>
#include <unistd.h>

#include "ramphinge/base/process_status.h"

namespace ramphinge {

namespace {

constexpr std::array<int, 5> fatalSignals { SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT };
// A multiple of what the handler needs; its stack walk takes some 6 KB.
constexpr std::size_t handlerStackBytes = 64 * 1024;
constexpr std::size_t lineBytes = 4096; // PIPE_BUF: a pipe that is ready takes it in one write.
constexpr std::size_t maxFrames = 48;
// How long each of the two lines waits for a slow reader of the log.
constexpr int maxWaitMilliseconds = 500;
constexpr std::size_t nameBytes = 128; // Longer names of daemons are truncated.
constexpr unsigned int hexDigits = 16;

// Data and buffers set up in advance, as a signal handler can neither look them up nor allocate.
struct HandlerData
{
    std::array<char, nameBytes> daemon {};
    std::uintptr_t programBegin = 0;
    std::uintptr_t programEnd = 0;
    std::array<char, lineBytes> line {};
    alignas(16) std::array<char, handlerStackBytes> stack {};
};

HandlerData &handlerData()
{
    static HandlerData data;
    return data;
}

// Writes text into a fixed buffer and truncates what doesn't fit. Async-signal-safe.
class LineWriter
{
public:
    LineWriter(char *buffer, std::size_t size) : m_buffer(buffer), m_size(size) { }

    LineWriter &text(const char *text)
    {
        for (; *text != '\0'; ++text)
            put(*text);
        return *this;
    }

    // Replaces characters that JSON would have to escape, and non-ASCII ones, by '?'.
    LineWriter &quoted(const char *text)
    {
        put('"');
        for (; *text != '\0'; ++text) {
            const bool isPlain = *text >= ' ' && *text < '\x7f' && *text != '"' && *text != '\\';
            put(isPlain ? *text : '?');
        }
        put('"');
        return *this;
    }

    LineWriter &number(std::int64_t value)
    {
        if (value < 0)
            put('-');
        const auto magnitude = static_cast<std::uint64_t>(value);
        digits(value < 0 ? ~magnitude + 1 : magnitude, 10);
        return *this;
    }

    LineWriter &address(std::uintptr_t value)
    {
        text("\"0x");
        digits(value, hexDigits);
        put('"');
        return *this;
    }

    std::size_t length() const { return m_length; }

private:
    void put(char c)
    {
        if (m_length < m_size)
            m_buffer[m_length++] = c;
    }

    void digits(std::uint64_t value, unsigned int base)
    {
        std::array<char, 20> reversed {};
        std::size_t count = 0;
        do {
            reversed[count++] = "0123456789abcdef"[value % base];
            value /= base;
        } while (value > 0);
        while (count > 0)
            put(reversed[--count]);
    }

    char *m_buffer;
    std::size_t m_size;
    std::size_t m_length = 0;
};

std::uintptr_t offsetInProgram(std::uintptr_t address)
{
    const HandlerData &data = handlerData();
    const bool isInside = address >= data.programBegin && address < data.programEnd;
    return isInside ? address - data.programBegin : address;
}

std::uintptr_t instructionOf(const void *context)
{
#if defined(__x86_64__)
    const auto *state = static_cast<const ucontext_t *>(context);
    return static_cast<std::uintptr_t>(state->uc_mcontext.gregs[REG_RIP]);
#else
    static_cast<void>(context);
    return 0;
#endif
}

// Returns standard output (the log) if it has room, else standard error; -1 if neither has room in
// time.
int outputWithRoom()
{
    std::array<pollfd, 2> outputs { { { STDOUT_FILENO, POLLOUT, 0 },
                                      { STDERR_FILENO, POLLOUT, 0 } } };
    poll(outputs.data(), outputs.size(), maxWaitMilliseconds);
    for (const pollfd &output : outputs) {
        if ((output.revents & POLLOUT) != 0)
            return output.fd;
    }
    return -1;
}

// Drops the line if no output has room: a crashed process that waited here would keep its port open
// and its callers waiting.
void writeLine(const char *line, std::size_t length)
{
    const int output = outputWithRoom();
    if (output < 0)
        return;
    const ssize_t written = write(output, line, length);
    static_cast<void>(written); // A failed write can't be reported anywhere.
}

void handleFatalSignal(int signal, siginfo_t *info, void *context)
{
    HandlerData &data = handlerData();
    const ProcessStatus &marks = processStatus();
    timespec now {};
    clock_gettime(CLOCK_REALTIME, &now);
    CrashFacts facts;
    facts.daemon = data.daemon.data();
    facts.unixMilliseconds = now.tv_sec * 1000 + now.tv_nsec / 1'000'000;
    facts.signal = signal;
    facts.code = info->si_code;
    const bool isFault = info->si_code > 0; // Raised by the kernel, not by kill() or raise().
    if (isFault && (signal == SIGSEGV || signal == SIGBUS))
        facts.address = reinterpret_cast<std::uintptr_t>(info->si_addr);
    facts.instruction = offsetInProgram(instructionOf(context));
    facts.coroutines = marks.coroutines.load(std::memory_order_relaxed);
    facts.openRequests = marks.openRequests.load(std::memory_order_relaxed);
    facts.lastDecision = marks.lastDecision.load(std::memory_order_relaxed);
    writeLine(data.line.data(), formatCrashLine(facts, data.line.data(), data.line.size()));

    std::array<void *, maxFrames> calls {};
    const int found = backtrace(calls.data(), static_cast<int>(calls.size()));
    std::array<std::uintptr_t, maxFrames> frames {};
    for (int i = 0; i < found; ++i)
        frames[i] = offsetInProgram(reinterpret_cast<std::uintptr_t>(calls[i]));
    const std::size_t length = formatCrashFrames(data.daemon.data(), frames.data(), found,
                                                 data.line.data(), data.line.size());
    writeLine(data.line.data(), length);
    // The signal is blocked while the handler runs. On return it ends the process, as SA_RESETHAND
    // has restored the default action.
    raise(signal);
}

int recordProgramRange(dl_phdr_info *object, std::size_t, void *)
{
    HandlerData &data = handlerData();
    data.programBegin = object->dlpi_addr;
    for (int i = 0; i < object->dlpi_phnum; ++i) {
        const auto &segment = object->dlpi_phdr[i];
        if (segment.p_type == PT_LOAD)
            data.programEnd = std::max<std::uintptr_t>(
                data.programEnd, object->dlpi_addr + segment.p_vaddr + segment.p_memsz);
    }
    return 1; // The first object is the program itself.
}

} // namespace

std::size_t formatCrashLine(const CrashFacts &facts, char *buffer, std::size_t size)
{
    LineWriter line(buffer, size);
    line.text("{\"message\":\"crashed\",\"level\":\"FATAL\",\"part\":\"daemon\",\"daemon\":");
    line.quoted(facts.daemon).text(",\"ms\":").number(facts.unixMilliseconds);
    line.text(",\"signal\":").number(facts.signal).text(",\"code\":").number(facts.code);
    line.text(",\"address\":").address(facts.address);
    line.text(",\"instruction\":").address(facts.instruction);
    line.text(",\"coroutines\":").number(facts.coroutines);
    line.text(",\"open_requests\":").number(facts.openRequests);
    line.text(",\"last_decision\":").quoted(facts.lastDecision).text("}\n");
    return line.length();
}

std::size_t formatCrashFrames(const char *daemon, const std::uintptr_t *frames, std::size_t count,
                              char *buffer, std::size_t size)
{
    LineWriter line(buffer, size);
    line.text("{\"message\":\"crash_frames\",\"level\":\"FATAL\",\"part\":\"daemon\",\"daemon\":");
    line.quoted(daemon).text(",\"frames\":[");
    for (std::size_t i = 0; i < count; ++i)
        line.text(i == 0 ? "" : ",").address(frames[i]);
    line.text("]}\n");
    return line.length();
}

void installCrashReport(const DaemonId &daemon)
{
    HandlerData &data = handlerData();
    const std::size_t length = std::min(daemon.text().size(), data.daemon.size() - 1);
    std::memcpy(data.daemon.data(), daemon.text().data(), length);
    dl_iterate_phdr(recordProgramRange, nullptr);
    // The first call of backtrace() loads a library, which a signal handler must not do.
    std::array<void *, 1> loaded {};
    backtrace(loaded.data(), static_cast<int>(loaded.size()));
    processStatus();

    stack_t stack {};
    stack.ss_sp = data.stack.data();
    stack.ss_size = data.stack.size();
    sigaltstack(&stack, nullptr);
    struct sigaction action = {};
    action.sa_sigaction = handleFatalSignal;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_RESETHAND;
    sigemptyset(&action.sa_mask);
    for (const int signal : fatalSignals)
        sigaction(signal, &action, nullptr);
}

} // namespace ramphinge
