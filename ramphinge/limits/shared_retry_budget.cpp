// The bound on retries over all daemons: see shared_retry_budget.h.

#include "ramphinge/limits/shared_retry_budget.h"

#include <algorithm>

namespace ramphinge {

namespace {

void dropBefore(std::deque<MonotonicTime> &times, MonotonicTime start)
{
    while (!times.empty() && times.front() < start)
        times.pop_front();
}

} // namespace

void SharedRetryBudget::setDaemons(int daemons)
{
    m_daemons = std::max(m_daemons, daemons);
}

void SharedRetryBudget::forgetOld(MonotonicTime now)
{
    const Duration requestWindow = scaled(m_options.window, requestWindowFraction);
    dropBefore(m_requests, now - requestWindow);
    dropBefore(m_retries, now - m_options.window);
}

void SharedRetryBudget::onRequest(MonotonicTime now)
{
    forgetOld(now);
    m_requests.push_back(now);
}

double SharedRetryBudget::available(MonotonicTime now)
{
    forgetOld(now);
    const bool hasRunForWindow = now - m_startedAt >= m_options.window;
    const double slack = hasRunForWindow ? usedSlackFraction * m_options.slack / m_daemons : 0;
    const double allowed = m_options.ratio * static_cast<double>(m_requests.size()) + slack;
    return allowed - static_cast<double>(m_retries.size());
}

bool SharedRetryBudget::allows(MonotonicTime now)
{
    return available(now) >= 1;
}

bool SharedRetryBudget::take(MonotonicTime now)
{
    if (!allows(now))
        return false;
    m_retries.push_back(now);
    return true;
}

} // namespace ramphinge
