// Times of return: see return_schedule.h.

#include "ramphinge/limits/return_schedule.h"

#include <algorithm>

namespace ramphinge {

Duration ReturnSchedule::next(RequestRate rate, MonotonicTime now)
{
    const double seconds =
        rate.perSecond() > 0 ? 1 / rate.perSecond() : toMilliseconds(m_options.longest) / 1000;
    const Duration gap = std::min(m_options.longest, scaled(std::chrono::seconds(1), seconds));
    const MonotonicTime earliest = now + m_options.shortest;
    const MonotonicTime latest = now + m_options.longest;
    m_last = std::clamp(m_last + gap, earliest, latest);
    return m_last - now;
}

} // namespace ramphinge
