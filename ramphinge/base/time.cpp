// Clocks: see time.h.

#include "ramphinge/base/time.h"

#include <ctime>

namespace ramphinge {

namespace {
constexpr std::int64_t manualEpochMilliseconds = 1'700'000'000'000;
std::atomic<std::int64_t> skippedNanoseconds { 0 }; // See BootClock::skip().
} // namespace

BootClock::time_point BootClock::now() noexcept
{
    std::timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)
                      + std::chrono::nanoseconds(skippedNanoseconds.load()));
}

void BootClock::skip(Duration step)
{
    skippedNanoseconds += step.count();
}

MonotonicTime SystemClock::now() const
{
    return BootClock::now();
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

WallTime ManualClock::wallNow() const
{
    const auto sinceStart = std::chrono::duration_cast<Milliseconds>(Duration(m_sinceStart.load()));
    return WallTime(Milliseconds(manualEpochMilliseconds) + sinceStart);
}

std::int64_t toUnixMilliseconds(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime fromUnixMilliseconds(std::int64_t milliseconds)
{
    return WallTime(Milliseconds(milliseconds));
}

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(duration)
                                                * factor);
}

double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace ramphinge
