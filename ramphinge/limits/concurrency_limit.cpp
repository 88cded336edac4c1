// The limit of requests in progress: see concurrency_limit.h.

#include "ramphinge/limits/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ramphinge {

const char *toString(ConcurrencyLimitChange change)
{
    switch (change) {
    case ConcurrencyLimitChange::None:
        break;
    case ConcurrencyLimitChange::Imposed:
        return "imposed";
    case ConcurrencyLimitChange::Lifted:
        return "lifted";
    }
    return "none";
}

// Late throughout an interval. Each interval of overload is reported once.
bool ConcurrencyLimit::isOverloaded(Duration delay, MonotonicTime now)
{
    if (delay <= m_options.maxDelay) {
        m_lateSince.reset();
        return false;
    }
    if (!m_lateSince)
        m_lateSince = now;
    if (now - *m_lateSince < m_options.interval)
        return false;
    m_lateSince = now;
    return true;
}

bool ConcurrencyLimit::admits(int inProgress, MonotonicTime now) const
{
    const bool isWarm = now - m_startedAt >= m_options.warmUp;
    if (isWarm && m_lateSince && now - m_lastNoteAt > m_options.maxSilence)
        return false;
    return !m_limit || inProgress < *m_limit;
}

double ConcurrencyLimit::decrease(Duration delay) const
{
    const double wanted = toMilliseconds(m_options.tolerableDelay) / toMilliseconds(delay);
    return std::clamp(wanted, m_options.minDecrease, m_options.maxDecrease);
}

void ConcurrencyLimit::noteUsual(int inProgress, MonotonicTime now)
{
    const double weight =
        1 - std::exp(-toMilliseconds(now - m_lastNoteAt) / toMilliseconds(m_options.usualWindow));
    m_usual += weight * (inProgress - m_usual);
}

double ConcurrencyLimit::lowest() const
{
    return std::max<double>(m_options.minLimit, m_options.usualFactor * m_usual);
}

ConcurrencyLimitChange ConcurrencyLimit::noteDelay(Duration delay, int inProgress,
                                                   MonotonicTime now)
{
    const bool isOnTime = delay <= m_options.onTime;
    if (isOnTime)
        noteUsual(inProgress, now);
    m_lastNoteAt = now;
    m_wasOnTime = m_wasOnTime || isOnTime;
    const bool overloaded = isOverloaded(delay, now);
    if (now - m_startedAt < m_options.warmUp)
        return ConcurrencyLimitChange::None;
    if (overloaded) {
        const bool isNew = !m_limit;
        const double used = m_limit ? std::min<double>(*m_limit, inProgress) : inProgress;
        m_limit = std::max(lowest(), decrease(delay) * used);
        m_intervalStart = now;
        m_wasOnTime = false;
        m_lastHalfUsedAt = now;
        return isNew ? ConcurrencyLimitChange::Imposed : ConcurrencyLimitChange::None;
    }
    if (!m_limit || now - m_intervalStart < m_options.interval)
        return ConcurrencyLimitChange::None;
    m_intervalStart = now;
    if (2 * inProgress >= *m_limit)
        m_lastHalfUsedAt = now;
    if (now - m_lastHalfUsedAt >= m_options.liftAfter) {
        m_limit.reset();
        return ConcurrencyLimitChange::Lifted;
    }
    if (std::exchange(m_wasOnTime, false) && inProgress >= *m_limit - 1)
        m_limit = *m_limit * (1 + m_options.increase);
    return ConcurrencyLimitChange::None;
}

} // namespace ramphinge
