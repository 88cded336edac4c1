// Time as types: a monotonic clock for decisions, a wall clock for what people and other processes
// read. Every decision takes its clock as an argument, so a test can own the time. No other source
// reads a clock of the system (tools/check-clocks.sh).
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

// The time since the machine started, in which it was suspended too. A lease, a proof of freshness
// or a deadline goes on while a machine is suspended, so nothing that decides may read a clock that
// stands still meanwhile, as the C++ steady clock does on Linux. A type of its own, so that points
// in time of the two can't be compared.
class BootClock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std's name

    static time_point now() noexcept;

    // For tests: goes on by `step` at once, as over a suspension of the machine.
    static void skip(Duration step);
};

using MonotonicTime = BootClock::time_point;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

// Source of both times. Implementations are safe to call from any thread.
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

// A clock that moves only when told; for tests and replayed decisions.
class ManualClock : public Clock
{
public:
    MonotonicTime now() const override { return MonotonicTime(Duration(m_sinceStart.load())); }
    WallTime wallNow() const override;

    // Moves both times forward by `step`, which must not be negative.
    void advance(Duration step) { m_sinceStart += step.count(); }

private:
    std::atomic<std::int64_t> m_sinceStart { 1'000'000'000 };
};

// Milliseconds since the epoch, the form in which wall time crosses process borders.
std::int64_t toUnixMilliseconds(WallTime time);
WallTime fromUnixMilliseconds(std::int64_t milliseconds);

// `duration` times a factor, rounded down.
Duration scaled(Duration duration, double factor);

// A duration as fractional milliseconds, for reports only.
double toMilliseconds(Duration duration);

} // namespace ramphinge
