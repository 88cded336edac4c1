// Retry-After delays: see retry_after_schedule.h.

#include "ramphinge/limits/retry_after_schedule.h"

#include <algorithm>

namespace ramphinge {

Duration RetryAfterSchedule::next(RequestRate rate, MonotonicTime now)
{
    const double seconds =
        rate.perSecond() > 0 ? 1 / rate.perSecond() : toMilliseconds(m_options.maxDelay) / 1000;
    const Duration gap = std::min(m_options.maxDelay, scaled(std::chrono::seconds(1), seconds));
    const MonotonicTime earliest = now + m_options.minDelay;
    const MonotonicTime latest = now + m_options.maxDelay;
    m_lastRetryAt = std::clamp(m_lastRetryAt + gap, earliest, latest);
    return m_lastRetryAt - now;
}

} // namespace ramphinge
