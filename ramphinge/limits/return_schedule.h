// Times at which refused callers should come back, spread so that no more of them return in a
// second than can be served.
//
//   ReturnSchedule schedule(options);
//   const Duration retryAfter = schedule.next(rate, now);
//
// Pure: no clock, no network.

#pragma once

#include "ramphinge/base/request_rate.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

struct ReturnScheduleOptions
{
    Duration shortest = std::chrono::milliseconds(250);
    Duration longest = std::chrono::seconds(5);
};

// Not thread-safe.
class ReturnSchedule
{
public:
    explicit ReturnSchedule(ReturnScheduleOptions options = {}) : m_options(options) { }

    // When the next caller should come back, where `rate` of those that this daemon refuses can be
    // served.
    Duration next(RequestRate rate, MonotonicTime now);

private:
    ReturnScheduleOptions m_options;
    MonotonicTime m_last; // The latest return that was given out.
};

} // namespace ramphinge
