// Computes Retry-After delays for refused callers, spaced so that they don't retry at a higher rate
// than can be served.
//
//   RetryAfterSchedule schedule(options);
//   const Duration retryAfter = schedule.next(rate, now);
//
// Performs no I/O; the caller passes the time.

#pragma once

#include "ramphinge/base/request_rate.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

struct RetryAfterScheduleOptions
{
    Duration minDelay = std::chrono::milliseconds(250);
    Duration maxDelay = std::chrono::seconds(5);
};

// Not thread-safe.
class RetryAfterSchedule
{
public:
    explicit RetryAfterSchedule(RetryAfterScheduleOptions options = {}) : m_options(options) { }

    // Delay after which the next refused caller should retry. `rate` is the rate at which retries
    // of callers that this daemon refuses can be served.
    Duration next(RequestRate rate, MonotonicTime now);

private:
    RetryAfterScheduleOptions m_options;
    MonotonicTime m_lastRetryAt; // Latest retry time handed out.
};

} // namespace ramphinge
