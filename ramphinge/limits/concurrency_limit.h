// Limits how many requests a process works on at once while its event loop is overloaded.
//
// A process that reads more requests than it can serve serves hardly any: all of them wait in one
// queue, and their callers leave before their turn. The delay of the event loop tells that the
// queue never empties, whatever the resource that is short (processor, a quota of it, a blocked
// thread). The limit then falls in proportion, and rises by steps once the loop keeps up.
//
//   limit.noteDelay(now - due, inProgress, now); // Of a periodic timer.
//   if (!limit.admits(inProgress, now)) closeUnread();
//
// Performs no I/O; the caller passes the time.

#pragma once

#include <optional>

#include "ramphinge/base/time.h"

namespace ramphinge {

struct ConcurrencyLimitOptions
{
    // A loop is overloaded if it was late by more than `maxDelay` at each measurement of an
    // interval. Longer than two periods of a processor quota, which stops a process for up to a
    // tenth of a second without overload.
    Duration interval = std::chrono::milliseconds(200);
    Duration maxDelay = std::chrono::milliseconds(20);
    // The loop keeps up if it was on time within this at least once in an interval.
    Duration onTime = std::chrono::milliseconds(5);
    // The loop measures late that it is late: if it was, and has not measured for so long, nothing
    // is admitted until it does.
    Duration maxSilence = std::chrono::milliseconds(250);
    // Factor for each interval of overload, the smaller the later the loop is.
    double minDecrease = 0.3;
    double maxDecrease = 0.7;
    Duration tolerableDelay = std::chrono::milliseconds(100); // Asked of the next interval.
    double increase = 0.1; // Share of the limit, for each interval without overload.
    int minLimit = 16;
    // The limit never falls below this factor of the usual number in progress: what else delays the
    // loop must not turn callers away.
    double usualFactor = 1.25;
    Duration usualWindow = std::chrono::seconds(10); // Time constant of that number's average.
    // The limit is lifted after less than half of it was used for so long.
    Duration liftAfter = std::chrono::seconds(3);
    Duration warmUp = std::chrono::seconds(3); // After the start, without a limit.
};

enum class ConcurrencyLimitChange { None, Imposed, Lifted };

const char *toString(ConcurrencyLimitChange change);

// Not thread-safe.
class ConcurrencyLimit
{
public:
    ConcurrencyLimit(ConcurrencyLimitOptions options, MonotonicTime startedAt)
        : m_options(options), m_startedAt(startedAt), m_lastNoteAt(startedAt),
          m_intervalStart(startedAt), m_lastHalfUsedAt(startedAt)
    { }

    // The event loop ran a timer `delay` after it was due, with `inProgress` requests.
    ConcurrencyLimitChange noteDelay(Duration delay, int inProgress, MonotonicTime now);

    // Whether one more request may be read.
    bool admits(int inProgress, MonotonicTime now) const;

    // Nothing while all are admitted.
    std::optional<double> limit() const { return m_limit; }

private:
    bool isOverloaded(Duration delay, MonotonicTime now);
    double decrease(Duration delay) const;
    void noteUsual(int inProgress, MonotonicTime now);
    double lowest() const;

    ConcurrencyLimitOptions m_options;
    MonotonicTime m_startedAt;
    std::optional<double> m_limit;
    double m_usual = 0; // Average number in progress while the loop was on time.
    MonotonicTime m_lastNoteAt;
    std::optional<MonotonicTime> m_lateSince; // All measurements since were late.
    MonotonicTime m_intervalStart; // Of the next step upwards.
    bool m_wasOnTime = false; // In this interval.
    MonotonicTime m_lastHalfUsedAt;
};

} // namespace ramphinge
