// Runs a coroutine that needs a page more than its stack has, beside others that wait. A daemon
// must end there by a fatal signal; tools/check-stack-guard.sh looks at how this program ends.

#include <cstddef>
#include <cstdio>

#include "ramphinge/net/io.h"
#include "ramphinge/observe/crash_report.h"

using namespace ramphinge;

namespace {

constexpr std::size_t stackBytes = 64 * 1024;
constexpr std::size_t frameBytes = 1024;
constexpr std::size_t tooDeep = stackBytes / frameBytes + 4;
constexpr int neighbours = 8;

// Calls itself `depth` times, and writes to `frameBytes` of the stack each time.
[[gnu::noinline]] std::size_t descend(std::size_t depth)
{
    volatile char frame[frameBytes];
    frame[0] = static_cast<char>(depth);
    const std::size_t below = depth == 0 ? 0 : descend(depth - 1);
    return below + static_cast<std::size_t>(frame[0] != 0);
}

} // namespace

int main()
{
    installCrashReport(DaemonId("overflow"));
    IoContext io(1);
    Signal done(io);
    const auto wait = [&](Yield yield) { done.wait(std::chrono::seconds(1), yield); };
    for (int i = 0; i < neighbours; ++i)
        spawnCoroutine(io, wait, stackBytes);
    spawnCoroutine(
        io,
        [&](Yield) {
            std::printf("written beyond the stack: %zu calls\n", descend(tooDeep));
            std::fflush(stdout);
        },
        stackBytes);
    io.run();
    return 0;
}
