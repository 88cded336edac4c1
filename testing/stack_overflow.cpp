// Runs a coroutine that needs a page more than its stack has, beside others that wait. A daemon
// must end there by a fatal signal; tools/check-stack-guard.sh looks at how this program ends.

#include <cstddef>
#include <cstdio>
#include <string_view>

#include <sys/mman.h>

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

// Makes as many mappings as the system lets a process have (vm.max_map_count): every other page of
// a region gets another protection than its neighbours.
void useUpMappings()
{
    constexpr std::size_t pageBytes = 4096;
    constexpr std::size_t pages = 1 << 20;
    auto *const region = static_cast<char *>(mmap(
        nullptr, pages * pageBytes, PROT_NONE, MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0));
    std::size_t page = 1;
    while (page < pages && mprotect(region + page * pageBytes, pageBytes, PROT_READ) == 0)
        page += 2;
}

void overflow()
{
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
}

void startWithoutMappings()
{
    constexpr int crowd = 1000;
    IoContext io(1);
    Signal done(io);
    int ended = 0;
    useUpMappings();
    for (int i = 0; i < crowd; ++i) {
        spawnCoroutine(io, [&](Yield yield) {
            done.wait(std::chrono::seconds(10), yield);
            ++ended;
        });
    }
    spawnCoroutine(io, [&](Yield) { done.notify(); });
    io.run();
    std::printf("ended: %d of %d\n", ended, crowd);
}

} // namespace

int main(int count, char **arguments)
{
    installCrashReport(DaemonId("overflow"));
    if (count > 1 && std::string_view(arguments[1]) == "mappings")
        startWithoutMappings();
    else
        overflow();
    return 0;
}
