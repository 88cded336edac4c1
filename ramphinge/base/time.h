// Clocks: monotonic time for decisions, wall time for people and other processes. Decisions take
// their clock as an argument, so that tests control the time. No other source reads a system clock
// (checked by tools/check-clocks.sh).
//
//   const MonotonicTime deadline = clock.now() + std::chrono::seconds(2);
//   if (clock.now() >= deadline)
//       return giveUp();

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace ramphinge {

using Duration = std::chrono::nanoseconds;
using Milliseconds = std::chrono::milliseconds;

// Time since the machine was booted, including suspension. Leases, confirmations of freshness and
// deadlines expire while a machine is suspended, so decisions can't use a clock that stops then, as
// the C++ steady clock does on Linux. A separate type, so that time points of the two clocks can't
// be compared.
class BootClock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std's name

    static time_point now() noexcept;

    // For tests: advances all readings by `step`, as a suspension of the machine does.
    static void skip(Duration step);
};

using MonotonicTime = BootClock::time_point;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

// Source of monotonic and wall time. Implementations must be thread-safe.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual MonotonicTime now() const = 0;
    virtual WallTime wallNow() const = 0;
};

// The machine's clocks.
class SystemClock : public Clock
{
public:
    MonotonicTime now() const override;
    WallTime wallNow() const override;
};

// A clock that advances only on request; for tests and replayed decisions.
class ManualClock : public Clock
{
public:
    MonotonicTime now() const override { return MonotonicTime(Duration(m_sinceStart.load())); }
    WallTime wallNow() const override;

    // Advances both times by `step`, which must not be negative.
    void advance(Duration step) { m_sinceStart += step.count(); }

private:
    std::atomic<std::int64_t> m_sinceStart { 1'000'000'000 };
};

// Milliseconds since the Unix epoch, as wall time is sent between processes.
std::int64_t toUnixMilliseconds(WallTime time);
WallTime fromUnixMilliseconds(std::int64_t milliseconds);

// `duration` times `factor`, rounded toward zero.
Duration scaled(Duration duration, double factor);

// Fractional milliseconds, for reports only.
double toMilliseconds(Duration duration);

} // namespace ramphinge
