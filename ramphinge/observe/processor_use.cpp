// Processor time that the process uses: see processor_use.h.

#include "ramphinge/observe/processor_use.h"

#include <algorithm>

#include <sys/resource.h>

namespace ramphinge {

namespace {

Duration fromTimeval(const timeval &time)
{
    return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
}

} // namespace

double ProcessorUse::coresSinceLast(MonotonicTime now)
{
    rusage usage {};
    if (getrusage(RUSAGE_SELF, &usage) != 0)
        return 0;
    const Duration used = fromTimeval(usage.ru_utime) + fromTimeval(usage.ru_stime);
    const bool isFirst = m_lastAt == MonotonicTime();
    const double share = toMilliseconds(used - m_lastUsed)
        / std::max(toMilliseconds(now - m_lastAt), toMilliseconds(std::chrono::milliseconds(1)));
    m_lastAt = now;
    m_lastUsed = used;
    return isFirst ? 0 : share;
}

} // namespace ramphinge
